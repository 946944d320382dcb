"""Accounting of the room that runs occupy on their worker and in their team's quota."""

from .cell import Cell
from .job_state import Step
from .model import TaskId
from .workers import Worker

__all__ = ["occupy", "vacate"]


def occupy(cell: Cell, worker: Worker, task: TaskId, run: int, step: Step) -> None:
    """Count the room of a run that is, or may be, on a worker."""
    worker.occupy(task, run, step.spec.room, step.spec.is_preemptible)
    cell.team_usage.add_run(worker.life, task, run, step.job.team, step.spec.size)


def vacate(cell: Cell, life: str, task: TaskId, run: int) -> None:
    """Release the room of a run that certainly is not, and will not be, on a worker's life."""
    worker = cell.workers.get(life)
    if worker is not None:
        worker.release(task, run)
    cell.team_usage.remove_run(life, task, run)
