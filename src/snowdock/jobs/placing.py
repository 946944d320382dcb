"""Placement of waiting steps on workers, by rank, in passes of bounded duration."""

import dataclasses

from ..declarations import ZERO, Size
from .advising import may_ask, needs_advice, want_advice
from .availability import why_closed
from .cell import Cell, HeldStart
from .durability import mark
from .failed_runs import begin_trial
from .occupancy import occupy
from .parts import Phase, Step, Task
from .preempting import drop_claims, has_claim, make_room
from .quotas import keep_quotas, tasks_within_quota
from .ranking import rank_again
from .reserving import reserve
from .seats import Care, Seats, care_of, choose_workers, find_seats, is_bulky
from .suspects import Company, may_join, next_tasks, note_suspect, spread
from .workers import Worker

__all__ = ["place_waiting"]

_PLACING_INTERVAL_SECONDS = 0.005
"""Minimum time between two passes, so that one pass covers several changes."""

_LOOK_SECONDS = 10e-6
"""Approximate time to examine one worker for one step."""

_LOOKS_A_PASS = 1_500
"""Maximum number of workers examined in one pass, which takes about 15 ms, so that renewals and
answers are not delayed for longer. Half of them are examined for the steps with the highest rank,
half for the steps whose last search is the oldest."""

_PLACING_SHARE = 0.3
"""Maximum fraction of the time spent in passes. The rest is left for other events: if these are
delayed, tickets expire before their starts are sent, and each refused start needs another pass."""

_LONGEST_KEPT_SECONDS = 1.5
"""Time after which a step that runs nothing, and that only reservations block, may place one task
on reserved resources. Together with up to 0.5 s for tickets this stays below the 3 s that users
accept for a small job beside free resources."""

_CROWD = 50
_LOOK_AGAIN_SECONDS = 0.05
"""While more steps than this are waiting, a step that could not be placed is not searched again
for this time, so that other steps are."""


@dataclasses.dataclass(slots=True)
class _Pool:
    """Open workers of one service, and the maximum free resources among them.

    Bulky steps are searched even if no worker has enough free resources, because runs may be
    preempted or resources reserved for them.
    """

    workers: dict[str, Worker] = dataclasses.field(default_factory=dict)
    _roomiest: list[Worker] | None = None
    most_cpu: int = 0
    most_memory: int = 0
    most_accelerators: int = 0
    capacity: Size = ZERO

    def add(self, worker: Worker) -> None:
        """Add a worker to the pool."""
        free = worker.free
        self.workers[worker.entry.life] = worker
        # Plain comparisons instead of Size methods: every pass calls this for every worker.
        if free.cpu > self.most_cpu:
            self.most_cpu = free.cpu
        if free.memory > self.most_memory:
            self.most_memory = free.memory
        if free.accelerators > self.most_accelerators:
            self.most_accelerators = free.accelerators
        if not self.capacity.holds(worker.entry.capacity):
            self.capacity = self.capacity.at_least(worker.entry.capacity)

    @property
    def roomiest(self) -> list[Worker]:
        """Workers by descending free processors, as of the first access."""
        if self._roomiest is None:
            self._roomiest = sorted(self.workers.values(), key=lambda each: -each.free.cpu)
        return self._roomiest

    def may_hold(self, step: Step) -> bool:
        """Check whether a worker might have enough free resources for a task of a step."""
        most = Size(self.most_cpu, self.most_memory, self.most_accelerators)
        return step.is_bulky or most.holds(step.spec.room)


_NO_POOL = _Pool()


class _Pools:
    """Open workers of one pass, by service."""

    def __init__(self, cell: Cell, now: float) -> None:
        self._cell = cell
        self._now = now
        self._usual = self._make(is_last_resort=False)
        self._last_resort: dict[str, _Pool] | None = None

    def pool_for(self, step: Step) -> _Pool:
        """Return the open workers for a step; quarantined ones only as a last resort."""
        service = self._cell.queue_of(step.job).service
        if care_of(self._cell, step) is not Care.NONE:
            return self._usual.get(service, _NO_POOL)
        if self._last_resort is None:
            self._last_resort = self._make(is_last_resort=True)
        return self._last_resort.get(service, _NO_POOL)

    def _make(self, is_last_resort: bool) -> dict[str, _Pool]:
        pools: dict[str, _Pool] = {}
        for worker in self._cell.workers.values():
            if why_closed(worker, self._now, is_last_resort) is None:
                pools.setdefault(worker.entry.service, _Pool()).add(worker)
        return pools


