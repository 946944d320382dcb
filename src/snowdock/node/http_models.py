"""HTTP requests and answers as the API's parts hand them to each other."""

import dataclasses
from urllib.parse import parse_qs

import msgspec

from ..errors import DeclarationErrors, SnowdockError

__all__ = [
    "HttpRequest",
    "HttpResponse",
    "Problem",
    "format_retry_after",
    "json_response",
    "problem_response",
]

_JSON = "application/json"


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes

    def query_parameter(self, name: str) -> str:
        """Give a query parameter, or nothing."""
        return parse_qs(self.query).get(name, [""])[0]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """An HTTP answer."""

    status: int
    body: bytes
    content_type: str = _JSON
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


class Problem(msgspec.Struct):
    """The body of every failure."""

    code: str
    message: str
    details: list[str] = []
    outcome: str = ""


def json_response(value: object, status: int = 200) -> HttpResponse:
    """Answer with a model as JSON."""
    return HttpResponse(status, msgspec.json.encode(value))


def problem_response(error: SnowdockError | DeclarationErrors) -> HttpResponse:
    """Answer with a failure, its code, and when to come back where that is known."""
    details = [str(e) for e in error.exceptions] if isinstance(error, ExceptionGroup) else []
    message = error.message if isinstance(error, ExceptionGroup) else str(error)
    retry_after = getattr(error, "retry_after_seconds", None)
    headers = {} if retry_after is None else {"Retry-After": format_retry_after(retry_after)}
    body = msgspec.json.encode(Problem(error.code, message, details))
    return HttpResponse(error.status, body, headers=headers)


def format_retry_after(seconds: float) -> str:
    """Write seconds as the header wants them: whole, and at least one."""
    return str(max(1, -int(-seconds // 1)))
