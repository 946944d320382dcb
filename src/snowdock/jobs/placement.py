"""Placement of waiting steps on workers: the most urgent first, within a bounded effort."""

import dataclasses

from ..declarations import ZERO, Size
from .availability import find_exclusion
from .candidates import Candidate, Caution, caution_for, choose_workers, find_candidates, is_bulky
from .cell import Cell, DeferredStart
from .durability import mark_dirty
from .failed_runs import begin_probation_run
from .job_state import Phase, Step, Task
from .occupancy import occupy
from .placement_advice import may_request_advice, needs_advice, request_advice
from .preemption import has_claim, preempt_runs, release_expired_claims
from .quotas import reserve_quotas, tasks_within_quota
from .ranking import refresh_ranks
from .reservations import reserve_room
from .suspects import (
    IsolationLevel,
    limit_suspect_seats,
    may_share_worker,
    next_tasks,
    record_suspect,
)
from .workers import Worker

__all__ = ["place_waiting_steps"]

_MIN_PASS_INTERVAL_SECONDS = 0.005
"""Pause between two passes: news that come together are looked at together."""

_SECONDS_PER_EXAMINED_WORKER = 10e-6
"""What looking at one worker for one step takes, roughly."""

_MAX_EXAMINED_PER_PASS = 1_500
"""The most looks of one pass, some 15 ms: renewals and answers may not wait for longer. Half go
to the steps with the highest rank, half to those that have had no look for longest."""

_MAX_PASS_TIME_SHARE = 0.3
"""The most of the time that passes may take: a leader whose passes took all of it answered to
nothing else, its tickets expired on their way, and each refused start wanted another pass."""

_MAX_BLOCKED_SECONDS = 1.5
"""A step that runs nothing, and that only reservations keep out for so long, has one task let in:
callers of small work may wait for room, but not for seconds beside room that is free. Tickets take
up to half a second more, and three seconds are the most that the users allow."""

_CROWDED_STEP_COUNT = 50
_SEARCH_RETRY_SECONDS = 0.05
"""While more steps than this wait, one that found no room leaves others their turn so long."""


@dataclasses.dataclass(slots=True)
class _WorkerPool:
    """The workers of one service that may take something, and the largest room among them.

    Bulky steps are looked for room where no worker has any: they may have runs stopped that
    yield, or room reserved.
    """

    workers: dict[str, Worker] = dataclasses.field(default_factory=dict)
    _by_free_cpu: list[Worker] | None = None
    max_free_cpu: int = 0
    max_free_memory: int = 0
    max_free_accelerators: int = 0
    capacity: Size = ZERO

    def add(self, worker: Worker) -> None:
        """Count a worker in."""
        free = worker.free
        self.workers[worker.entry.life] = worker
        # Plain comparisons: each pass counts each worker in.
        if free.cpu > self.max_free_cpu:
            self.max_free_cpu = free.cpu
        if free.memory > self.max_free_memory:
            self.max_free_memory = free.memory
        if free.accelerators > self.max_free_accelerators:
            self.max_free_accelerators = free.accelerators
        if not self.capacity.holds(worker.entry.capacity):
            self.capacity = self.capacity.at_least(worker.entry.capacity)

    @property
    def by_free_cpu(self) -> list[Worker]:
        """The workers, those with most processors free first; as when it was first asked for."""
        if self._by_free_cpu is None:
            self._by_free_cpu = sorted(self.workers.values(), key=lambda each: -each.free.cpu)
        return self._by_free_cpu

    def may_hold(self, step: Step) -> bool:
        """Whether some worker might hold a task of a step."""
        max_free = Size(self.max_free_cpu, self.max_free_memory, self.max_free_accelerators)
        return step.is_bulky or max_free.holds(step.spec.room)


_EMPTY_POOL = _WorkerPool()


class _WorkerPools:
    """The workers that may take something in a pass, by service."""

    def __init__(self, cell: Cell, now: float) -> None:
        self._cell = cell
        self._now = now
        self._regular = self._build_pools(is_last_resort=False)
        self._last_resort: dict[str, _WorkerPool] | None = None

    def pool_for(self, step: Step) -> _WorkerPool:
        """Give the workers that may take something of a step."""
        service = self._cell.queue_of(step.job).service
        if caution_for(self._cell, step) is not Caution.NONE:
            return self._regular.get(service, _EMPTY_POOL)
        if self._last_resort is None:
            self._last_resort = self._build_pools(is_last_resort=True)
        return self._last_resort.get(service, _EMPTY_POOL)

    def _build_pools(self, is_last_resort: bool) -> dict[str, _WorkerPool]:
        pools: dict[str, _WorkerPool] = {}
        for worker in self._cell.workers.values():
            if find_exclusion(worker, self._now, is_last_resort) is None:
                pools.setdefault(worker.entry.service, _WorkerPool()).add(worker)
        return pools