def place_waiting(cell: Cell, now: float) -> None:
    """Run a placement pass over the waiting steps, in descending order of rank."""
    if not cell.waiting or now < cell.place_again_at:
        return
    cell.placing_wanted = False
    cell.placed_at = now
    drop_claims(cell, now)
    rank_again(cell, now)
    keep_quotas(cell)
    pools = _Pools(cell, now)
    looks = len(cell.workers)
    by_rank = sorted(cell.waiting.values(), key=lambda step: -step.rank)
    looks += _look(cell, by_rank, pools, now, _LOOKS_A_PASS // 2)
    fresh = [step for step in by_rank if step.has_news]
    looks += _look(cell, fresh, pools, now, _LOOKS_A_PASS)
    if len(cell.waiting) > _CROWD:
        by_turn = sorted(cell.waiting.values(), key=lambda step: step.looked_at)
        looks += _look(cell, by_turn, pools, now, _LOOKS_A_PASS // 2)
    pause = looks * _LOOK_SECONDS / _PLACING_SHARE
    cell.place_again_at = now + max(_PLACING_INTERVAL_SECONDS, pause)


def _look(cell: Cell, steps: list[Step], pools: _Pools, now: float, most: int) -> int:
    """Search workers for steps, in order, and return the number of workers examined.

    No further step is searched once ``max_examined`` workers have been examined.
    """
    looks = 0
    for step in steps:
        if looks >= most:
            break
        if step.not_before <= now and step.look_again_at <= now:
            step.looked_at = now
            step.has_news = False
            looks += _place_step(cell, step, pools, now)
    return looks


def _place_step(cell: Cell, step: Step, pools: _Pools, now: float) -> int:
    """Place as many tasks of a step as possible, and return the number of workers examined."""
    tasks, company = next_tasks(step, now)
    if not tasks:
        del cell.waiting[step.key]
        return 1
    tasks = tasks[: _within_quota(cell, step, len(tasks))]
    if not tasks:
        return 1
    pool = pools.pool_for(step)
    step.is_bulky = is_bulky(step, pool.capacity)
    if not pool.may_hold(step):
        return 1
    if needs_advice(cell, step):
        return 1 + _place_advised(cell, step, tasks, company, pool, now)
    workers = _open_to(company, list(pool.workers.values()))
    seats = _find_seats(cell, step, workers, workers, company, now)
    left = _place_tasks(cell, step, tasks, company, seats, now)
    if left:
        if step.is_bulky:
            _seek_room(cell, step, workers, workers, len(left), now)
        _put_off(cell, step, now)
    return 1 + len(workers)


def _within_quota(cell: Cell, step: Step, wanted: int) -> int:
    """Return the number of tasks that the team's quota admits, and log when it becomes zero."""
    count = tasks_within_quota(cell, step, wanted)
    if step.is_at_quota is not (count == 0):
        step.is_at_quota = count == 0
        decision = "team_at_quota" if step.is_at_quota else "team_below_quota"
        team = step.job.team
        used = cell.team_use.used(team)
        cell.tell(decision, step.job.id, step=step.number, team=team, wanted=wanted, used=used)
    return count


def _place_advised(
    cell: Cell, step: Step, tasks: list[Task], company: Company, pool: _Pool, now: float
) -> int:
    """Place tasks on workers with tickets, or request advice; return the workers examined."""
    workers = _open_to(company, _with_ticket(step, pool, now))
    fit = _open_to(company, _known_fit(step, pool))
    seats = _find_seats(cell, step, workers, fit, company, now)
    left = _place_tasks(cell, step, tasks, company, seats, now)
    looks = len(workers)
    if not left or (len(left) < len(tasks) and not step.is_bulky):
        return looks
    if step.is_bulky:
        looks += len(fit)
        if _seek_room(cell, step, workers, fit, len(left), now):
            return looks
    if not step.advice.asking and may_ask(cell, step, fit, now):
        looks += want_advice(cell, step, pool.roomiest, fit, len(left), now)
    _put_off(cell, step, now)
    return looks


def _open_to(company: Company, workers: list[Worker]) -> list[Worker]:
    """Return the workers that satisfy an isolation level."""
    if company is Company.ANYBODY:
        return workers
    return [worker for worker in workers if may_join(worker, company)]


def _find_seats(
    cell: Cell,
    step: Step,
    workers: list[Worker],
    fit: list[Worker],
    company: Company,
    now: float,
) -> list[Seats]:
    """Return the candidates for a step, or one with reserved resources if it is blocked for long.

    ``workers`` are those on which the step could start now, ``fit`` those that may run it at all.
    """
    seats = list(find_seats(cell, step, workers))
    if company is not Company.ANYBODY:
        seats = spread(cell, step, seats, company)
    if seats or step.spec.gang or not fit:
        return seats
    if any(task.is_placed for task in step.tasks) or not _is_kept_out(cell, step, fit):
        step.kept_since = None
        return []
    if step.kept_since is None:
        step.kept_since = now
    if now - step.kept_since < _LONGEST_KEPT_SECONDS:
        return []
    kept = list(find_seats(cell, step, workers, over_reservations=True))
    if not kept:
        # The tickets for these workers are being renewed.
        return []
    best = max(kept, key=lambda seat: seat.score)
    return [dataclasses.replace(best, count=1)]


def _is_kept_out(cell: Cell, step: Step, fit: list[Worker]) -> bool:
    """Check whether only reservations for other steps prevent a placement."""
    return any(True for _ in find_seats(cell, step, fit, over_reservations=True))


def _place_tasks(
    cell: Cell, step: Step, tasks: list[Task], company: Company, seats: list[Seats], now: float
) -> list[Task]:
    """Place tasks on candidates, a gang as a whole or not at all; return the remaining tasks."""
    chosen = choose_workers(step, tasks, seats)
    if not chosen or (step.spec.gang and len(chosen) < len(tasks)):
        return tasks
    _record(cell, step, tasks, company, chosen, now)
    return tasks[len(chosen) :]


def _seek_room(
    cell: Cell,
    step: Step,
    ready: list[Worker],
    fit: list[Worker],
    wanted: int,
    now: float,
) -> bool:
    """Preempt runs for a bulky step, or else reserve resources; return whether it has a claim.

    ``ready`` are the workers on which the step could start now, ``fit`` those that may run it at
    all.
    """
    if has_claim(cell, step, now) or make_room(cell, step, ready, wanted, now):
        return True
    reserve(cell, step, fit, wanted, now)
    return False


def _put_off(cell: Cell, step: Step, now: float) -> None:
    if len(cell.waiting) > _CROWD:
        step.look_again_at = now + _LOOK_AGAIN_SECONDS


def _with_ticket(step: Step, pool: _Pool, now: float) -> list[Worker]:
    """Return the workers for which the step has a valid ticket."""
    found = []
    for life, (_, expires) in step.advice.tickets.items():
        worker = pool.workers.get(life)
        if worker is not None and expires > now:
            found.append(worker)
    return found


def _known_fit(step: Step, pool: _Pool) -> list[Worker]:
    """Return the workers known to be fit for the step, even if their tickets have expired."""
    return [pool.workers[life] for life in step.advice.tickets if life in pool.workers]


def _record(
    cell: Cell,
    step: Step,
    tasks: list[Task],
    company: Company,
    chosen: list[Worker],
    now: float,
) -> None:
    """Assign tasks to workers; the starts are sent once the placement is recorded."""
    gang_run = max(task.run for task in step.tasks) + 1
    checkpoint = _gang_checkpoint(step) if step.spec.gang else ""
    for task, worker in zip(tasks, chosen, strict=False):
        task.run = gang_run if step.spec.gang else task.run + 1
        task.life = worker.life
        task.is_told = False
        task.phase = Phase.RECORDED
        task.since = task.ordered_at = now
        if step.spec.gang:
            task.checkpoint = checkpoint
        occupy(cell, worker, task.id, task.run, step)
        note_suspect(worker, task, company)
        begin_trial(worker, (task.id, task.run), now)
        cell.held.append(HeldStart(task, task.run))
    step.kept_since = None
    mark(cell, step.job)
    cell.tell(
        "placed",
        step.job.id,
        step=step.number,
        tasks=len(chosen),
        run=tasks[0].run,
        workers=sorted({worker.life for worker in chosen}),
        rank=step.rank,
        waited_s=now - step.job.submitted_at,
    )
    left = [task for task in step.tasks if task.phase is Phase.WAITING]
    if not left:
        del cell.waiting[step.key]
        drop_claims(cell, now)
    elif any(task.lost_runs for task in left):
        # These tasks have another isolation level and were not considered in this search.
        cell.placing_wanted = True


def _gang_checkpoint(step: Step) -> str:
    """Return the newest checkpoint of any member; all members must resume from the same one."""
    latest = max(step.tasks, key=lambda task: (bool(task.checkpoint), task.run, task.checkpoint))
    return latest.checkpoint
