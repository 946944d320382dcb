"""Case 2: a timed job whose progress outgrows one record of the store."""

import asyncio
import time

from review.deployment import Deployment, Outcome, main, make_job_id, wait_until
from review.worker_standin import WorkPlan

_TIMES = 240
_TASKS = 50
_INTERVAL_MS = 250
_WORK_SECONDS = 1.5
_CHECKPOINT_SECONDS = 0.5
_CALM_JOBS = 8
_LEAD_MS = 2000
_STARVED_SECONDS = 3.0
_FINISH_SECONDS = 14.0
_LATE_TASKS = 2


def _plan_timed(_index: int) -> WorkPlan:
    return WorkPlan(_WORK_SECONDS, _CHECKPOINT_SECONDS)


async def play(deployment: Deployment, disturbs: bool) -> None:
    """Run a job at many times; then hand in a small one, which has all the room it needs.

    Without the disturbance, the same times are those of eight jobs.
    """
    count = 1 if disturbs else _CALM_JOBS
    timed = [make_job_id() for _ in range(count)]
    first_ms = int(time.time() * 1000) + _LEAD_MS
    step = {
        "count": _TASKS,
        "cpu": 100,
        "mem_mb": 100,
        "estimate_ms": int(_WORK_SECONDS * 1000),
        "checkpointing": True,
    }
    for number, job in enumerate(timed):
        body = {
            "spec": f"reconcile {job}",
            "steps": [step],
            "max_runs": _TIMES // count,
            "initial_delay_ms": first_ms + number * _INTERVAL_MS,
            "interval_ms": _INTERVAL_MS * count,
        }
        if not await deployment.submit(job, body, _plan_timed):
            raise Outcome(2, "a timed job was not accepted")
    ledger, store = deployment.ledger, deployment.store

    async def is_over() -> bool:
        return bool(store.refused) or len(ledger.done) >= _TIMES * _TASKS

    await wait_until(is_over, _LEAD_MS / 1000 + _TIMES * _INTERVAL_MS / 1000 + 10.0)
    deployment.note(
        "timed runs",
        started=len(ledger.starts),
        done=len(ledger.done),
        refused=len(store.refused),
        longest_refused=max((size for _, _, size in store.refused), default=0),
    )
    late = make_job_id()
    body = {
        "spec": f"receipt {late}",
        "steps": [{"count": _LATE_TASKS, "cpu": 500, "mem_mb": 256, "estimate_ms": 500}],
    }
    if not await deployment.submit(late, body, lambda _: WorkPlan(0.5)):
        raise Outcome(2, "the small job was not accepted")
    accepted_at = time.monotonic()
    await asyncio.sleep(_FINISH_SECONDS)
    state = await deployment.state(late)
    for job in timed:
        await deployment.state(job)
    began = [at for task, at in ledger.started_at.items() if task.startswith(late)]
    waited_s = (min(began) if began else time.monotonic()) - accepted_at
    newest_s = time.monotonic() - max(ledger.started_at.values())
    running = len(ledger.running)
    deployment.note(
        "at the end",
        late_state=state,
        late_started=len(began),
        waited_s=round(waited_s, 1),
        newest_start_s_ago=round(newest_s, 1),
        running=running,
        refused=len(store.refused),
        ended_daemons=deployment.find_ended_daemons(),
    )
    if waited_s > _STARVED_SECONDS:
        raise Outcome(
            1,
            f"LOST: for {waited_s:.1f} s after its acceptance a job of {_LATE_TASKS} tasks ran "
            f"nothing while {running} tasks ran on {len(deployment.workers)} workers; it is "
            f"{state} and no task at all was started for {newest_s:.1f} s; the store refused "
            f"{len(store.refused)} appends of a record longer than 262,144 bytes",
        )
    if state != "completed":
        raise Outcome(2, f"the small job is {state}")
    raise Outcome(0, f"the small job began within {waited_s:.1f} s")


if __name__ == "__main__":
    main(play, "review/2", daemons=3, workers=24)
