"""Eligibility of workers for new runs, and the reasons for which they are excluded."""

import enum

from .workers import QuarantineCause, Worker

__all__ = ["ExclusionReason", "find_exclusion"]

_DELISTED_GRACE_SECONDS = 3.0
"""How long a worker that still answers stays eligible after its store entry expired during a store
outage: such entries are restored about two seconds after the store recovers."""


class ExclusionReason(enum.Enum):
    """Why a worker is excluded from placement, for all steps or for one; values are log fields."""

    SILENT = "silent"
    """The worker has not answered this leader yet, or has stopped answering."""
    LEAVING = "leaving"
    """The worker is draining, or its store entry was removed."""
    QUARANTINED = "aside"
    """The worker is in quarantine, see `quarantine`."""
    EXCLUSIVE = "alone"
    """A run on the worker requires exclusive use of it."""
    ON_PROBATION = "on_trial"
    """The worker is on probation after failures and accepts one run at a time."""
    DOUBTFUL = "doubtful"
    """Runs have failed on the worker, and the step is on its last attempt."""
    SUSPECT = "suspect"
    """The step may not share a worker with the runs there, see `suspects`."""
    ROOM = "room"
    """The worker has too little free room, or its limit for tasks of the step is reached."""
    RESERVED = "reserved"
    """The worker's free room is reserved for other steps."""
    UNFIT = "unfit"
    """The advice service rejected the worker for the step, or a required label is missing."""
    TICKET = "ticket"
    """There is no valid ticket for the worker."""


def find_exclusion(
    worker: Worker, now: float, is_last_resort: bool = False
) -> ExclusionReason | None:
    """Return why a worker is excluded from all placements, or None if it is eligible.

    With `is_last_resort`, workers in quarantine are eligible unless they left a start unanswered.
    """
    # Called for every worker in each placement pass, so the checks are kept cheap.
    if not worker.is_synced or worker.is_unresponsive:
        return ExclusionReason.SILENT
    if worker.entry.draining:
        return ExclusionReason.LEAVING
    if worker.quarantined_until > now and not (
        is_last_resort and worker.quarantine_cause is not QuarantineCause.UNANSWERED
    ):
        return ExclusionReason.QUARANTINED
    if worker.is_exclusive:
        return ExclusionReason.EXCLUSIVE
    if worker.listed:
        return None
    may_return = worker.may_return and now - worker.delisted_at < _DELISTED_GRACE_SECONDS
    return None if may_return else ExclusionReason.LEAVING