def place_waiting_steps(cell: Cell, now: float) -> None:
    """Place what finds room, the highest rank first."""
    if not cell.waiting_steps or now < cell.next_placement_at:
        return
    cell.needs_placement = False
    cell.last_placement_at = now
    release_expired_claims(cell, now)
    refresh_ranks(cell, now)
    reserve_quotas(cell)
    pools = _WorkerPools(cell, now)
    examined = len(cell.workers)
    by_rank = sorted(cell.waiting_steps.values(), key=lambda step: -step.rank)
    examined += _search_steps(cell, by_rank, pools, now, _MAX_EXAMINED_PER_PASS // 2)
    newly_advised = [step for step in by_rank if step.has_new_advice]
    examined += _search_steps(cell, newly_advised, pools, now, _MAX_EXAMINED_PER_PASS)
    if len(cell.waiting_steps) > _CROWDED_STEP_COUNT:
        by_last_search = sorted(cell.waiting_steps.values(), key=lambda step: step.last_search_at)
        examined += _search_steps(cell, by_last_search, pools, now, _MAX_EXAMINED_PER_PASS // 2)
    pause = examined * _SECONDS_PER_EXAMINED_WORKER / _MAX_PASS_TIME_SHARE
    cell.next_placement_at = now + max(_MIN_PASS_INTERVAL_SECONDS, pause)


def _search_steps(
    cell: Cell, steps: list[Step], pools: _WorkerPools, now: float, max_examined: int
) -> int:
    """Look for room for steps in order, with so many looks at most; give how many it took."""
    examined = 0
    for step in steps:
        if examined >= max_examined:
            break
        if step.not_before <= now and step.next_search_at <= now:
            step.last_search_at = now
            step.has_new_advice = False
            examined += _place_step(cell, step, pools, now)
    return examined


def _place_step(cell: Cell, step: Step, pools: _WorkerPools, now: float) -> int:
    """Place what finds room of one step; give how many workers were looked at."""
    tasks, isolation = next_tasks(step, now)
    if not tasks:
        del cell.waiting_steps[step.key]
        return 1
    tasks = tasks[: _limit_to_quota(cell, step, len(tasks))]
    if not tasks:
        return 1
    pool = pools.pool_for(step)
    step.is_bulky = is_bulky(step, pool.capacity)
    if not pool.may_hold(step):
        return 1
    if needs_advice(cell, step):
        return 1 + _place_advised(cell, step, tasks, isolation, pool, now)
    workers = _filter_by_isolation(isolation, list(pool.workers.values()))
    candidates = _find_step_candidates(cell, step, workers, workers, isolation, now)
    remaining = _place_tasks(cell, step, tasks, isolation, candidates, now)
    if remaining:
        if step.is_bulky:
            _claim_or_reserve_room(cell, step, workers, workers, len(remaining), now)
        _defer_search(cell, step, now)
    return 1 + len(workers)


def _limit_to_quota(cell: Cell, step: Step, wanted: int) -> int:
    """Tell how many tasks of a step its team's quota lets begin, and note where it is none."""
    count = tasks_within_quota(cell, step, wanted)
    if step.is_at_quota is not (count == 0):
        step.is_at_quota = count == 0
        decision = "team_at_quota" if step.is_at_quota else "team_below_quota"
        team = step.job.team
        used = cell.team_usage.used(team)
        cell.log_decision(
            decision, step.job.id, step=step.number, team=team, wanted=wanted, used=used
        )
    return count


def _place_advised(
    cell: Cell,
    step: Step,
    tasks: list[Task],
    isolation: IsolationLevel,
    pool: _WorkerPool,
    now: float,
) -> int:
    """Place on workers with tickets, or ask for more; give how many workers were looked at."""
    workers = _filter_by_isolation(isolation, _find_workers_with_ticket(step, pool, now))
    fit = _filter_by_isolation(isolation, _find_fit_workers(step, pool))
    candidates = _find_step_candidates(cell, step, workers, fit, isolation, now)
    remaining = _place_tasks(cell, step, tasks, isolation, candidates, now)
    examined = len(workers)
    if not remaining or (len(remaining) < len(tasks) and not step.is_bulky):
        return examined
    if step.is_bulky:
        examined += len(fit)
        if _claim_or_reserve_room(cell, step, workers, fit, len(remaining), now):
            return examined
    if not step.advice.pending_requests and may_request_advice(cell, step, fit, now):
        examined += request_advice(cell, step, pool.by_free_cpu, fit, len(remaining), now)
    _defer_search(cell, step, now)
    return examined


def _filter_by_isolation(isolation: IsolationLevel, workers: list[Worker]) -> list[Worker]:
    """Give the workers where tasks may run that keep such company."""
    if isolation is IsolationLevel.NONE:
        return workers
    return [worker for worker in workers if may_share_worker(worker, isolation)]


def _find_step_candidates(
    cell: Cell,
    step: Step,
    workers: list[Worker],
    fit: list[Worker],
    isolation: IsolationLevel,
    now: float,
) -> list[Candidate]:
    """Give the seats of a step, one of them in reserved room where it has been kept for long.

    ``workers`` are those where it could start now, ``fit`` those where it may ever run.
    """
    candidates = list(find_candidates(cell, step, workers))
    if isolation is not IsolationLevel.NONE:
        candidates = limit_suspect_seats(cell, step, candidates, isolation)
    if candidates or step.spec.gang or not fit:
        return candidates
    if any(task.is_placed for task in step.tasks) or not _is_blocked_by_reservations(
        cell, step, fit
    ):
        step.blocked_since = None
        return []
    if step.blocked_since is None:
        step.blocked_since = now
    if now - step.blocked_since < _MAX_BLOCKED_SECONDS:
        return []
    reserved = list(find_candidates(cell, step, workers, ignore_reservations=True))
    if not reserved:
        # Its tickets are being renewed for this.
        return []
    best = max(reserved, key=lambda seat: seat.score)
    return [dataclasses.replace(best, count=1)]


def _is_blocked_by_reservations(cell: Cell, step: Step, fit: list[Worker]) -> bool:
    """Whether there is room for a step that others have only reserved."""
    return any(True for _ in find_candidates(cell, step, fit, ignore_reservations=True))


def _place_tasks(
    cell: Cell,
    step: Step,
    tasks: list[Task],
    isolation: IsolationLevel,
    candidates: list[Candidate],
    now: float,
) -> list[Task]:
    """Place tasks as far as the seats go, a gang whole or not at all; give those left over."""
    chosen = choose_workers(step, tasks, candidates)
    if not chosen or (step.spec.gang and len(chosen) < len(tasks)):
        return tasks
    _assign_tasks(cell, step, tasks, isolation, chosen, now)
    return tasks[len(chosen) :]


def _claim_or_reserve_room(
    cell: Cell,
    step: Step,
    ready: list[Worker],
    fit: list[Worker],
    wanted: int,
    now: float,
) -> bool:
    """Have room made for a bulky step, or reserve what will come free; tell whether it is made.

    ``ready`` are the workers where it could start now, ``fit`` those where it may ever run.
    """
    if has_claim(cell, step, now) or preempt_runs(cell, step, ready, wanted, now):
        return True
    reserve_room(cell, step, fit, wanted, now)
    return False


def _defer_search(cell: Cell, step: Step, now: float) -> None:
    if len(cell.waiting_steps) > _CROWDED_STEP_COUNT:
        step.next_search_at = now + _SEARCH_RETRY_SECONDS


def _find_workers_with_ticket(step: Step, pool: _WorkerPool, now: float) -> list[Worker]:
    """Give the workers that a start of the step would have a good ticket for."""
    workers = []
    for life, (_, expires) in step.advice.tickets.items():
        worker = pool.workers.get(life)
        if worker is not None and expires > now:
            workers.append(worker)
    return workers


def _find_fit_workers(step: Step, pool: _WorkerPool) -> list[Worker]:
    """Give the workers that may run the step as far as is known, whether or not with a ticket."""
    return [pool.workers[life] for life in step.advice.tickets if life in pool.workers]


def _assign_tasks(
    cell: Cell,
    step: Step,
    tasks: list[Task],
    isolation: IsolationLevel,
    chosen: list[Worker],
    now: float,
) -> None:
    """Place tasks; their starts go out once the placement is on record."""
    gang_run = max(task.run for task in step.tasks) + 1
    checkpoint = _gang_checkpoint(step) if step.spec.gang else ""
    for task, worker in zip(tasks, chosen, strict=False):
        task.run = gang_run if step.spec.gang else task.run + 1
        task.life = worker.life
        task.is_confirmed = False
        task.phase = Phase.RECORDED
        task.phase_since = task.ordered_at = now
        if step.spec.gang:
            task.checkpoint = checkpoint
        occupy(cell, worker, task.id, task.run, step)
        record_suspect(worker, task, isolation)
        begin_probation_run(worker, (task.id, task.run), now)
        cell.deferred.append(DeferredStart(task, task.run))
    step.blocked_since = None
    mark_dirty(cell, step.job)
    cell.log_decision(
        "placed",
        step.job.id,
        step=step.number,
        tasks=len(chosen),
        run=tasks[0].run,
        workers=sorted({worker.life for worker in chosen}),
        rank=step.rank,
        waited_s=now - step.job.submitted_at,
    )
    remaining = [task for task in step.tasks if task.phase is Phase.WAITING]
    if not remaining:
        del cell.waiting_steps[step.key]
        release_expired_claims(cell, now)
    elif any(task.lost_runs for task in remaining):
        # They keep other company, and were not looked at yet.
        cell.needs_placement = True


def _gang_checkpoint(step: Step) -> str:
    """Any member's checkpoint serves the whole gang, but all must bring the same."""
    latest = max(step.tasks, key=lambda task: (bool(task.checkpoint), task.run, task.checkpoint))
    return latest.checkpoint
