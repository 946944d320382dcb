"""Handlers of records about non-repeatable requests, of which each id is accepted once."""

from ..effects import Accepted, Verdict
from ..records import RequestEnded, RequestIntended, SnapshotPart
from ..request_ids import request_time_ms
from ..state import Request, State
from ._common import Context, require

__all__ = ["HANDLERS"]

_PRUNE_INTERVAL = 1024
_OUTCOMES = ("ran", "not_run", "unknown")


def _apply_request_intended(context: Context, record: RequestIntended) -> Verdict:
    state = context.state
    window = state.configuration.declarations.limits.request_window_ms
    require(record.request not in state.requests, "the request id has been used")
    created_ms = request_time_ms(record.request)
    require(created_ms is not None, "not a request id")
    # Used ids are kept for twice the window, so a used id that passes this check is still known.
    require(created_ms >= state.now_ms - window, "the request id is older than the request window")
    require(created_ms <= state.now_ms + window, "the request id is too far in the future")
    _prune(state, window)
    state.requests[record.request] = Request(
        context.batch.node, context.batch.incarnation, record.minion, created_ms
    )
    return Accepted()


def _prune(state: State, window: int) -> None:
    if len(state.requests) % _PRUNE_INTERVAL != _PRUNE_INTERVAL - 1:
        return
    horizon = state.now_ms - 2 * window
    state.requests = {
        name: request for name, request in state.requests.items() if request.created_ms >= horizon
    }


def _apply_request_ended(context: Context, record: RequestEnded) -> Verdict:
    request = context.state.requests.get(record.request)
    require(request is not None, "unknown request id")
    require(request.incarnation == context.batch.incarnation, "the request is another node's")
    require(not request.outcome, "the request has ended already")
    require(record.outcome in _OUTCOMES, "unknown outcome")
    request.outcome = record.outcome
    return Accepted()


def _apply_snapshot_part(context: Context, record: SnapshotPart) -> Verdict:
    """Accept a part of a snapshot, which changes nothing; starting nodes read it."""
    return Accepted(record.offset)


HANDLERS = {
    RequestIntended: _apply_request_intended,
    RequestEnded: _apply_request_ended,
    SnapshotPart: _apply_snapshot_part,
}
