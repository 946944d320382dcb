"""Collection of the load summary from the leader's state, and comparison of predicted waits."""

import collections
import math

from ..declarations import ZERO_SIZE
from .availability import find_exclusion
from .cell import Cell
from .events import PublishLoad, RecordPrediction
from .forecast import remaining_seconds
from .job_state import Job, Step, Task
from .load_history import WaitPrediction
from .load_summary import (
    MAX_QUEUES,
    MAX_TEAMS,
    LoadSummary,
    QueueLoad,
    ServiceLoad,
    TeamLoad,
    predict_wait,
)
from .model import JobStatus
from .shares import is_beyond_share
from .speeds import typical_seconds
from .timeouts import TICK_SECONDS
from .workers import Worker

__all__ = [
    "predict_job",
    "record_completed",
    "record_first_wait",
    "record_started",
    "summarize_load",
]

_SUMMARY_SECONDS = 0.5
"""Time between two summaries. A team's burst of several times its share changes the predicted wait
by about a second in this time."""

_LOG_INTERVAL_SECONDS = 1.0
"""Minimum time between two log lines on predictions."""

_MAX_REMAINING_SECONDS = 60.0
"""Upper bound of a run's expected remaining time, as that of an overdue run grows without limit."""

_MISSED_SLACK_SECONDS = -0.5
"""Slack below which a step ranks behind work that can be in time (`deadline_first.star`)."""


def predict_job(cell: Cell, job: Job) -> None:
    """Predict the wait of a job that was just accepted, and count its work as arrived.

    Jobs with repetitions start when these are due, and long-running tasks have ranks of their own.
    A job of a team that is held back waits for its own team's work, however long the queue's other
    jobs wait.
    """
    history = cell.load_history
    steps = job.accepted.spec.steps
    is_special = job.accepted.spec.repetitions or any(spec.long_running for spec in steps)
    if history is None or is_special or not steps:
        return
    history.queues[job.queue].accepted.add(job.accepted.spec.work_core_s)
    if history.summary is None or job.team in history.held_back_teams:
        return
    first = next(spec for spec in steps if not spec.after)
    predicted_s = predict_wait(history.summary, job.queue, first.start_room, job.team)
    if math.isfinite(predicted_s):
        job.wait_prediction = WaitPrediction(predicted_s, cell.now)


def record_started(cell: Cell, step: Step, tasks: int) -> None:
    """Count the work of tasks that were just placed."""
    history = cell.load_history
    if history is not None and not step.spec.long_running:
        history.queues[step.job.queue].started.add(tasks * _task_core_s(step))


def record_completed(cell: Cell, task: Task) -> None:
    """Count the work of a task that was just completed."""
    history = cell.load_history
    if history is not None:
        service = cell.queue_of(task.step.job).service
        history.completed[service].add(task.step.spec.task_core_s)


def record_first_wait(cell: Cell, job: Job, now: float) -> None:
    """Compare the wait predicted for a job with the one observed, at its first placement."""
    prediction, job.wait_prediction = job.wait_prediction, None
    if prediction is None:
        return
    history = cell.load_history
    observed_s = history.judge_placement(prediction, now)
    history.queues[job.queue].add_wait(observed_s, now)
    cell.emit(RecordPrediction(job.queue, prediction.predicted_s, observed_s))
    if now - history.logged_at >= _LOG_INTERVAL_SECONDS:
        history.logged_at = now
        cell.log_decision(
            "wait_prediction",
            job.id,
            queue=job.queue,
            team=job.team,
            predicted_s=prediction.predicted_s,
            observed_s=observed_s,
            reliable=history.is_reliable,
        )


def summarize_load(cell: Cell, now: float) -> None:
    """Make and publish the load summary, if it is wanted and the interval has passed."""
    history = cell.load_history
    if history is None or now - history.summarized_at < _SUMMARY_SECONDS - TICK_SECONDS / 2:
        return
    history.update_rates(now)
    history.held_back_teams = _find_held_back_teams(cell)
    running_core_s, running_by_team = _sum_running(cell, now)
    queues, waiting_by_team = _summarize_queues(cell, now)
    history.summary = LoadSummary(
        epoch=cell.token,
        made_at=now,
        is_reliable=history.is_reliable,
        services=_summarize_services(cell, running_core_s, now),
        queues=queues,
        teams=_summarize_teams(cell, running_by_team, waiting_by_team),
    )
    cell.emit(PublishLoad(history.summary))


def _task_core_s(step: Step) -> float:
    return typical_seconds(step) * step.spec.size.cpu / 1000


