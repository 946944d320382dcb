"""Case 3: over 500 runs end on one worker while the store is down."""

import asyncio
import time

from review.deployment import Deployment, Outcome, main, make_job_id, wait_until
from review.worker_standin import WorkPlan

_JOBS = 12
_TASKS = 50
_LEAST_WORK_SECONDS = 4.0
_SPREAD_SECONDS = 2.0
_OUTAGE_SECONDS = 7.0
_FINISH_SECONDS = 14.0


def _plan(index: int) -> WorkPlan:
    return WorkPlan(_LEAST_WORK_SECONDS + _SPREAD_SECONDS * index / _TASKS)


async def play(deployment: Deployment, disturbs: bool) -> None:
    """Run 600 small tasks on one worker; the store is silent while they end."""
    jobs = [make_job_id() for _ in range(_JOBS)]
    step = {
        "count": _TASKS,
        "cpu": 20,
        "mem_mb": 80,
        "estimate_ms": int(_LEAST_WORK_SECONDS * 1000),
        "requires": "b",
    }
    for job in jobs:
        if not await deployment.submit(job, {"spec": f"receipts {job}", "steps": [step]}, _plan):
            raise Outcome(2, "a job was not accepted")
    ledger = deployment.ledger

    async def all_started() -> bool:
        return len(ledger.starts) >= _JOBS * _TASKS

    began_at = time.monotonic()
    if not await wait_until(all_started, 5.0):
        raise Outcome(2, f"only {len(ledger.starts)} tasks started")
    deployment.note("all started", seconds=round(time.monotonic() - began_at, 1))
    await asyncio.sleep(1.0)
    if disturbs:
        deployment.note("the store is silent")
        deployment.store.set_silent(True)
    await asyncio.sleep(_OUTAGE_SECONDS)
    if disturbs:
        deployment.store.set_silent(False)
        deployment.note("the store answers again")
    # Runs that were started again end as well.
    await asyncio.sleep(_LEAST_WORK_SECONDS + _SPREAD_SECONDS + _FINISH_SECONDS)
    for job in jobs:
        await deployment.state(job)
    most = max(worker.most_pending_ends for worker in deployment.workers)
    deployment.note("most ends of a worker not taken note of at a time", count=most)
    doubled = [task for task in ledger.doubled if task in ledger.seen_done]
    if doubled:
        raise Outcome(
            1,
            f"TWICE: {len(doubled)} of {_JOBS * _TASKS} tasks were started again after a run that "
            f"ended done and was taken note of, such as {doubled[0]}",
        )
    missing = _JOBS * _TASKS - len(ledger.done)
    if missing:
        raise Outcome(2, f"{missing} tasks did not end")
    raise Outcome(0, f"each of {_JOBS * _TASKS} tasks ran once")


if __name__ == "__main__":
    main(play, "review/3", daemons=3, workers=6)
