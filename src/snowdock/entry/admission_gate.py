"""Admission control of a node: applies the decisions of `snowdock.admission` to callers' jobs."""

import collections
import dataclasses
import functools
import math
import random
import threading
from collections.abc import Callable

import msgspec

from ..admission.caller_history import (
    CallerHistory,
    CallerNews,
    KnownCaller,
    caller_key,
    decode_news,
    encode_news,
)
from ..admission.decision import (
    MAX_SUMMARY_AGE_SECONDS,
    Admitted,
    Caller,
    LoadView,
    Reason,
    Refused,
    decide,
)
from ..admission.inputs import make_demand, make_view
from ..admission.retry_planner import RetryPlanner
from ..admission.token_bucket import TokenBucket
from ..clocks import steady_seconds
from ..errors import (
    GangTooLarge,
    InvalidInput,
    JobRefused,
    JobTooLate,
    JobUnplaceable,
    LoadUnknown,
    NoRoomForJob,
    ServiceOverloaded,
    SnowdockError,
    TeamBeyondShare,
    VerdictUnknown,
)
from ..jobs.job_room import JobRoom, find_room_delay
from ..jobs.load_summary import LoadSummary
from ..jobs.model import JobId, JobSpec, Queue
from ..jobs.progress import AcceptedJob, record_name
from ..logs import log_error, log_event
from ..node.metrics import Metrics
from .load_view import LoadReading
from .messages import Heartbeat

__all__ = ["AdmissionGate", "Submission"]

_LOOKUP_SECONDS = 0.3
"""How long the lookup before a refusal may take. A leader that has loaded replies within
milliseconds; a job whose lookup is unanswered is admitted."""

_CAPACITY_FACTOR = 2.0
"""Without a summary, the nodes admit together this many times the last known capacity: a usual load
passes, and of a burst no more than is worked off in as long again as the summary was missing."""

_JOBS_PER_SECOND = 20.0
"""Jobs that a node admits in a second if no capacity was ever known."""

_OWN_ENTRIES = 64
_FORWARDED_ENTRIES = 128
"""Entries of callers in a node's heartbeat, and in a leader's, which is for the refusals of all
nodes: about 2 kB."""

_NEWS_MARGIN_SECONDS = 0.3
"""An entry is sent for this long beyond the interval of heartbeats, so that a late or lost one does
not leave it out."""

_NEWS_REUSE_SECONDS = 0.05
"""A leader sends the heartbeats that are due at one time the same news: encoding them anew for each
of 97 nodes would take 4 % of a core. Ages are too low by at most this much."""

_LOGGED_REFUSALS_PER_SECOND = 20.0

_REFUSALS: dict[Reason, tuple[type[JobRefused], str]] = {
    Reason.UNPLACEABLE: (JobUnplaceable, "a task is larger than any worker"),
    Reason.TOO_LATE: (JobTooLate, "the job cannot end in useful time any more"),
    Reason.BEYOND_SHARE: (TeamBeyondShare, "overload, and the team uses more than its share"),
    Reason.OVERLOADED: (ServiceOverloaded, "overload; the job cannot end in useful time"),
    Reason.NO_SUMMARY: (LoadUnknown, "the load is not known; this node admits no more jobs now"),
}


@dataclasses.dataclass(frozen=True)
class Submission:
    """A caller's job.

    Attributes
    ----------
    job, accepted, queue
        The job's identifier, its record and its queue.
    started_at
        When this attempt arrived.
    deadline_s
        Seconds after its first attempt after which the caller gives up.
    """

    job: JobId
    accepted: AcceptedJob
    queue: Queue
    started_at: float
    deadline_s: float

    @functools.cached_property
    def key(self) -> bytes:
        """Key of the caller in the history."""
        return caller_key(record_name(self.job, self.accepted.team))


