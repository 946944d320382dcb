"""A naive model of the reducer's rules for work, on plain dictionaries.

It shares no code with the reducer, and its users replay the whole history for each record.
"""

from snowdock.records import (
    AttemptEnded,
    AttemptStarted,
    TasksPlaced,
    WorkCancelled,
    WorkerGone,
    WorkerLeaving,
    WorkSubmitted,
)

ASSIGNED_STATES = ("placed", "running")
FINAL_STATES = ("succeeded", "failed", "cancelled")


def replay(history: list, workers: dict, quota: tuple) -> dict:
    """Build the model's state from a list of (work number, record) pairs of valid records."""
    model = {"tasks": {}, "specs": {}, "cancelled": set(), "state": {}, "quota": quota}
    model["workers"] = dict(workers)
    for number, record in history:
        apply_record(model, number, record)
    return model


def task_keys(model: dict, number: int) -> list:
    return [key for key in model["tasks"] if key[0] == number]


def used(model: dict, worker: str | None = None) -> tuple:
    """Return the total size of the assigned tasks on one worker, or on all if it is None."""
    total = [0, 0, 0]
    for key, task in model["tasks"].items():
        if task["state"] in ASSIGNED_STATES and worker in (None, task["worker"]):
            size = model["specs"][key[0]].size
            total = [total[0] + size.cpu, total[1] + size.memory, total[2] + size.accelerators]
    return tuple(total)


def fits(have: tuple, size, times: int, limit: tuple) -> bool:
    want = (size.cpu * times, size.memory * times, size.accelerators * times)
    return all(h + w <= m for h, w, m in zip(have, want, limit, strict=True))


def is_valid(model: dict, record) -> bool:
    """Return whether a record is valid."""
    if isinstance(record, WorkSubmitted):
        return record.spec.team == "t"
    if isinstance(record, WorkCancelled):
        return record.work in model["specs"]
    if isinstance(record, TasksPlaced):
        return _may_place(model, record)
    if isinstance(record, WorkerLeaving):
        return model["state"].get(record.worker, "live") == "live"
    if isinstance(record, WorkerGone):
        return model["state"].get(record.worker, "live") != "gone"
    task = model["tasks"].get((record.work, record.task))
    if task is None or task["attempt"] != record.attempt or task["state"] not in ASSIGNED_STATES:
        return False
    return isinstance(record, AttemptEnded) or task["state"] == "placed"


def _may_place(model: dict, record: TasksPlaced) -> bool:
    spec = model["specs"].get(record.work)
    if spec is None or record.work in model["cancelled"] or not record.placements:
        return False
    numbers = [p.task for p in record.placements]
    tasks = model["tasks"]
    queued = [k[1] for k in task_keys(model, record.work) if tasks[k]["state"] == "queued"]
    if len(set(numbers)) != len(numbers) or not set(numbers) <= set(queued):
        return False
    if spec.kind == "gang":
        holding = [k for k in task_keys(model, record.work) if tasks[k]["state"] in ASSIGNED_STATES]
        if holding or len(numbers) != len(queued):
            return False
    names = [p.worker for p in record.placements]
    for name in set(names):
        if name not in model["workers"] or model["state"].get(name, "live") != "live":
            return False
        if not fits(used(model, name), spec.size, names.count(name), model["workers"][name]):
            return False
    return fits(used(model), spec.size, len(names), model["quota"])


def apply_record(model: dict, number: int, record) -> None:
    """Apply a valid record."""
    tasks = model["tasks"]
    if isinstance(record, WorkSubmitted):
        model["specs"][number] = record.spec
        for n in range(record.spec.tasks):
            tasks[number, n] = {
                "state": "queued",
                "attempt": 0,
                "failures": 0,
                "losses": 0,
                "worker": "",
            }
    elif isinstance(record, WorkCancelled):
        _cancel(model, record.work)
    elif isinstance(record, TasksPlaced):
        for p in record.placements:
            task = tasks[record.work, p.task]
            task.update(state="placed", attempt=task["attempt"] + 1, worker=p.worker)
    elif isinstance(record, WorkerLeaving):
        model["state"][record.worker] = "leaving"
    elif isinstance(record, WorkerGone):
        model["state"][record.worker] = "gone"
    elif isinstance(record, AttemptStarted):
        tasks[record.work, record.task]["state"] = "running"
    else:
        _end(model, record)


def _cancel(model: dict, number: int) -> None:
    keys = task_keys(model, number)
    if all(model["tasks"][k]["state"] in FINAL_STATES for k in keys):
        return
    model["cancelled"].add(number)
    for key in keys:
        if model["tasks"][key]["state"] == "queued":
            model["tasks"][key]["state"] = "cancelled"


def _end(model: dict, record: AttemptEnded) -> None:
    task = model["tasks"][record.work, record.task]
    spec = model["specs"][record.work]
    task["failures"] += record.outcome == "failed"
    task["losses"] += record.outcome == "absent" and task["state"] == "running"
    if record.outcome == "succeeded":
        task["state"] = "succeeded"
    elif record.work in model["cancelled"]:
        task["state"] = "cancelled"
    elif (record.outcome == "failed" and task["failures"] > spec.retries) or task["losses"] >= 5:
        task["state"] = "failed"
        if spec.kind == "gang":
            _cancel(model, record.work)
    else:
        task["state"] = "queued"
