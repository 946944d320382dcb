"""Periodic logging of runs that take much longer than expected.

A run that its worker no longer has keeps occupying its room and blocks everything that depends on
its task until its loss is detected. The log lines show whether a run is lost or just slow.
"""

from .cell import Cell
from .parts import Phase, Task
from .speeds import usual_seconds
from .workers import Worker

__all__ = ["tell_overdue"]

_TELL_SECONDS = 5.0
"""Interval between two checks."""

_FACTOR = 5.0
_SLACK_SECONDS = 5.0
"""A run is overdue after this multiple of its step's typical time plus this slack."""

_MOST_TOLD = 5
"""Maximum number of runs logged at a time, those longest in their phase first."""


def tell_overdue(cell: Cell, now: float) -> None:
    """Log runs that stay in one phase for too long, if the interval has passed."""
    if now - cell.overdue_told_at < _TELL_SECONDS:
        return
    cell.overdue_told_at = now
    found: list[tuple[Task, Worker]] = []
    for worker in cell.workers.values():
        for task_id, run in worker.runs:
            task = cell.find_task(task_id)
            if task is not None and task.run == run and _is_overdue(task, worker, now):
                found.append((task, worker))
    found.sort(key=lambda pair: pair[0].since)
    for task, worker in found[:_MOST_TOLD]:
        cell.tell(
            "run_overdue",
            task.id.job,
            task=task.id,
            run=task.run,
            worker=worker.life,
            phase=task.phase.value,
            since_s=now - task.since,
            usual_s=usual_seconds(task.step),
            percent=task.percent,
            heard_s=now - worker.heard_at,
            silent=worker.silent_since is not None,
            overdue=len(found),
        )


def _is_overdue(task: Task, worker: Worker, now: float) -> bool:
    if task.step.spec.long_running and task.phase is Phase.RUNNING:
        return False
    usual = usual_seconds(task.step) * max(1.0, worker.slowness)
    return now - task.since > _FACTOR * usual + _SLACK_SECONDS
