"""Conversion of callers' requests and outcomes between HTTP and messages between nodes."""

import re

import msgspec

from ..errors import InvalidInput
from ..request_ids import new_request_id
from .http_models import OUTCOME_HEADER, HttpRequest, HttpResponse, Problem, format_retry_after
from .peer_messages import CallOutcome, CallRequest

__all__ = ["build_response", "parse_call"]

_REQUEST_ID = re.compile(r"^[A-Za-z0-9._-]{1,80}$")
_MAX_DEADLINE_MS = 600_000
_DEFAULT_PRIORITY = 90
_UNFORWARDED_HEADERS = {
    "authorization",
    "connection",
    "host",
    "content-length",
    "transfer-encoding",
    "user-agent",
}


def parse_call(request: HttpRequest) -> CallRequest:
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
    forwarded_headers = {
        name: value
        for name, value in headers.items()
        if name not in _UNFORWARDED_HEADERS and not name.startswith("snowdock-")
    }
    return CallRequest(
        request_id=request_id or new_request_id(),
        endpoint=endpoint,
        method=request.method,
        path=f"/{path}{query}",
        headers=forwarded_headers,
        body=request.body,
        deadline_ms=_parse_number(headers, "snowdock-deadline-ms", 5000, _MAX_DEADLINE_MS),
        priority=_parse_number(headers, "snowdock-priority", _DEFAULT_PRIORITY, 100),
        repeatable=repeatable == "yes",
        session=headers.get("snowdock-session", ""),
        trace=headers.get("traceparent", ""),
    )


def _parse_number(headers: dict[str, str], name: str, default: int, maximum: int) -> int:
    text = headers.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or not 0 < int(text[:12]) <= maximum:
        raise InvalidInput(f"header {name} must be from 1 to {maximum}; nothing was run")
    return int(text)


def build_response(call: CallRequest, outcome: CallOutcome) -> HttpResponse:
    """Build the HTTP response that reports the outcome of a request to its caller."""
    headers = {
        "Snowdock-Request-Id": call.request_id,
        OUTCOME_HEADER: outcome.outcome.replace("_", "-"),
    }
    if outcome.minion:
        headers["Snowdock-Session"] = outcome.minion
    if outcome.retry_after_seconds:
        headers["Retry-After"] = format_retry_after(outcome.retry_after_seconds)
    if not outcome.code:
        content_type = next(
            (v for k, v in outcome.headers.items() if k.lower() == "content-type"),
            "application/octet-stream",
        )
        return HttpResponse(outcome.status, outcome.body, content_type, headers)
    body = msgspec.json.encode(Problem(outcome.code, outcome.reason, [], outcome.outcome))
    return HttpResponse(outcome.status, body, headers=headers)
