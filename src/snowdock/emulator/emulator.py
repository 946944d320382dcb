"""Runs the leaders' real decision code against modelled systems."""

import math
import random
from collections.abc import Callable, Collection
from functools import partial

import msgspec

from ..jobs.cell import Cell, CellSettings
from ..jobs.events import (
    AdviceAnswered,
    AskAdvice,
    BatchRejected,
    CloseWorker,
    ConfigurationChanged,
    DropAdvice,
    DropJobs,
    DropProgress,
    Event,
    ForgetAccepted,
    JobAccepted,
    JobCancelled,
    LogDecision,
    OpenWorker,
    Persist,
    Persisted,
    PublishJobRoom,
    PublishLoad,
    PublishStatus,
    RecordPrediction,
    SendRenewal,
    SendStart,
    SendStop,
    StepDown,
    Ticked,
    WorkerListed,
)
from ..jobs.model import JobStatus, StepSpec, TaskId
from ..jobs.orders import AdviceResult, StartOrder
from ..jobs.policy import make_policy
from ..jobs.progress import AcceptedJob, parse_job_id, record_name
from ..jobs.recorded_progress import read_progress
from ..jobs.reducer import reduce
from ..jobs.takeover import RecordedJobs, restore
from ..jobs.timeouts import (
    AUTHORITY_SECONDS,
    RETENTION_FACTOR,
    TICK_SECONDS,
    lease_expiry_after_claim_seconds,
)
from ..jobs.unsent_calls import answer_unsent
from ..teams import Team, TeamRegistry
from .checks import InvariantChecker
from .fleet import Fleet
from .options import EmulatorOptions, Faults
from .starvation import StarvationChecker
from .timeline import Timeline
from .waiting_tasks import WaitingTaskChecker
from .worker_calls import Post, WorkerCalls, draw_delay
from .worker_model import RunPlan, WorkerModel
from .workload import DrawnJob, make_configuration

__all__ = ["Emulator"]

_STATUS_SECONDS = 120.0
"""How long a job's status stays available after its end."""

_QUOTA_OVERAGE = 0.1
"""Share of its quota by which a team may exceed it temporarily."""

_MAX_NOTICE_SECONDS = 1.0
"""The longest time after a cut heals until the old leader reads of its successor."""


_Call = SendStart | SendStop | SendRenewal


class _Leader:
    """One leadership.

    Attributes
    ----------
    cell, calls
        Its cell and its calls to workers.
    is_alive
        Whether it still handles events.
    is_cut_off
        Whether it reaches only the workers that are cut off with it.
    authority_ends_at
        When it stops sending orders, in virtual seconds.
    """

    def __init__(self, cell: Cell, make_calls: Callable[["_Leader"], WorkerCalls]) -> None:
        self.cell = cell
        self.calls = make_calls(self)
        self.is_alive = True
        self.is_cut_off = False
        self.authority_ends_at = math.inf


