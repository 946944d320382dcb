"""Traces: a span for each hop, carried by W3C trace context, written to the log."""

import contextlib
import dataclasses
import re
import secrets
import time
from collections.abc import Iterator

from ..logs import log_event

__all__ = ["Span", "parse_traceparent", "span"]

_TRACEPARENT = re.compile(r"^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$")
_SAMPLED_FLAG = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """One hop of a trace."""

    trace_id: str
    span_id: str
    sampled: bool

    @property
    def traceparent(self) -> str:
        """The header that hands the trace on to the next hop."""
        return f"00-{self.trace_id}-{self.span_id}-{int(self.sampled):02x}"


def parse_traceparent(header: str) -> Span | None:
    """Read a ``traceparent`` header, or give None where it is missing or malformed."""
    match = _TRACEPARENT.match(header)
    if match is None or set(match[1]) == {"0"} or set(match[2]) == {"0"}:
        return None
    return Span(match[1], match[2], bool(int(match[3], 16) & _SAMPLED_FLAG))


@contextlib.contextmanager
def span(name: str, parent: str, **fields: object) -> Iterator[Span]:
    """Time one hop and log it, if the caller asked for a trace.

    Parameters
    ----------
    name
        What happens in the hop.
    parent
        The ``traceparent`` that came in, or nothing.
    **fields
        What else the span's line tells.
    """
    parent_span = parse_traceparent(parent)
    trace_id = parent_span.trace_id if parent_span else secrets.token_hex(16)
    current_span = Span(trace_id, secrets.token_hex(8), bool(parent_span and parent_span.sampled))
    started = time.perf_counter()
    try:
        yield current_span
    finally:
        if current_span.sampled:
            log_event(
                "span",
                name=name,
                trace=current_span.trace_id,
                span=current_span.span_id,
                parent=parent_span.span_id,
                seconds=time.perf_counter() - started,
                **fields,
            )
