"""The one reducer over the log: ``reduce(state, entry)``.

The log's order is the only arbiter. Each record is judged against the state at its offset,
so every node finds the same records valid or void without talking to the others.
"""

import dataclasses

from ..effects import BatchApplied, Effect, Rejected, Verdict
from ..records import Batch, NodeJoined
from ..state import State
from . import _configurations, _members, _minions, _placements, _requests, _workers, _works
from ._common import RECORDS_PER_ENTRY, Context, InvalidRecord
from ._minions import count_minion_slots

__all__ = ["Entry", "count_minion_slots", "reduce", "submission_offset"]

_HANDLERS = {
    **_members.HANDLERS,
    **_configurations.HANDLERS,
    **_workers.HANDLERS,
    **_works.HANDLERS,
    **_placements.HANDLERS,
    **_minions.HANDLERS,
    **_requests.HANDLERS,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A batch at its offset in the log."""

    offset: int
    batch: Batch


def reduce(state: State, entry: Entry) -> list[Effect]:
    """Apply one log entry to the state.

    The state is changed in place: copying it for each of several hundred entries a second
    would cost more than all decisions together. An entry at or below ``state.offset`` was
    applied before and is passed over.

    Parameters
    ----------
    state
        The shared state; owned by the caller, changed here.
    entry
        The next entry.

    Returns
    -------
    list of Effect
        What follows from it, in order; the batch's verdicts come last.
    """
    if entry.offset <= state.offset:
        return []
    state.offset = entry.offset
    effects: list[Effect] = []
    batch = entry.batch
    if not _accepts_batch(state, entry):
        return effects
    state.now_ms = max(state.now_ms, batch.sent_ms)
    _members.update_read_offset(state, batch)
    _minions.release_expired_cooldowns(state, effects)
    verdicts = tuple(
        _apply_record(state, effects, entry, index, record)
        for index, record in enumerate(batch.records)
    )
    _members.fence_workers(state)
    effects.append(BatchApplied(batch.node, batch.incarnation, batch.sequence, verdicts))
    return effects


def submission_offset(number: int) -> int:
    """Tell at which offset a work was accepted, from its number."""
    return number // RECORDS_PER_ENTRY


def _accepts_batch(state: State, entry: Entry) -> bool:
    """Refuse repeated batches and batches of incarnations that were replaced or never joined."""
    batch = entry.batch
    if batch.incarnation in state.retired_incarnations:
        return False
    member = state.members.get(batch.node)
    if member is not None and member.incarnation == batch.incarnation:
        return batch.sequence > member.sequence
    # An unknown incarnation may speak only to join; its first batch carries nothing else
    # that could be judged before.
    return bool(batch.records) and isinstance(batch.records[0], NodeJoined)


def _apply_record(state: State, effects: list[Effect], entry: Entry, index: int, record) -> Verdict:
    context = Context(state, effects, entry.batch, entry.offset, index)
    handler = _HANDLERS[type(record)]
    try:
        return handler(context, record)
    except InvalidRecord as problem:
        return Rejected(problem.reason)
