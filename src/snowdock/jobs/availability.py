"""Whether a worker takes anything new at all, and why not."""

import enum

from .workers import Worker

__all__ = ["ExclusionReason", "find_exclusion"]

_DELISTED_GRACE_SECONDS = 3.0
"""How long a worker that still answers is used after its entry lapsed with the store: such
entries are back about two seconds after the store's return."""


class ExclusionReason(enum.Enum):
    """Why nothing new is placed on a worker, by any step or by one; names a field in the log."""

    SILENT = "silent"
    """It has not answered this leader yet, or does not answer any more."""
    LEAVING = "leaving"
    """It drains, or its entry is gone."""
    QUARANTINED = "aside"
    """It is set aside, see `set_aside`."""
    EXCLUSIVE = "alone"
    """What runs there has to be alone."""
    ON_PROBATION = "on_trial"
    """It has failed, and one run at a time shows whether it still does."""
    DOUBTFUL = "doubtful"
    """Runs have failed there, and the step may not fail again."""
    SUSPECT = "suspect"
    """What runs there may not share a worker with the step."""
    ROOM = "room"
    """It has too little room, or may run no more of the step."""
    RESERVED = "reserved"
    """Its room is kept for others."""
    UNFIT = "unfit"
    """The advice service, or a label, keeps the step out."""
    TICKET = "ticket"
    """There is no good ticket for it."""


def find_exclusion(
    worker: Worker, now: float, is_last_resort: bool = False
) -> ExclusionReason | None:
    """Tell why nothing new at all is placed on a worker; None where something may be.

    As a last resort, workers count that are set aside for failures.
    """
    # Plain tests: each pass asks this of each worker.
    if not worker.is_synced or worker.is_unresponsive:
        return ExclusionReason.SILENT
    if worker.entry.draining:
        return ExclusionReason.LEAVING
    if worker.quarantined_until > now and not (
        is_last_resort and worker.is_quarantined_for_failures
    ):
        return ExclusionReason.QUARANTINED
    if worker.is_exclusive:
        return ExclusionReason.EXCLUSIVE
    if worker.listed:
        return None
    may_return = worker.may_return and now - worker.delisted_at < _DELISTED_GRACE_SECONDS
    return None if may_return else ExclusionReason.LEAVING
