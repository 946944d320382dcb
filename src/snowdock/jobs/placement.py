"""Placement of waiting steps on workers, by rank, in passes of bounded duration."""

import dataclasses
import math

from .advice_choice import shortest_answer_seconds
from .advice_limits import find_advised_services, find_ask_obstacle
from .advice_turns import begin_turns, find_steps_in_turn
from .candidates import Candidate, choose_workers, find_candidates, is_bulky
from .cell import Cell, DeferredStart
from .durability import mark_dirty
from .expected_finish import order_by_speed, prefer_by_finish, withhold_slow_workers
from .failed_runs import begin_probation_run
from .job_objects import CROWDED_STEP_COUNT, add_tasks
from .job_state import AskObstacle, Phase, Step, Task
from .load import record_first_wait, record_started
from .occupancy import occupy
from .placement_advice import needs_advice, request_advice
from .preemption import has_claim, preempt_runs, release_expired_claims
from .quotas import reserve_quotas, tasks_within_quota
from .ranking import refresh_ranks
from .reservations import reserve_room
from .suspects import (
    IsolationLevel,
    limit_suspect_candidates,
    may_share_worker,
    next_tasks,
    record_suspect,
)
from .worker_pools import WorkerPool, WorkerPools
from .workers import Worker

__all__ = ["place_waiting_steps"]

_MIN_PASS_INTERVAL_SECONDS = 0.005
"""Minimum time between two passes, so that one pass covers several changes."""

_MAX_EXAMINED_PER_PASS = 1_500
"""Maximum number of workers examined in one pass, so that renewals and answers are not delayed for
long: about 15 ms. Half of them are examined for the steps with the highest rank, half for the
steps whose last search is the oldest."""

_MAX_PLACED_PER_PASS = 500
"""Number of tasks after which a pass places no more: each of them is recorded, ordered and answered
in the events that follow. A gang is placed as a whole."""

_MAX_BLOCKED_SECONDS = 1.5
"""Time after which a step that runs nothing, and that only reservations block, may place one task
on reserved room. Users allow three seconds beside free room, and tickets take up to half a second
of them."""

_SEARCH_RETRY_SECONDS = 0.05
"""While more than `CROWDED_STEP_COUNT` steps are waiting, a step that could not be placed is not
searched again for this time, so that other steps are."""

_MAX_SEARCH_GAP_SECONDS = 1.0
"""Time after which a step is searched although steps of higher rank use up each pass, while fewer
steps than `CROWDED_STEP_COUNT` are waiting."""