def _find_held_back_teams(cell: Cell) -> frozenset[str]:
    """Return the teams with work that waits at their quota or behind that of other teams."""
    at_quota = {step.job.team for step in cell.waiting_steps.values() if step.is_at_quota}
    waiting = {step.job.team for step in cell.waiting_steps.values()}
    return frozenset(at_quota | {team for team in waiting if is_beyond_share(cell, team)})


def _sum_running(cell: Cell, now: float) -> tuple[dict[str, float], dict[str, float]]:
    """Return the expected remaining core-seconds of all runs by service and by team."""
    by_service: dict[str, float] = collections.defaultdict(float)
    by_team: dict[str, float] = collections.defaultdict(float)
    for worker in cell.workers.values():
        for (task_id, run), room in worker.runs.items():
            task = cell.find_task(task_id)
            if task is None or not task.is_current_run(run, worker.life):
                continue
            if task.step.spec.long_running:
                continue
            seconds = min(_MAX_REMAINING_SECONDS, remaining_seconds(cell, worker, task, now))
            by_service[worker.entry.service] += seconds * room.cpu / 1000
            by_team[task.step.job.team] += seconds * room.cpu / 1000
    return by_service, by_team


def _summarize_services(
    cell: Cell, running_core_s: dict[str, float], now: float
) -> tuple[ServiceLoad, ...]:
    workers: dict[str, list[Worker]] = collections.defaultdict(list)
    for worker in cell.workers.values():
        workers[worker.entry.service].append(worker)
    services = []
    for name, members in workers.items():
        usable = used = largest = ZERO_SIZE
        for worker in members:
            if find_exclusion(worker, now) is None:
                usable = usable.plus(worker.entry.capacity)
                used = used.plus(worker.used)
            if worker.listed and not worker.entry.draining:
                largest = largest.elementwise_max(worker.entry.capacity)
        rate = cell.load_history.completed[name].per_second
        services.append(ServiceLoad(name, usable, used, largest, rate, running_core_s[name]))
    return tuple(services)


class _QueueSum:
    """Sums over the waiting steps of one queue."""

    def __init__(self) -> None:
        self.waiting_core_s = 0.0
        self.preceding_core_s = 0.0
        self.steps = 0
        self.longest_wait_s = 0.0


def _summarize_queues(cell: Cell, now: float) -> tuple[tuple[QueueLoad, ...], dict[str, float]]:
    """Return the loads of the queues, and the waiting core-seconds by team."""
    history = cell.load_history
    sums: dict[str, _QueueSum] = collections.defaultdict(_QueueSum)
    by_team: dict[str, float] = collections.defaultdict(float)
    for step in cell.waiting_steps.values():
        job = step.job
        if step.spec.long_running:
            continue
        waiting = len(step.waiting_tasks) + step.uncreated_count
        core_s = waiting * _task_core_s(step)
        by_team[job.team] += core_s
        total = sums[job.queue]
        total.steps += 1
        total.waiting_core_s += core_s
        spare_s = cell.objective_seconds(job) - job.critical_paths_ms[step.number] / 1000
        waited_s = now - job.submitted_at
        if job.team not in history.held_back_teams and spare_s - waited_s > _MISSED_SLACK_SECONDS:
            total.preceding_core_s += core_s
        if job.status is JobStatus.PENDING:
            total.longest_wait_s = max(total.longest_wait_s, waited_s)
        if job.wait_prediction is not None:
            history.judge_waiting(job.wait_prediction, now)
    loads = []
    for queue in cell.configuration.queues:
        total, recent = sums[queue.name], history.queues[queue.name]
        loads.append(
            QueueLoad(
                queue.name,
                queue.service,
                queue.priority,
                total.waiting_core_s,
                total.preceding_core_s,
                total.steps,
                total.longest_wait_s,
                recent.recent_wait_s(now),
                recent.accepted.per_second,
                recent.started.per_second,
            )
        )
    loads.sort(key=lambda load: (-load.waiting_core_s, load.name))
    return tuple(loads[:MAX_QUEUES]), by_team


def _summarize_teams(
    cell: Cell, running_core_s: dict[str, float], waiting_core_s: dict[str, float]
) -> tuple[TeamLoad, ...]:
    used = cell.team_usage.used_by_team()
    names = (used.keys() | running_core_s.keys() | waiting_core_s.keys()) - {""}
    teams = [
        TeamLoad(
            name,
            cell.configuration.teams.share(name),
            used.get(name, ZERO_SIZE).cpu / 1000,
            running_core_s.get(name, 0.0),
            waiting_core_s.get(name, 0.0),
            name in cell.load_history.held_back_teams,
        )
        for name in names
    ]
    teams.sort(key=lambda team: (-team.running_core_s - team.waiting_core_s, team.name))
    return tuple(teams[:MAX_TEAMS])
