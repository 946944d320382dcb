"""Models of HTTP requests and responses."""

import dataclasses
from urllib.parse import parse_qs

import msgspec

from ..errors import DeclarationErrors, SnowdockError

__all__ = ["HttpAnswer", "HttpRequest", "Problem", "json_answer", "problem_answer", "whole_seconds"]

_JSON = "application/json"


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request with lower-case header names."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes

    def option(self, name: str) -> str:
        """Return the first value of a query parameter, or an empty string."""
        return parse_qs(self.query).get(name, [""])[0]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """An HTTP response."""

    status: int
    body: bytes
    content_type: str = _JSON
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


class Problem(msgspec.Struct):
    """The body of an error response."""

    code: str
    message: str
    details: list[str] = []
    outcome: str = ""


def json_answer(value: object, status: int = 200) -> HttpAnswer:
    """Build a response with a model encoded as JSON."""
    return HttpAnswer(status, msgspec.json.encode(value))


def problem_answer(error: SnowdockError | DeclarationErrors) -> HttpAnswer:
    """Build the response for an error, with ``Retry-After`` if the error has a delay."""
    details = [str(e) for e in error.exceptions] if isinstance(error, ExceptionGroup) else []
    message = error.message if isinstance(error, ExceptionGroup) else str(error)
    retry_after = getattr(error, "retry_after_seconds", None)
    headers = {} if retry_after is None else {"Retry-After": whole_seconds(retry_after)}
    body = msgspec.json.encode(Problem(error.code, message, details))
    return HttpAnswer(error.status, body, headers=headers)


def whole_seconds(seconds: float) -> str:
    """Format seconds for ``Retry-After``: rounded up, at least 1."""
    return str(max(1, -int(-seconds // 1)))
