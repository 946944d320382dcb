"""The reducer that applies log entries to the shared state: ``reduce(state, entry)``.

Each record is validated against the state at its offset. The result depends only on the log,
so all nodes accept and reject the same records without further communication.
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
    """A batch and its offset in the log."""

    offset: int
    batch: Batch


def reduce(state: State, entry: Entry) -> list[Effect]:
    """Apply one log entry to the state.

    The state is modified in place, since copying it for each entry would be too slow. Entries
    at or below ``state.offset`` have been applied before and are ignored.

    Parameters
    ----------
    state
        The shared state; modified in place.
    entry
        The next entry.

    Returns
    -------
    list of Effect
        The effects of the entry, in order. The last one contains the verdicts on the batch's
        records. Empty if the batch is ignored.
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
    """Return the offset at which a work was accepted, from its number."""
    return number // RECORDS_PER_ENTRY


def _accepts_batch(state: State, entry: Entry) -> bool:
    """Check that a batch is not repeated and its sender's incarnation is a member or joining."""
    batch = entry.batch
    if batch.incarnation in state.retired_incarnations:
        return False
    member = state.members.get(batch.node)
    if member is not None and member.incarnation == batch.incarnation:
        return batch.sequence > member.sequence
    # The first batch of an incarnation has to begin with its joining.
    return bool(batch.records) and isinstance(batch.records[0], NodeJoined)


def _apply_record(state: State, effects: list[Effect], entry: Entry, index: int, record) -> Verdict:
    context = Context(state, effects, entry.batch, entry.offset, index)
    handler = _HANDLERS[type(record)]
    try:
        return handler(context, record)
    except InvalidRecord as problem:
        return Rejected(problem.reason)