class AdmissionGate:
    """Admits or refuses jobs, and remembers callers that were refused; thread-safe.

    Parameters
    ----------
    is_enabled
        Checks whether the node's contracts ask for admission control. Otherwise, all jobs are
        admitted and nothing is remembered.
    find_load
        Returns the newest load summary of the current leader, or None.
    is_recorded
        Checks at the leader within a number of seconds whether a team's job is known; None if that
        cannot be told.
    count_nodes
        Returns the number of live nodes that this node knows of, at least 1.
    metrics
        Counts refusals.
    find_room
        Returns the leader's newest statement about its room for open jobs, or None.
    max_gang_tasks
        Returns the most tasks of a gang.
    """

    def __init__(
        self,
        is_enabled: Callable[[], bool],
        find_load: Callable[[], LoadReading | None],
        is_recorded: Callable[[JobId, str, float], bool | None],
        count_nodes: Callable[[], int],
        metrics: Metrics,
        find_room: Callable[[], JobRoom | None],
        max_gang_tasks: Callable[[], int],
    ) -> None:
        self._find_room = find_room
        self._max_gang_tasks = max_gang_tasks
        self._is_enabled = is_enabled
        self._find_load = find_load
        self._is_recorded = is_recorded
        self._count_nodes = count_nodes
        self._metrics = metrics
        now = steady_seconds()
        self._history = CallerHistory()
        self._planner = RetryPlanner()
        self._recording: collections.Counter[bytes] = collections.Counter()
        self._encoded_news: dict[tuple[float, bool], tuple[float, bytes]] = {}
        self._node_count = 0
        self._usable_cores = 0.0
        self._bucket = _make_bucket(_JOBS_PER_SECOND, now)
        self._log_bucket = TokenBucket(
            _LOGGED_REFUSALS_PER_SECOND, _LOGGED_REFUSALS_PER_SECOND, now
        )
        self._lock = threading.Lock()

    # -- callers ---------------------------------------------------------------------------

    def submit(self, submission: Submission, record: Callable[[AcceptedJob], None]) -> bool:
        """Record a job that is admitted, and remember its caller if that fails.

        Parameters
        ----------
        submission
            The job.
        record
            Records it, and raises an error if it is not recorded or may not be.

        Returns
        -------
        bool
            Whether it was recorded; not if the leader knows it from an earlier attempt.

        Raises
        ------
        JobRefused, GangTooLarge
            If the job is refused; the leader is certain that no earlier attempt was accepted.
        VerdictUnknown
            If it was not recorded now, but may have been by an earlier attempt.
        """
        if self._is_known_beyond_limits(submission):
            return False
        if not self._is_enabled():
            record(submission.accepted)
            return True
        admitted = self._admit(submission)
        if admitted is None:
            return False
        with self._lock:
            self._recording[submission.key] += 1
        try:
            record(admitted)
        except SnowdockError as error:
            if error.status in (429, 503, 504) and self._remember(submission, error.status == 504):
                # A 503 would state that no attempt was accepted.
                raise VerdictUnknown("an earlier attempt may be recorded; repeat it") from error
            raise
        finally:
            with self._lock:
                self._recording[submission.key] -= 1
                if not self._recording[submission.key]:
                    del self._recording[submission.key]
        return True

    def _is_known_beyond_limits(self, submission: Submission) -> bool:
        """Check whether the leader knows a job that it has no room for, or that is too large.

        Raises
        ------
        NoRoomForJob, GangTooLarge
            If the leader does not know it.
        """
        error = self._find_excess(submission.accepted.spec)
        if error is None:
            return False
        is_recorded = self._is_recorded(submission.job, submission.accepted.team, _LOOKUP_SECONDS)
        if is_recorded is None:
            # An earlier attempt may have been accepted, so that a refusal could be wrong.
            log_event("refusal_unconfirmed", job=submission.job, reason=error.code)
            if isinstance(error, GangTooLarge):
                raise VerdictUnknown("an earlier attempt may be recorded; repeat it") from error
        if is_recorded is False:
            retry_after_s = getattr(error, "retry_after_seconds", None)
            self._record_refusal(
                submission,
                error.code,
                error.status,
                lambda: {"text": str(error), "retry_after_s": retry_after_s},
            )
            raise error
        return bool(is_recorded)

    def _find_excess(self, spec: JobSpec) -> GangTooLarge | NoRoomForJob | None:
        """Return why a job can't be carried at all, or not now; None if it can."""
        max_gang_tasks = self._max_gang_tasks()
        for number, step in enumerate(spec.steps):
            if step.gang and step.count > max_gang_tasks:
                return GangTooLarge(
                    f"step {number} is a gang with a count of {step.count}; "
                    f"at most {max_gang_tasks} tasks can start together"
                )
        room = self._find_room()
        delay_s = None if room is None else find_room_delay(room, spec)
        if delay_s is None:
            return None
        return NoRoomForJob(
            f"open jobs use {room.used:.0%} of their room on the leader, too much for one of "
            f"{len(spec.steps)} steps and {spec.task_count} tasks; the job was not accepted",
            delay_s,
        )

    def _record_refusal(
        self, submission: Submission, reason: str, status: int, describe: Callable[[], dict]
    ) -> None:
        """Count a refusal and log it, with more fields, within the limit of such lines."""
        now = steady_seconds()
        team = submission.accepted.team
        self._metrics.count(
            "refusals_total", "Jobs that admission control refused.", reason=reason, team=team
        )
        with self._lock:
            is_logged = not self._log_bucket.wait_s(now)
            if is_logged:
                self._log_bucket.spend(1.0, now)
        if is_logged:
            log_event(
                "job_refused",
                job=submission.job,
                queue=submission.queue.name,
                team=team,
                reason=reason,
                status=status,
                **describe(),
            )

    def _admit(self, submission: Submission) -> AcceptedJob | None:
        """Return the record of an admitted job, or None if it was recorded by an earlier attempt.

        The record has the time of the caller's first attempt.
        """
        now = steady_seconds()
        load = self._find_load()
        with self._lock:
            known = self._history.find(submission.key, now)
            caller = Caller(
                known.first_seen if known else submission.started_at,
                # An earlier attempt whose caller did not wait may still be accepted.
                submission.key in self._recording or (known is not None and known.is_in_doubt),
            )
            view = self._make_view(submission, load, now)
            demand = make_demand(submission.accepted, submission.queue)
            decision = decide(demand, caller, view, now)
            if isinstance(decision, Admitted):
                self._planner.remove(submission.key)
                if decision.by_bucket:
                    self._spend(submission, now)
        if isinstance(decision, Refused):
            team = submission.accepted.team
            is_recorded = self._is_recorded(submission.job, team, _LOOKUP_SECONDS)
            if is_recorded:
                return None
            if is_recorded is not None:
                raise self._refuse(submission, caller, view, decision)
            # An attempt at another node may have been accepted, so that a refusal could be wrong.
            log_event("refusal_unconfirmed", job=submission.job, reason=decision.reason.value)
        return _with_first_attempt(submission.accepted, known, now)

    def _remember(self, submission: Submission, is_in_doubt: bool) -> bool:
        """Remember a caller; return whether an attempt of it may be recorded."""
        now = steady_seconds()
        with self._lock:
            self._history.record(submission.key, submission.started_at, is_in_doubt, now)
            known = self._history.find(submission.key, now)
        return known is not None and known.is_in_doubt

    def _make_view(self, submission: Submission, load: LoadReading | None, now: float) -> LoadView:
        if load is not None:
            self._metrics.set(
                "admission_summary_age_seconds",
                "Age of the load summary at the last decision.",
                load.age_s,
            )
            self._update_bucket(load.summary, now)
        return make_view(
            load.summary if load else None,
            now - load.age_s if load else 0.0,
            submission.accepted,
            self._bucket.wait_s(now),
        )

    def _update_bucket(self, summary: LoadSummary, now: float) -> None:
        cores = sum(service.usable.cpu for service in summary.services) / 1000
        if cores <= 0:
            return
        is_first = not self._usable_cores
        self._usable_cores = cores
        rate = _CAPACITY_FACTOR * cores / self._cluster_size()
        if is_first:
            self._bucket = _make_bucket(rate, now)
        else:
            self._bucket.set_rate(rate, rate * MAX_SUMMARY_AGE_SECONDS, now)

    def _spend(self, submission: Submission, now: float) -> None:
        cost = submission.accepted.spec.work_core_s if self._usable_cores else 1.0
        self._bucket.spend(cost, now)

    def _cluster_size(self) -> int:
        """Return the number of nodes that share the load, as known here or stated by the leader."""
        return max(self._node_count, self._count_nodes())

    def _refuse(
        self, submission: Submission, caller: Caller, view: LoadView, decision: Refused
    ) -> JobRefused:
        now = steady_seconds()
        remaining_s = caller.first_seen + submission.deadline_s - now
        core_s = max(submission.accepted.spec.work_core_s, 0.001)
        with self._lock:
            self._history.record(submission.key, caller.first_seen, False, now)
            retry_after_s = self._planner.plan(
                submission.key,
                caller.first_seen,
                decision.retry_after_s,
                remaining_s,
                view.rate / core_s / self._cluster_size(),
                random.random(),
                now,
            )
        self._metrics.time(
            "retry_after_seconds", "Retry-After sent to refused callers.", retry_after_s
        )

        def describe() -> dict[str, object]:
            use = view.teams.get(submission.accepted.team)
            total = sum(each.core_s for each in view.teams.values())
            return {
                "share": use.share if use else None,
                "use": use.core_s / total if use and total else 0.0,
                "predicted_wait_s": view.predicted_wait_s,
                "summary_age_s": None if view.made_at is None else now - view.made_at,
                "caller_age_s": now - caller.first_seen,
                "retry_after_s": retry_after_s,
            }

        self._record_refusal(submission, decision.reason.value, decision.status, describe)
        error, message = _REFUSALS[decision.reason]
        return error(f"{message}; the job was not accepted", float(retry_after_s))

    # -- peers -----------------------------------------------------------------------------

    def make_news(self, due_s: float, leads: bool) -> bytes:
        """Return the news of callers for a heartbeat; empty if there are none.

        Parameters
        ----------
        due_s
            Seconds until the next heartbeat to the same peer.
        leads
            Whether this node leads. A leader passes on the news of all nodes.
        """
        if not self._is_enabled():
            return b""
        now = steady_seconds()
        with self._lock:
            made_at, data = self._encoded_news.get((due_s, leads), (-math.inf, b""))
            if now - made_at > _NEWS_REUSE_SECONDS:
                limit = _FORWARDED_ENTRIES if leads else _OWN_ENTRIES
                since = now - due_s - _NEWS_MARGIN_SECONDS
                entries = self._history.list_changed(since, now, limit, own=not leads)
                node_count = self._count_nodes() if leads else 0
                has_news = entries or node_count
                data = encode_news(CallerNews(entries, node_count)) if has_news else b""
                self._encoded_news[due_s, leads] = (now, data)
        return data

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take over the news of a peer."""
        if not heartbeat.callers or not self._is_enabled():
            return
        try:
            news = decode_news(heartbeat.callers)
        except InvalidInput as error:
            log_error("caller_news_dropped", error, peer=heartbeat.node)
            return
        with self._lock:
            self._history.merge(news.entries, steady_seconds())
            if heartbeat.epoch:
                self._node_count = news.node_count


def _make_bucket(rate: float, now: float) -> TokenBucket:
    return TokenBucket(rate, rate * MAX_SUMMARY_AGE_SECONDS, now)


def _with_first_attempt(
    accepted: AcceptedJob, known: KnownCaller | None, now: float
) -> AcceptedJob:
    if known is None:
        return accepted
    first_seen_ms = accepted.accepted_ms - round((now - known.first_seen) * 1000)
    return msgspec.structs.replace(accepted, first_seen_ms=first_seen_ms)
