"""Not-repeatable requests: one intent for each id, ever."""

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
    require(record.request not in state.requests, "an intent for this id is on the log")
    created_ms = request_time_ms(record.request)
    require(created_ms is not None, "not a request id")
    # The record of an id is kept for twice the window, so an id young enough to be taken
    # here cannot have been forgotten.
    require(created_ms >= state.now_ms - window, "the id is older than the window")
    require(created_ms <= state.now_ms + window, "the id is from the future")
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
    require(request is not None, "no intent for this id")
    require(request.incarnation == context.batch.incarnation, "another node's request")
    require(not request.outcome, "ended already")
    require(record.outcome in _OUTCOMES, "unknown outcome")
    request.outcome = record.outcome
    return Accepted()


def _apply_snapshot_part(context: Context, record: SnapshotPart) -> Verdict:
    """Snapshots are read by starting nodes; they change nothing."""
    return Accepted(record.offset)


HANDLERS = {
    RequestIntended: _apply_request_intended,
    RequestEnded: _apply_request_ended,
    SnapshotPart: _apply_snapshot_part,
}