def place_waiting_steps(cell: Cell, now: float) -> None:
    """Run a placement pass over the waiting steps, in descending order of rank.

    Steps that have the highest rank by aging come first, within a limit of their own. Steps whose
    turn it is to request advice come last, so that they are not placed before steps of higher rank.
    """
    if not cell.waiting_steps or now < cell.next_placement_at:
        return
    cell.needs_placement = False
    cell.last_placement_at = now
    cell.placed_in_pass = 0
    release_expired_claims(cell, now)
    refresh_ranks(cell, now)
    reserve_quotas(cell)
    cell.advised_services = find_advised_services(cell)
    pools = WorkerPools(cell, now)
    examined = len(cell.workers)
    in_turn = find_steps_in_turn(cell, now)
    waiting = cell.waiting_steps.values()
    aged = [step for step in waiting if math.isinf(step.rank)]
    aged.sort(key=lambda step: step.last_search_at)
    examined += _search_steps(cell, aged, pools, now, _MAX_EXAMINED_PER_PASS // 4)
    by_rank = [step for step in waiting if not math.isinf(step.rank)]
    by_rank.sort(key=lambda step: -step.rank)
    max_examined = _MAX_EXAMINED_PER_PASS // 2
    examined_by_rank = _search_steps(cell, by_rank, pools, now, max_examined)
    examined += examined_by_rank
    newly_advised = [step for step in by_rank if step.has_new_advice]
    examined += _search_steps(cell, newly_advised, pools, now, _MAX_EXAMINED_PER_PASS)
    neglected = _find_neglected_steps(cell, examined_by_rank >= max_examined, now)
    examined += _search_steps(cell, neglected, pools, now, max_examined)
    in_turn = [step for step in in_turn if step.key in cell.waiting_steps]
    begin_turns(in_turn, now)
    examined += _search_steps(cell, in_turn, pools, now, _MAX_EXAMINED_PER_PASS // 4)
    pause = examined * cell.settings.examination_s / cell.settings.pass_time_share
    cell.next_placement_at = now + max(_MIN_PASS_INTERVAL_SECONDS, pause)
    cell.needs_placement |= cell.placed_in_pass >= _MAX_PLACED_PER_PASS


def _find_neglected_steps(cell: Cell, is_limit_reached: bool, now: float) -> list[Step]:
    """Return the steps to search next that a search by rank may not reach, longest ago first.

    Without a crowd of waiting steps there are none unless that search reached its limit.
    """
    neglected = list(cell.waiting_steps.values())
    if len(neglected) <= CROWDED_STEP_COUNT:
        if not is_limit_reached:
            return []
        latest = now - _MAX_SEARCH_GAP_SECONDS
        neglected = [step for step in neglected if step.last_search_at <= latest]
    neglected.sort(key=lambda step: step.last_search_at)
    return neglected


def _search_steps(
    cell: Cell, steps: list[Step], pools: WorkerPools, now: float, max_examined: int
) -> int:
    """Search workers for steps, in order, and return the number of workers examined.

    No further step is searched once ``max_examined`` workers have been examined, or the pass has
    placed `_MAX_PLACED_PER_PASS` tasks.
    """
    examined = 0
    for step in steps:
        if examined >= max_examined or cell.placed_in_pass >= _MAX_PLACED_PER_PASS:
            break
        if step.not_before <= now and step.next_search_at <= now:
            step.last_search_at = now
            step.has_new_advice = False
            examined += _place_step(cell, step, pools, now)
    return examined


def _place_step(cell: Cell, step: Step, pools: WorkerPools, now: float) -> int:
    """Place as many tasks of a step as possible, and return the number of workers examined."""
    tasks, isolation = next_tasks(step, now)
    if not tasks:
        if not step.waiting_tasks:
            cell.dequeue(step)
        step.ask_obstacle = AskObstacle.PAUSE
        return 1
    tasks = tasks[: _limit_to_quota(cell, step, len(tasks))]
    if not tasks:
        step.ask_obstacle = AskObstacle.QUOTA
        return 1
    pool = pools.pool_for(step)
    step.is_bulky = is_bulky(step, pool.capacity)
    if not pool.may_hold(step):
        step.ask_obstacle = AskObstacle.ROOM
        return 1
    if needs_advice(cell, step):
        return 1 + _place_advised(cell, step, tasks, isolation, pool, now)
    workers = _filter_by_isolation(isolation, list(pool.workers.values()), now)
    candidates = _find_step_candidates(cell, step, workers, workers, isolation, now)
    candidates = _choose_by_finish(cell, step, candidates, len(tasks), workers, now)
    remaining = _place_tasks(cell, step, tasks, isolation, candidates, now)
    if remaining:
        if step.is_bulky:
            _claim_or_reserve_room(cell, step, workers, workers, len(remaining), now)
        _defer_search(cell, step, now)
    return 1 + len(workers)


def _limit_to_quota(cell: Cell, step: Step, wanted: int) -> int:
    """Return the number of tasks that the team's quota admits, and log when it becomes zero."""
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
    pool: WorkerPool,
    now: float,
) -> int:
    """Place tasks on workers with tickets, or request advice; return the workers examined."""
    workers = _filter_by_isolation(isolation, _find_workers_with_ticket(step, pool, now), now)
    fit = _filter_by_isolation(isolation, _find_fit_workers(step, pool), now)
    candidates = _find_step_candidates(cell, step, workers, fit, isolation, now)
    candidates = _choose_by_finish(cell, step, candidates, len(tasks), fit, now)
    remaining = _place_tasks(cell, step, tasks, isolation, candidates, now)
    examined = len(workers)
    if not remaining or (len(remaining) < len(tasks) and not step.is_bulky):
        step.ask_obstacle = AskObstacle.PLACED
        return examined
    if step.is_bulky:
        examined += len(fit)
        if _claim_or_reserve_room(cell, step, workers, fit, len(remaining), now):
            step.ask_obstacle = AskObstacle.CLAIM
            return examined
    examined += _request_advice(cell, step, pool, fit, isolation, len(remaining), now)
    _defer_search(cell, step, now)
    return examined


def _request_advice(
    cell: Cell,
    step: Step,
    pool: WorkerPool,
    fit: list[Worker],
    isolation: IsolationLevel,
    wanted: int,
    now: float,
) -> int:
    """Request advice if an answer could lead to a placement; return the workers examined."""
    answer_at = now + shortest_answer_seconds(step.advice)
    if isolation is not IsolationLevel.NONE:
        # It may be lower by then.
        _, isolation = next_tasks(step, answer_at)
        fit = _filter_by_isolation(isolation, _find_fit_workers(step, pool), answer_at)
    step.ask_obstacle = find_ask_obstacle(cell, step, fit, now)
    if step.ask_obstacle is not None:
        return 0
    workers = _filter_by_isolation(isolation, order_by_speed(cell, step, pool, now), answer_at)
    return request_advice(cell, step, workers, fit, wanted, now)


def _choose_by_finish(
    cell: Cell,
    step: Step,
    candidates: list[Candidate],
    wanted: int,
    fit: list[Worker],
    now: float,
) -> list[Candidate]:
    candidates = prefer_by_finish(cell, step, candidates, now)
    return withhold_slow_workers(cell, step, candidates, wanted, fit, now)


def _filter_by_isolation(
    isolation: IsolationLevel, workers: list[Worker], now: float
) -> list[Worker]:
    """Return the workers that satisfy an isolation level."""
    if isolation is IsolationLevel.NONE:
        return workers
    return [worker for worker in workers if may_share_worker(worker, isolation, now)]


def _find_step_candidates(
    cell: Cell,
    step: Step,
    workers: list[Worker],
    fit: list[Worker],
    isolation: IsolationLevel,
    now: float,
) -> list[Candidate]:
    """Return the candidates for a step, or one with reserved room if it is blocked for long.

    ``workers`` are those on which the step could start now, ``fit`` those that may run it at all.
    """
    candidates = list(find_candidates(cell, step, workers))
    if isolation is not IsolationLevel.NONE:
        candidates = limit_suspect_candidates(cell, step, candidates, isolation)
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
        # The tickets for these workers are being renewed.
        return []
    best = max(reserved, key=lambda candidate: candidate.score)
    return [dataclasses.replace(best, count=1)]


def _is_blocked_by_reservations(cell: Cell, step: Step, fit: list[Worker]) -> bool:
    """Check whether only reservations for other steps prevent a placement."""
    return any(True for _ in find_candidates(cell, step, fit, ignore_reservations=True))


def _place_tasks(
    cell: Cell,
    step: Step,
    tasks: list[Task],
    isolation: IsolationLevel,
    candidates: list[Candidate],
    now: float,
) -> list[Task]:
    """Place tasks on candidates, a gang as a whole or not at all; return the remaining tasks."""
    chosen = choose_workers(step, tasks, candidates)
    if not chosen or (step.spec.gang and len(chosen) < len(tasks)):
        return tasks
    _assign_tasks(cell, step, tasks, isolation, chosen, now)
    return tasks[len(chosen) :]


def _claim_or_reserve_room(
    cell: Cell,
    step: Step,
    workers: list[Worker],
    fit: list[Worker],
    wanted: int,
    now: float,
) -> bool:
    """Preempt runs for a bulky step, or else reserve resources; return whether it has a claim.

    ``workers`` are those on which the step could start now, ``fit`` those that may run it at
    all.
    """
    if not step.job.is_recorded:
        # Its record may still fail, and runs would have been stopped in vain.
        return False
    if has_claim(cell, step, now) or preempt_runs(cell, step, workers, wanted, now):
        return True
    reserve_room(cell, step, fit, wanted, now)
    return False


def _defer_search(cell: Cell, step: Step, now: float) -> None:
    if len(cell.waiting_steps) > CROWDED_STEP_COUNT:
        step.next_search_at = now + _SEARCH_RETRY_SECONDS


def _find_workers_with_ticket(step: Step, pool: WorkerPool, now: float) -> list[Worker]:
    """Return the workers for which the step has a valid ticket."""
    workers = []
    for life, (_, expires) in step.advice.tickets.items():
        worker = pool.workers.get(life)
        if worker is not None and expires > now:
            workers.append(worker)
    return workers


def _find_fit_workers(step: Step, pool: WorkerPool) -> list[Worker]:
    """Return the workers known to be fit for the step, even if their tickets have expired."""
    return [pool.workers[life] for life in step.advice.tickets if life in pool.workers]


def _assign_tasks(
    cell: Cell,
    step: Step,
    tasks: list[Task],
    isolation: IsolationLevel,
    chosen: list[Worker],
    now: float,
) -> None:
    """Assign tasks to workers; the starts are sent once the placement is recorded."""
    gang_run = max(task.run for task in step.tasks) + 1
    checkpoint = _gang_checkpoint(step) if step.spec.gang else ""
    for task, worker in zip(tasks, chosen, strict=False):
        task.run = gang_run if step.spec.gang else task.run + 1
        task.life = worker.life
        task.address = worker.entry.address
        task.is_confirmed = False
        task.phase = Phase.RECORDED
        task.phase_since = task.ordered_at = now
        if step.spec.gang:
            task.checkpoint = checkpoint
        task.is_whole_run = not task.checkpoint
        occupy(cell, worker, task.id, task.run, step)
        record_suspect(worker, task, isolation)
        begin_probation_run(worker, (task.id, task.run), now)
        cell.deferred.append(DeferredStart(task, task.run))
    step.blocked_since = None
    step.placed_at = now
    cell.placed_in_pass += len(chosen)
    mark_dirty(cell, step.job)
    record_started(cell, step, len(chosen))
    record_first_wait(cell, step.job, now)
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
    if add_tasks(cell, step):
        cell.needs_placement = True
    remaining = step.waiting_tasks
    if not remaining:
        cell.dequeue(step)
        release_expired_claims(cell, now)
    elif any(task.charges for task in remaining):
        # These tasks have another isolation level and were not considered in this search.
        cell.needs_placement = True


def _gang_checkpoint(step: Step) -> str:
    """Return the newest checkpoint of any member; all members must resume from the same one."""
    latest = max(step.tasks, key=lambda task: (bool(task.checkpoint), task.run, task.checkpoint))
    return latest.checkpoint