class Emulator:
    """An emulated cluster with its leaders.

    Parameters
    ----------
    seed
        Seed of delays, faults and advice.
    options
        Options of the cluster.
    jobs
        Jobs to submit.

    Attributes
    ----------
    timeline
        The virtual clock.
    checks
        Checker of the invariants, with the violations found.
    starvation
        Checker for jobs that starve beside free room.
    waiting_tasks
        Checker for long-running tasks that wait beside free room.
    faults
        Faults in effect; may be changed between calls of `run_until`.
    fleet
        The workers and their lives.
    statuses
        Last published status of each job.
    finished_at
        When a final status of each job was first published, in virtual seconds.
    """

    def __init__(self, seed: int, options: EmulatorOptions, jobs: list[DrawnJob]) -> None:
        self.timeline = Timeline()
        self.checks = InvariantChecker(_QUOTA_OVERAGE)
        self.faults = Faults()
        self.statuses: dict[str, JobStatus] = {}
        self.finished_at: dict[str, float] = {}
        self._seed = seed
        self._random = random.Random(seed)
        self._options = options
        self._configuration = make_configuration(options.workload)
        self.checks.quotas.configure(options.workload.teams, 0.0)
        self._jobs = {job.job: job for job in jobs}
        self.checks.crashing_tasks = {job.crashing for job in jobs if job.crashing is not None}
        self._accepted: dict[str, AcceptedJob] = {}
        self._cancelled: set[str] = set()
        self._progress: dict[str, bytes] = {}
        self._epoch = 0
        self._advice: dict[tuple[str, int, str], bool] = {}
        self._leaders: list[_Leader] = []
        self._lives_cut_off: set[str] = set()
        self._authority_ends_at = 0.0
        self.starvation = StarvationChecker(self.checks, self._may_run)
        self.waiting_tasks = WaitingTaskChecker(self.checks, self._may_run)
        self.fleet = Fleet(
            self._random,
            options,
            self.timeline,
            self.checks,
            self._plan_run,
            self._post_to_all,
            self.starvation.exempt_tasks,
            self._record_fault,
        )
        self._handlers: dict[type, Callable] = {
            Persist: self._persist,
            SendStart: lambda leader, effect: self._send(leader, effect, leader.calls.send_start),
            SendStop: lambda leader, effect: self._send(leader, effect, leader.calls.send_stop),
            SendRenewal: lambda leader, effect: self._send(
                leader, effect, leader.calls.send_renewal
            ),
            AskAdvice: self._ask_advice,
            PublishStatus: self._publish,
            StepDown: lambda leader, _: self._end_leadership(leader),
            LogDecision: _ignore,
            PublishJobRoom: _ignore,
            PublishLoad: _ignore,
            RecordPrediction: _ignore,
            OpenWorker: _ignore,
            CloseWorker: _ignore,
            DropAdvice: _ignore,
            DropJobs: _ignore,
            DropProgress: self._drop_progress,
            ForgetAccepted: self._forget_accepted,
        }
        self._check_starvation()
        for job in jobs:
            self.timeline.call_after(job.at, lambda job=job: self._submit(job))
        self.elect_leader()

    @property
    def workers(self) -> dict[str, WorkerModel]:
        """All workers since the start, by life."""
        return self.fleet.workers

    # -- external events -------------------------------------------------------------------

    def run_until(self, end: float) -> None:
        """Run the cluster until a virtual time, in seconds."""
        self.timeline.run_until(end)

    def set_effect_handler(self, kind: type, handler: Callable[[object], None]) -> None:
        """Set the handler of a kind of effects that the emulator ignores, such as `LogDecision`."""
        self._handlers[kind] = lambda _, effect: handler(effect)

    @property
    def leader_cell(self) -> Cell:
        """The newest leader's cell."""
        return self._leaders[-1].cell

    def cancel(self, job: str) -> None:
        """Cancel a job."""
        name = record_name(job, self._jobs[job].team)
        self._cancelled.add(name)
        self.checks.record_cancellation(job, self.timeline.now)
        self._post_to_all(JobCancelled(name))

    def change_teams(self, teams: tuple[Team, ...]) -> None:
        """Apply a configuration with other teams or quotas."""
        version = self._configuration.version + 1
        self._configuration = msgspec.structs.replace(
            self._configuration, version=version, teams=TeamRegistry(teams)
        )
        self.checks.quotas.configure(teams, self.timeline.now)
        self._post_to_all(ConfigurationChanged(self._configuration))

    def kill_leader(self, pause: float) -> None:
        """Kill all leaders; another one is elected after a pause in seconds."""
        for leader in self._leaders:
            leader.is_alive = False
        self._record_fault()
        self.timeline.call_after(pause, self.elect_leader)

    def depose_leader(self) -> None:
        """Elect another leader without stopping the old one."""
        self.elect_leader()

    def cut_off_leader(
        self,
        lives: Collection[str],
        claim_after_s: float,
        authority_s: float = AUTHORITY_SECONDS,
        exceeds_authority: bool = False,
    ) -> None:
        """Cut the newest leader and some workers off from all else, and elect another leader.

        Parameters
        ----------
        lives
            Lives of the workers that only the old leader reaches, until `heal_cut`.
        claim_after_s
            Delay of the successor's claim, in seconds.
        authority_s
            How long after the claim the old leader may send orders, in seconds. Its successors wait
            for the leases that it may have renewed until then.
        exceeds_authority
            Whether the old leader sends orders until it reads of its successor.
        """
        leader = self._leaders[-1]
        leader.is_cut_off = True
        self._lives_cut_off.update(lives)

        def claim() -> None:
            self._authority_ends_at = max(self._authority_ends_at, self.timeline.now + authority_s)
            if not exceeds_authority:
                leader.authority_ends_at = self.timeline.now + authority_s
            self.elect_leader()

        self.timeline.call_after(claim_after_s, claim)

    def heal_cut(self) -> None:
        """Connect all leaders and workers again; the old leader then reads of its successor."""
        self._record_fault()
        self._lives_cut_off.clear()
        for leader in self._leaders:
            if leader.is_cut_off:
                leader.is_cut_off = False
                notice_s = self._random.uniform(0.0, _MAX_NOTICE_SECONDS)
                self.timeline.call_after(notice_s, partial(self._end_if_deposed, leader))

    def elect_leader(self) -> None:
        """Start a leader that restores its state from the recorded jobs."""
        self._epoch += 1
        self._record_fault()
        now = self.timeline.now
        options = self._options
        settings = CellSettings(
            lease_s=options.lease_s,
            unreached_run_expiry_s=lease_expiry_after_claim_seconds(
                options.lease_s, max(AUTHORITY_SECONDS, self._authority_ends_at - now)
            ),
            gang_wait_s=options.timings.gang_wait_s,
            early_s=0.25,
            stop_s=options.timings.stop_s,
            retention_s=RETENTION_FACTOR * _STATUS_SECONDS,
            quota_overage=_QUOTA_OVERAGE,
            summarizes_load=options.summarizes_load,
            max_record_bytes=options.max_record_bytes,
            max_append_bytes=options.max_append_bytes,
        )
        holder: list[Cell] = []
        policy = make_policy(_ignore, lambda: holder[0])
        cell = Cell(settings, self._epoch, policy, now)
        holder.append(cell)
        cell.configuration = self._configuration
        on_record = read_progress([self._progress.items()])
        recorded = RecordedJobs(
            dict(self._accepted),
            set(self._cancelled),
            on_record.progress,
            on_record.unreadable,
            layouts=on_record.layouts,
        )
        leader = _Leader(cell, self._make_calls)
        for effect in restore(cell, recorded, now, now * 1000):
            self._handlers[type(effect)](leader, effect)
        self._leaders.append(leader)
        for entry in self.fleet.list_entries():
            self._post(leader, WorkerListed(entry))
        self._tick(leader)

    # -- the leader ------------------------------------------------------------------------

    def _post_to_all(self, event: Event) -> None:
        for leader in self._leaders:
            if not leader.is_cut_off:
                self._post(leader, event)

    def _post(self, leader: _Leader, event: Event) -> None:
        if not leader.is_alive:
            return
        now = self.timeline.now
        for effect in reduce(leader.cell, event, now, now * 1000):
            self._handlers[type(effect)](leader, effect)

    def _make_post(self, leader: _Leader) -> Post:
        return lambda event: self._post(leader, event)

    def _make_calls(self, leader: _Leader) -> WorkerCalls:
        return WorkerCalls(
            self.timeline,
            self._random,
            self.faults,
            self.workers,
            self._options.typical_call_s,
            self._find_step,
            lambda life: self._reaches(leader, life),
        )

    def _reaches(self, leader: _Leader, life: str) -> bool:
        if life in self.faults.unreachable_lives:
            return False
        return leader.is_cut_off == (life in self._lives_cut_off)

    def _tick(self, leader: _Leader) -> None:
        if leader.is_alive:
            self._post(leader, Ticked(self._options.advice_node_count))
            self.timeline.call_after(TICK_SECONDS, lambda: self._tick(leader))

    def _end_leadership(self, leader: _Leader) -> None:
        leader.is_alive = False

    def _end_if_deposed(self, leader: _Leader) -> None:
        if leader.cell.token < self._epoch:
            self._end_leadership(leader)

    def _submit(self, job: DrawnJob) -> None:
        if self.faults.is_store_down:
            self.timeline.call_after(0.5, lambda: self._submit(job))
            return
        queue = job.mix.queue
        accepted = AcceptedJob(
            job.spec,
            round(self.timeline.now * 1000),
            queue.service,
            queue.priority,
            queue.max_attempts,
            job.team,
        )
        self._accepted[job.job] = accepted
        self.checks.quotas.record_submission(job.job, job.team)
        self.checks.record_submission(job.job, job.spec, queue.max_attempts)
        self.timeline.call_after(
            self._draw_delay(self._options.typical_append_s),
            lambda: self._accept(job.job, accepted),
        )
        if job.cancel_after is not None:
            self.timeline.call_after(job.cancel_after, lambda: self._cancel_durably(job.job))

    def _accept(self, job: str, accepted: AcceptedJob) -> None:
        self.waiting_tasks.record_acceptance(job, self.timeline.now)
        self._post_to_all(JobAccepted(job, accepted))

    def _cancel_durably(self, job: str) -> None:
        """Cancel a job once the store accepts the cancellation."""
        if self.faults.is_store_down:
            self.timeline.call_after(0.5, lambda: self._cancel_durably(job))
        else:
            self.cancel(job)

    def _plan_run(self, task: TaskId, run: int) -> RunPlan:
        job = self._jobs[task.job]
        rng = random.Random(f"{task.job}/{task.step}/{task.index}/{run}")
        fails = job.is_hopeless or rng.random() < job.mix.failing_share
        seconds = job.work_s[task.step][task.index]
        if job.spec.steps[task.step].long_running:
            seconds = rng.uniform(0.0, job.mix.lasting_s)
        return RunPlan(seconds, fails, task == job.crashing)

    def _record_fault(self) -> None:
        self.waiting_tasks.record_fault(self.timeline.now)

    def _check_starvation(self) -> None:
        """Check for starving jobs and waiting tasks, unless a fault explains them."""
        cut_off = self.faults.unreachable_lives or self._lives_cut_off
        if self.faults.is_store_down or cut_off or not self._leaders[-1:]:
            self.starvation.reset()
            self._record_fault()
        else:
            shown = self.statuses.items()
            open_jobs = [job for job, status in shown if not status.is_final]
            self.starvation.check(self.workers.values(), open_jobs, self.timeline.now)
        ended_jobs = [job for job, status in self.statuses.items() if status.is_final]
        self.waiting_tasks.check(self.workers.values(), ended_jobs, self.timeline.now)
        self.timeline.call_after(TICK_SECONDS, self._check_starvation)

    # -- effects ---------------------------------------------------------------------------

    def _draw_delay(self, mean: float) -> float:
        return draw_delay(self._random, mean)

    def _persist(self, leader: _Leader, effect: Persist) -> None:
        self.timeline.call_after(
            self._draw_delay(self._options.typical_append_s), lambda: self._append(leader, effect)
        )

    def _append(self, leader: _Leader, effect: Persist) -> None:
        if not leader.is_alive:
            return
        if self.faults.is_store_down or leader.is_cut_off:
            self.timeline.call_after(0.1, lambda: self._append(leader, effect))
            return
        if leader.cell.token < self._epoch:
            self._end_leadership(leader)
            return
        outcome = BatchRejected(effect.number)
        if self._takes(effect):
            outcome = Persisted(effect.number)
            self._progress |= {record.key: record.data for record in effect.records}
        self.timeline.call_after(self._options.typical_call_s, lambda: self._post(leader, outcome))

    def _takes(self, effect: Persist) -> bool:
        """Check whether the store takes a batch, by its length and that of each record."""
        longest = max(record.size for record in effect.records)
        total = sum(record.append_size for record in effect.records)
        options = self._options
        return longest <= options.max_record_bytes and total <= options.max_append_bytes

    def _drop_progress(self, _: _Leader, effect: DropProgress) -> None:
        for key in effect.keys:
            self._progress.pop(key, None)

    def _send(self, leader: _Leader, effect: _Call, send: Callable[[Post, _Call], None]) -> None:
        if self.timeline.now < leader.authority_ends_at:
            send(self._make_post(leader), effect)
            return
        # Outside the handling of another event, as the answer to a call would come.
        self.timeline.call_after(
            self._options.typical_call_s, lambda: self._post(leader, answer_unsent(effect))
        )

    def _find_step(self, order: StartOrder) -> StepSpec:
        return self._jobs[order.task.job].spec.steps[order.task.step]

    def _ask_advice(self, leader: _Leader, effect: AskAdvice) -> None:
        request = effect.request
        tickets = {
            life: f"t-{life}"
            for life in request.workers
            if self._may_run(request.job, request.step, life)
        }
        answer_s = effect.expected_ms / 1000
        if self._options.max_advice_delay_factor > 1.0:
            answer_s *= self._random.uniform(1.0, self._options.max_advice_delay_factor)
        self.timeline.call_after(
            answer_s + self._draw_delay(self._options.typical_call_s),
            lambda: self._post(leader, AdviceAnswered(AdviceResult(request, tickets))),
        )

    def _may_run(self, job: str, step: int, life: str) -> bool:
        key = (job, step, life)
        if key not in self._advice:
            # Seeded by its key, so that the order of requests changes no other random value.
            drawn = random.Random(f"{self._seed}/{job}/{step}/{life}").random()
            self._advice[key] = drawn < self._jobs[job].mix.fit_share
        return self._advice[key]

    def _forget_accepted(self, _: _Leader, effect: ForgetAccepted) -> None:
        for name in effect.names:
            self._accepted.pop(parse_job_id(name), None)
            self._cancelled.discard(name)

    def _publish(self, leader: _Leader, effect: PublishStatus) -> None:
        now = self.timeline.now
        if not leader.is_cut_off:
            self.statuses[effect.job] = effect.status
        if effect.status.is_final:
            self.finished_at.setdefault(effect.job, now)
            self.checks.check_status(effect.job, effect.status, now)


def _ignore(*_: object) -> None:
    """Do nothing; handles effects that aren't emulated."""
