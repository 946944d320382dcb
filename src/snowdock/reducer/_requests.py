"""Handlers of records about non-repeatable requests, of which each id is accepted once."""

from ..effects import Accepted, Verdict
from ..records import RequestEnded, RequestIntended, SnapshotPart
from ..request_ids import request_time_ms
from ..state import Request, State
from ._tools import Context, require

__all__ = ["HANDLERS"]

_PRUNE_AT = 1024
_OUTCOMES = ("ran", "not_run", "unknown")


def _intended(context: Context, record: RequestIntended) -> Verdict:
    state = context.state
    window = state.configuration.declarations.limits.request_window_ms
    require(record.request not in state.requests, "the request id has been used")
    born = request_time_ms(record.request)
    require(born is not None, "not a request id")
    # Used ids are kept for twice the window, so a used id that passes this check is still known.
    require(born >= state.now_ms - window, "the request id is older than the request window")
    require(born <= state.now_ms + window, "the request id is too far in the future")
    _prune(state, window)
    state.requests[record.request] = Request(
        context.batch.node, context.batch.incarnation, record.minion, born
    )
    return Accepted()


def _prune(state: State, window: int) -> None:
    if len(state.requests) % _PRUNE_AT != _PRUNE_AT - 1:
        return
    horizon = state.now_ms - 2 * window
    state.requests = {
        name: request for name, request in state.requests.items() if request.at_ms >= horizon
    }


def _ended(context: Context, record: RequestEnded) -> Verdict:
    request = context.state.requests.get(record.request)
    require(request is not None, "unknown request id")
    require(request.incarnation == context.batch.incarnation, "the request is another node's")
    require(not request.outcome, "the request has ended already")
    require(record.outcome in _OUTCOMES, "unknown outcome")
    request.outcome = record.outcome
    return Accepted()


def _snapshot_part(context: Context, record: SnapshotPart) -> Verdict:
    """Accept a part of a snapshot, which changes nothing; starting nodes read it."""
    return Accepted(record.offset)


HANDLERS = {
    RequestIntended: _intended,
    RequestEnded: _ended,
    SnapshotPart: _snapshot_part,
}
