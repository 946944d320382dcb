"""The room that runs take: of their worker, and of their team's quota, always of both."""

from .cell import Cell
from .job_state import Step
from .model import TaskId
from .workers import Worker

__all__ = ["occupy", "vacate"]


def occupy(cell: Cell, worker: Worker, task: TaskId, run: int, step: Step) -> None:
    """Count a run of a step as one that is, or may be, at a worker."""
    worker.occupy(task, run, step.spec.room, step.spec.is_preemptible)
    cell.team_usage.add_run(worker.life, task, run, step.job.team, step.spec.size)


def vacate(cell: Cell, life: str, task: TaskId, run: int) -> None:
    """Count a run no more that surely neither is nor will be at a worker's life."""
    worker = cell.workers.get(life)
    if worker is not None:
        worker.release(task, run)
    cell.team_usage.remove_run(life, task, run)
