"""Case 7: tasks of a cancelled job start more than `cancel_ms` after the acknowledgement."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.configurations import HOST, PREFIX, SMALL_JOB, make_configuration
from review.small_platform import BOUNDS, Client, Deployment, Record, finish, trouble_is_on

_NODES = 3
_WORKERS = 4
_WORK_SECONDS = 2.2
_ROUNDS = 5
_LATE_SHARE = 0.5
_LATE_SECONDS = 5.5
_CANCEL_AFTER_SECONDS = 0.3
_PAUSE_SECONDS = 4.0

_JOB = {
    "spec": "recon",
    "steps": [{"count": 60, "cpu": 980, "mem_mb": 500, "estimate_ms": 2200}],
}


def main() -> None:
    """Play the case and end the process: 1 if UNASKED is broken, 0 if not, 2 if it cannot run."""
    record = Record(pathlib.Path(__file__).resolve().parent)
    configuration = make_configuration()
    with Deployment(record, _NODES, _WORKERS, configuration, work_s=_WORK_SECONDS) as deployment:
        status = _play(deployment)
    finish(status)


def _play(deployment: Deployment) -> int:
    record = deployment.record
    client = Client(deployment, HOST, PREFIX)
    probe = client.new_id()
    if not deployment.wait_until_serving(
        lambda: client.submit(probe, SMALL_JOB) and client.find_state(probe) == "completed"
    ):
        record.say("the deployment does not serve")
        return 2
    broken = 0
    for number in range(_ROUNDS):
        late_starts = _cancel_one_job(deployment, client)
        if late_starts is None:
            return 2
        broken += bool(late_starts)
        shown = ", ".join(f"{task} after {seconds:.1f} s" for task, seconds in late_starts[:3])
        record.say(f"job {number + 1}: {len(late_starts)} late starts ({shown})")
    record.say(f"processes that ended by themselves: {deployment.own_ends}")
    if broken:
        record.say(f"UNASKED is broken for {broken} of {_ROUNDS} jobs")
        return 1
    record.say("UNASKED holds")
    return 0


def _cancel_one_job(deployment: Deployment, client: Client) -> list[tuple[str, float]] | None:
    """Hand a job in, cancel it, and return its starts beyond `cancel_ms`, but for late orders.

    Returns
    -------
    list of (str, float) or None
        Each task, and the seconds from the acknowledged cancel to its start, on an order that its
        worker carried out at once. None if the job or its cancel was not taken.
    """
    record = deployment.record
    _set_late_share(deployment, _LATE_SHARE if trouble_is_on() else 0.0)
    began = time.monotonic()
    job = client.new_id()
    if not client.submit(job, _JOB):
        record.say("a job is not accepted")
        return None
    time.sleep(_CANCEL_AFTER_SECONDS)
    status, _ = client.call(deployment.nodes[0], "DELETE", job)
    acknowledged = time.monotonic()
    if status != 200:
        record.say(f"a cancel is answered {status}")
        return None
    time.sleep(max(0.0, began + _LATE_SECONDS - time.monotonic()))
    _set_late_share(deployment, 0.0)
    time.sleep(_PAUSE_SECONDS)
    starts = [
        (task, started_at - acknowledged)
        for worker in deployment.workers
        for (task, _), started_at in list(worker.started_at.items())
        if task.startswith(f"{job}.")
    ]
    return [each for each in starts if each[1] > BOUNDS["cancel_ms"] / 1000]


def _set_late_share(deployment: Deployment, share: float) -> None:
    for worker in deployment.workers:
        worker.late_share = share
    deployment.record.write(f"share of orders that get no answer and are carried out late: {share}")


main()
