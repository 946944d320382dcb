"""The decision whether a job is admitted, in a form that depends on nothing but its arguments.

Responds to overload: a job that certainly cannot be served is refused at once, and a team that uses
more than its share is refused before others suffer from it. Without overload nothing is refused
because of a share, and without a reliable prediction nothing because of a wait.
"""

import dataclasses
import enum
import math
from collections.abc import Iterable

from ..declarations import Size

__all__ = [
    "MAX_SUMMARY_AGE_SECONDS",
    "USEFUL_FACTOR",
    "Admitted",
    "Caller",
    "Demand",
    "LoadView",
    "Reason",
    "Refused",
    "TeamUse",
    "decide",
    "find_allowance",
]

MAX_SUMMARY_AGE_SECONDS = 3.0
"""A summary is used for this long; one is due each second."""

USEFUL_FACTOR = 3.0
"""An answer later than this many times the objective is of no use to its caller."""

_UNPLACEABLE_RETRY_SECONDS = 60.0
"""Larger workers may join, but not within seconds."""

_MIN_SHARE = 1e-6
"""Stands for the share of a team without weight, which is limited first but may use idle
capacity."""


class Reason(enum.StrEnum):
    """Why a job is refused."""

    UNPLACEABLE = "unplaceable"
    TOO_LATE = "too_late"
    BEYOND_SHARE = "beyond_share"
    OVERLOADED = "overloaded"
    NO_SUMMARY = "no_summary"

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return 429 if self is Reason.BEYOND_SHARE else 503


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a job needs.

    Attributes
    ----------
    team
        The team; empty for none.
    largest_task
        The largest amount that a task needs of each resource.
    critical_path_s
        Estimated shortest duration.
    objective_s
        Time within which the job is to end; None if it has no objective, as with a queue without a
        target, a repeated job or a task that runs until it is cancelled.
    """

    team: str
    largest_task: Size
    critical_path_s: float
    objective_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """The caller of a job.

    Attributes
    ----------
    first_seen
        Time of its first attempt.
    is_in_doubt
        Whether an earlier attempt may have been accepted.
    """

    first_seen: float
    is_in_doubt: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TeamUse:
    """A team's share by weight, from 0 to 1, and the core-seconds of its work in the system."""

    share: float
    core_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoadView:
    """What a node knows of the load, as far as it concerns one job.

    Attributes
    ----------
    made_at
        When the summary arrived; None if there is none of the current leader.
    largest_worker
        The largest amount of each resource on one worker of the service; None if unknown.
    predicted_wait_s
        Expected wait until the first task of such a job starts if its team is within its share;
        None if it cannot be predicted.
    is_reliable
        Whether recent predictions were accurate.
    rate
        Core-seconds of work that the workers do per second.
    running_core_s
        Core-seconds of work that is running.
    teams
        The teams with work in the system, by name.
    bucket_wait_s
        Seconds until the node's token bucket is not empty; 0 if it is not.
    """

    made_at: float | None = None
    largest_worker: Size | None = None
    predicted_wait_s: float | None = None
    is_reliable: bool = False
    rate: float = 0.0
    running_core_s: float = 0.0
    teams: dict[str, TeamUse] = dataclasses.field(default_factory=dict)
    bucket_wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The job is admitted; ``by_bucket`` if only because the token bucket is not empty."""

    by_bucket: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The job is refused.

    Attributes
    ----------
    reason
        Why.
    status
        HTTP status of the answer.
    retry_after_s
        Seconds until there is room; returns are spread over the following seconds.
    """

    reason: Reason
    status: int
    retry_after_s: float


def decide(job: Demand, caller: Caller, view: LoadView, now: float) -> Admitted | Refused:
    """Decide whether a job is admitted.

    Parameters
    ----------
    job, caller
        The job and its caller. One whose earlier attempt may have been accepted is never refused.
    view
        What the node knows of the load.
    now
        Current time.
    """
    if caller.is_in_doubt:
        return Admitted()
    if view.made_at is None or now - view.made_at > MAX_SUMMARY_AGE_SECONDS:
        if view.bucket_wait_s > 0:
            return _refuse(Reason.NO_SUMMARY, view.bucket_wait_s)
        return Admitted(by_bucket=True)
    if view.largest_worker is not None and not view.largest_worker.holds(job.largest_task):
        return _refuse(Reason.UNPLACEABLE, _UNPLACEABLE_RETRY_SECONDS)
    wait_s = view.predicted_wait_s
    if job.objective_s is None or not view.is_reliable or wait_s is None:
        return Admitted()
    useful_s = USEFUL_FACTOR * job.objective_s - job.critical_path_s
    # Where the load alone makes the job late, the reason is the load.
    if wait_s <= useful_s < wait_s + max(0.0, now - caller.first_seen):
        return _refuse(Reason.TOO_LATE, wait_s)
    slack_s = max(0.0, job.objective_s - job.critical_path_s)
    if wait_s <= slack_s:
        return Admitted()
    use = view.teams.get(job.team)
    if use is not None:
        excess = _find_excess(use, view, slack_s)
        if excess > 0:
            total = sum(team.core_s for team in view.teams.values())
            # The team's work is taken to be done in proportion to its part of all work.
            until_room_s = excess / use.core_s * total / view.rate if view.rate > 0 else math.inf
            return _refuse(Reason.BEYOND_SHARE, until_room_s)
    if wait_s > useful_s:
        return _refuse(Reason.OVERLOADED, wait_s - useful_s)
    return Admitted()


def _refuse(reason: Reason, retry_after_s: float) -> Refused:
    return Refused(reason, reason.status, max(1.0, retry_after_s))


def _find_excess(use: TeamUse, view: LoadView, slack_s: float) -> float:
    """Return the core-seconds by which a team exceeds both its share and its allowance.

    The share is the part of all work in the system by weight. The allowance makes the teams with
    the largest excess the first to be refused, and no more of them than the overload requires.
    """
    if not any(team.share for team in view.teams.values()):
        return 0.0
    share = use.share * sum(team.core_s for team in view.teams.values())
    # Work that is done without any job exceeding its objective because of its wait.
    room = view.running_core_s + view.rate * slack_s
    allowance = max(use.share, _MIN_SHARE) * find_allowance(view.teams.values(), room)
    return use.core_s - max(share, allowance)


def find_allowance(teams: Iterable[TeamUse], room: float) -> float:
    """Return the core-seconds per share to which teams are limited so that all fit into a room.

    Teams below the limit leave the rest to the others (weighted max-min fairness). The result is
    infinite if all work fits.
    """
    uses = sorted(
        ((max(team.share, _MIN_SHARE), team.core_s) for team in teams),
        key=lambda use: use[1] / use[0],
    )
    total_share = sum(share for share, _ in uses)
    for share, core_s in uses:
        if core_s / share * total_share > room:
            return max(0.0, room) / total_share
        room -= core_s
        total_share -= share
    return math.inf
