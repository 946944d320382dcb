"""Periodic logging of runs that take much longer than expected.

A run that its worker no longer has keeps occupying its room and blocks everything that depends on
its task until its loss is detected. The log lines show whether a run is lost or just slow.
"""

from .cell import Cell
from .job_state import Phase, Task
from .speeds import typical_seconds
from .workers import Worker

__all__ = ["log_overdue_runs"]

_LOG_INTERVAL_SECONDS = 5.0
"""Interval between two checks."""

_OVERDUE_FACTOR = 5.0
_OVERDUE_SLACK_SECONDS = 5.0
"""A run is overdue after this multiple of its step's typical time plus this slack."""

_MAX_LOGGED = 5
"""Maximum number of runs logged at a time, those longest in their phase first."""


def log_overdue_runs(cell: Cell, now: float) -> None:
    """Log runs that stay in one phase for too long, if the interval has passed."""
    if now - cell.overdue_logged_at < _LOG_INTERVAL_SECONDS:
        return
    cell.overdue_logged_at = now
    overdue_runs: list[tuple[Task, Worker]] = []
    for worker in cell.workers.values():
        for task_id, run in worker.runs:
            task = cell.find_task(task_id)
            if task is not None and task.run == run and _is_overdue(task, worker, now):
                overdue_runs.append((task, worker))
    overdue_runs.sort(key=lambda pair: pair[0].phase_since)
    for task, worker in overdue_runs[:_MAX_LOGGED]:
        cell.log_decision(
            "run_overdue",
            task.id.job,
            task=task.id,
            run=task.run,
            worker=worker.life,
            phase=task.phase.value,
            since_s=now - task.phase_since,
            usual_s=typical_seconds(task.step),
            percent=task.percent,
            heard_s=now - worker.last_report_at,
            silent=worker.silent_since is not None,
            overdue=len(overdue_runs),
        )


def _is_overdue(task: Task, worker: Worker, now: float) -> bool:
    if task.step.spec.long_running and task.phase is Phase.RUNNING:
        return False
    typical = typical_seconds(task.step) * max(1.0, worker.slowness)
    return now - task.phase_since > _OVERDUE_FACTOR * typical + _OVERDUE_SLACK_SECONDS
