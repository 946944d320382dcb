"""Models of HTTP requests and responses."""

import dataclasses
from urllib.parse import parse_qs

import msgspec

from ..errors import DeclarationErrors, SnowdockError

__all__ = [
    "NOT_RUN",
    "OUTCOME_HEADER",
    "HttpRequest",
    "HttpResponse",
    "Problem",
    "format_retry_after",
    "json_response",
    "not_run_response",
    "problem_response",
]

NOT_RUN = "not-run"
OUTCOME_HEADER = "Snowdock-Outcome"
"""Header, and its value, that state that a request was not run."""

_JSON = "application/json"


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request with lower-case header names."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes

    def query_parameter(self, name: str) -> str:
        """Return the first value of a query parameter, or an empty string."""
        return parse_qs(self.query).get(name, [""])[0]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
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


def json_response(value: object, status: int = 200) -> HttpResponse:
    """Build a response with a model encoded as JSON."""
    return HttpResponse(status, msgspec.json.encode(value))


def problem_response(error: SnowdockError | DeclarationErrors) -> HttpResponse:
    """Build the response for an error, with ``Retry-After`` if the error has a delay."""
    details = [str(e) for e in error.exceptions] if isinstance(error, ExceptionGroup) else []
    message = error.message if isinstance(error, ExceptionGroup) else str(error)
    retry_after = getattr(error, "retry_after_seconds", None)
    headers = {} if retry_after is None else {"Retry-After": format_retry_after(retry_after)}
    body = msgspec.json.encode(Problem(error.code, message, details))
    return HttpResponse(error.status, body, headers=headers)


def not_run_response(error: SnowdockError) -> HttpResponse:
    """Build the response for a request that was refused before it was handled."""
    answer = problem_response(error)
    body = msgspec.json.encode(Problem(error.code, str(error), outcome=NOT_RUN))
    return HttpResponse(answer.status, body, headers={**answer.headers, OUTCOME_HEADER: NOT_RUN})


def format_retry_after(seconds: float) -> str:
    """Format seconds for ``Retry-After``: rounded up, at least 1."""
    return str(max(1, -int(-seconds // 1)))
