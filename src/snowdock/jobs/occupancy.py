"""Accounting of the room that runs occupy on their worker and in their team's quota."""

from .cell import Cell
from .model import TaskId
from .parts import Step
from .workers import Worker

__all__ = ["occupy", "vacate"]


def occupy(cell: Cell, worker: Worker, task: TaskId, run: int, step: Step) -> None:
    """Count the room of a run that is, or may be, on a worker."""
    worker.take(task, run, step.spec.room, step.spec.may_yield)
    cell.team_use.hold(worker.life, task, run, step.job.team, step.spec.size)


def vacate(cell: Cell, life: str, task: TaskId, run: int) -> None:
    """Release the room of a run that certainly is not, and will not be, on a worker's life."""
    worker = cell.workers.get(life)
    if worker is not None:
        worker.release(task, run)
    cell.team_use.drop(life, task, run)
