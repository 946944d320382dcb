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

HOLDING = ("placed", "running")
OVER = ("succeeded", "failed", "cancelled")


def replay(history: list, workers: dict, quota: tuple) -> dict:
    """Build the model's state from a list of (work number, record) pairs of valid records."""
    world = {"tasks": {}, "specs": {}, "cancelled": set(), "state": {}, "quota": quota}
    world["workers"] = dict(workers)
    for number, record in history:
        apply(world, number, record)
    return world


def task_keys(world: dict, number: int) -> list:
    return [key for key in world["tasks"] if key[0] == number]


def used(world: dict, worker: str | None = None) -> tuple:
    """Return the total size of the assigned tasks on one worker, or on all if it is None."""
    total = [0, 0, 0]
    for key, task in world["tasks"].items():
        if task["state"] in HOLDING and worker in (None, task["worker"]):
            size = world["specs"][key[0]].size
            total = [total[0] + size.cpu, total[1] + size.memory, total[2] + size.accelerators]
    return tuple(total)


def fits(have: tuple, size, times: int, most: tuple) -> bool:
    want = (size.cpu * times, size.memory * times, size.accelerators * times)
    return all(h + w <= m for h, w, m in zip(have, want, most, strict=True))


def is_valid(world: dict, record) -> bool:
    """Return whether a record is valid."""
    if isinstance(record, WorkSubmitted):
        return record.spec.team == "t"
    if isinstance(record, WorkCancelled):
        return record.work in world["specs"]
    if isinstance(record, TasksPlaced):
        return _may_place(world, record)
    if isinstance(record, WorkerLeaving):
        return world["state"].get(record.worker, "live") == "live"
    if isinstance(record, WorkerGone):
        return world["state"].get(record.worker, "live") != "gone"
    task = world["tasks"].get((record.work, record.task))
    if task is None or task["attempt"] != record.attempt or task["state"] not in HOLDING:
        return False
    return isinstance(record, AttemptEnded) or task["state"] == "placed"


def _may_place(world: dict, record: TasksPlaced) -> bool:
    spec = world["specs"].get(record.work)
    if spec is None or record.work in world["cancelled"] or not record.placements:
        return False
    numbers = [p.task for p in record.placements]
    tasks = world["tasks"]
    queued = [k[1] for k in task_keys(world, record.work) if tasks[k]["state"] == "queued"]
    if len(set(numbers)) != len(numbers) or not set(numbers) <= set(queued):
        return False
    if spec.kind == "gang":
        holding = [k for k in task_keys(world, record.work) if tasks[k]["state"] in HOLDING]
        if holding or len(numbers) != len(queued):
            return False
    names = [p.worker for p in record.placements]
    for name in set(names):
        if name not in world["workers"] or world["state"].get(name, "live") != "live":
            return False
        if not fits(used(world, name), spec.size, names.count(name), world["workers"][name]):
            return False
    return fits(used(world), spec.size, len(names), world["quota"])


def apply(world: dict, number: int, record) -> None:
    """Apply a valid record."""
    tasks = world["tasks"]
    if isinstance(record, WorkSubmitted):
        world["specs"][number] = record.spec
        for n in range(record.spec.tasks):
            tasks[number, n] = {
                "state": "queued",
                "attempt": 0,
                "failures": 0,
                "losses": 0,
                "worker": "",
            }
    elif isinstance(record, WorkCancelled):
        _cancel(world, record.work)
    elif isinstance(record, TasksPlaced):
        for p in record.placements:
            task = tasks[record.work, p.task]
            task.update(state="placed", attempt=task["attempt"] + 1, worker=p.worker)
    elif isinstance(record, WorkerLeaving):
        world["state"][record.worker] = "leaving"
    elif isinstance(record, WorkerGone):
        world["state"][record.worker] = "gone"
    elif isinstance(record, AttemptStarted):
        tasks[record.work, record.task]["state"] = "running"
    else:
        _end(world, record)


def _cancel(world: dict, number: int) -> None:
    keys = task_keys(world, number)
    if all(world["tasks"][k]["state"] in OVER for k in keys):
        return
    world["cancelled"].add(number)
    for key in keys:
        if world["tasks"][key]["state"] == "queued":
            world["tasks"][key]["state"] = "cancelled"


def _end(world: dict, record: AttemptEnded) -> None:
    task = world["tasks"][record.work, record.task]
    spec = world["specs"][record.work]
    task["failures"] += record.outcome == "failed"
    task["losses"] += record.outcome == "absent" and task["state"] == "running"
    if record.outcome == "succeeded":
        task["state"] = "succeeded"
    elif record.work in world["cancelled"]:
        task["state"] = "cancelled"
    elif (record.outcome == "failed" and task["failures"] > spec.retries) or task["losses"] >= 5:
        task["state"] = "failed"
        if spec.kind == "gang":
            _cancel(world, record.work)
    else:
        task["state"] = "queued"
