"""Conversion of callers' requests and outcomes between HTTP and messages between nodes."""

import re

import msgspec

from ..errors import InvalidInput
from ..request_ids import new_request_id
from .http_models import HttpAnswer, HttpRequest, Problem, whole_seconds
from .peer_messages import CallOutcome, CallRequest

__all__ = ["read_call", "show_outcome"]

_REQUEST_ID = re.compile(r"^[A-Za-z0-9._-]{1,80}$")
_MAX_DEADLINE_MS = 600_000
_PEOPLE_PRIORITY = 90
_HOP_HEADERS = {
    "authorization",
    "connection",
    "host",
    "content-length",
    "transfer-encoding",
    "user-agent",
}


def read_call(request: HttpRequest) -> CallRequest:
    """Parse a caller's request.

    Raises
    ------
    InvalidInput
        If a header is malformed; nothing was run.
    """
    headers = request.headers
    _, _, rest = request.path.partition("/call/")
    endpoint, _, path = rest.partition("/")
    repeatable = headers.get("snowdock-repeatable", "yes").lower()
    if repeatable not in ("yes", "no"):
        raise InvalidInput("header Snowdock-Repeatable must be yes or no; nothing was run")
    request_id = headers.get("snowdock-request-id", "")
    if not request_id and repeatable == "no":
        raise InvalidInput("a not-repeatable request needs Snowdock-Request-Id; nothing was run")
    if request_id and not _REQUEST_ID.match(request_id):
        raise InvalidInput("header Snowdock-Request-Id is malformed; nothing was run")
    query = f"?{request.query}" if request.query else ""
    passed = {
        name: value
        for name, value in headers.items()
        if name not in _HOP_HEADERS and not name.startswith("snowdock-")
    }
    return CallRequest(
        request_id=request_id or new_request_id(),
        endpoint=endpoint,
        method=request.method,
        path=f"/{path}{query}",
        headers=passed,
        body=request.body,
        deadline_ms=_number(headers, "snowdock-deadline-ms", 5000, _MAX_DEADLINE_MS),
        priority=_number(headers, "snowdock-priority", _PEOPLE_PRIORITY, 100),
        repeatable=repeatable == "yes",
        session=headers.get("snowdock-session", ""),
        trace=headers.get("traceparent", ""),
    )


def _number(headers: dict[str, str], name: str, default: int, most: int) -> int:
    text = headers.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or not 0 < int(text[:12]) <= most:
        raise InvalidInput(f"header {name} must be from 1 to {most}; nothing was run")
    return int(text)


def show_outcome(call: CallRequest, outcome: CallOutcome) -> HttpAnswer:
    """Build the HTTP response that reports the outcome of a request to its caller."""
    headers = {
        "Snowdock-Request-Id": call.request_id,
        "Snowdock-Outcome": outcome.outcome.replace("_", "-"),
    }
    if outcome.minion:
        headers["Snowdock-Session"] = outcome.minion
    if outcome.retry_after_seconds:
        headers["Retry-After"] = whole_seconds(outcome.retry_after_seconds)
    if not outcome.code:
        content_type = next(
            (v for k, v in outcome.headers.items() if k.lower() == "content-type"),
            "application/octet-stream",
        )
        return HttpAnswer(outcome.status, outcome.body, content_type, headers)
    body = msgspec.json.encode(Problem(outcome.code, outcome.reason, [], outcome.outcome))
    return HttpAnswer(outcome.status, body, headers=headers)
