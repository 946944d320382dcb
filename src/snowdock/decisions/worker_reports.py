"""Records derived from a worker's answer to a sync order."""

from ..declarations import Size
from ..platform.workers import SyncAnswer
from ..records import AttemptEnded, AttemptStarted, Record, WorkerSeen
from ..state import State, TaskState, find_attempt_by_id

__all__ = ["derive_records"]

_RUNNING = "running"


def derive_records(state: State, name: str, answer: SyncAnswer) -> list[Record]:
    """Derive the records to propose from a worker's answer.

    Parameters
    ----------
    state
        The shared state.
    name
        The worker that answered.
    answer
        Its answer.

    Returns
    -------
    list of Record
        Starts and ends of attempts that the state does not contain yet. If the worker has
        rebooted, only its new boot: the answer does not cover attempts of an earlier boot.
    """
    worker = state.workers.get(name)
    if worker is None:
        return []
    if answer.boot != worker.boot:
        capacity = Size(answer.cpu, answer.memory, answer.accelerators)
        return [WorkerSeen(name, answer.boot, capacity, worker.rack, worker.hall, worker.address)]
    records = (_derive_record(state, attempt, r.state) for attempt, r in answer.attempts.items())
    return [record for record in records if record is not None]


def _derive_record(state: State, name: str, reported_state: str) -> Record | None:
    found = find_attempt_by_id(state, name)
    if found is None or not found.is_current:
        return None
    ids = (found.work.number, found.task_number, found.attempt_number)
    if reported_state != _RUNNING:
        return AttemptEnded(*ids, reported_state)
    return AttemptStarted(*ids) if found.task.state == TaskState.PLACED else None
