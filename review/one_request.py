"""The scenario of cases 4 and 5: one request of an uncontrolled client beside ordinary ones.

Ordinary clients hand in small jobs at a steady rate. Once, another client hands in one job. Then
`finish_s` after the traffic has ended, each ordinary job that was accepted is asked for.
"""

import collections
import concurrent.futures
import pathlib
import time

from .configurations import HOST, PREFIX, SMALL_JOB, make_configuration
from .small_platform import BOUNDS, MEMORY_MB, Client, Deployment, Record, finish, trouble_is_on

__all__ = ["play"]

_NODES = 3
_WORKERS = 4
_TRAFFIC_SECONDS = 18.0
_REQUEST_AT_SECONDS = 3.0
_JOB_INTERVAL_SECONDS = 0.75
_ASKING_THREADS = 24


def play(folder: str, request: dict, harmless: dict) -> None:
    """Play the scenario and end the process: 1 if LOST is broken, 0 if not, 2 if it cannot run.

    Parameters
    ----------
    folder
        The folder of the case.
    request
        The body of the one request.
    harmless
        The body that takes its place without the disruption.
    """
    record = Record(pathlib.Path(folder))
    with Deployment(record, _NODES, _WORKERS, make_configuration()) as deployment:
        status = _play(deployment, request if trouble_is_on() else harmless)
    finish(status)


def _play(deployment: Deployment, request: dict) -> int:
    record = deployment.record
    client = Client(deployment, HOST, PREFIX)
    probe = client.new_id()
    is_serving = deployment.wait_until_serving(
        lambda: client.submit(probe, SMALL_JOB) and client.find_state(probe) == "completed"
    )
    if not is_serving:
        record.say("the deployment does not serve")
        for node in deployment.nodes:
            for line in node.tail():
                record.write(f"{node.name}: {line}")
        return 2
    with concurrent.futures.ThreadPoolExecutor(_ASKING_THREADS) as pool:
        submitted = _send_traffic(pool, client, request)
        accepted = [job for job, taken in submitted.items() if taken.result()]
        record.say(f"traffic ended; {len(accepted)} of {len(submitted)} small jobs accepted")
        time.sleep(BOUNDS["finish_s"])
        states = dict(zip(accepted, pool.map(client.find_state, accepted), strict=True))
    counts = collections.Counter(states.values())
    lost = [job for job, state in states.items() if state in ("gone", "unanswered")]
    record.say(f"finish_s after the traffic: {dict(counts)}")
    killed = ", ".join(f"{name} at {mb:.0f} MB" for name, mb in deployment.memory_kills)
    record.say(f"processes over {MEMORY_MB} MB: {len(deployment.memory_kills)} ({killed})")
    record.say(f"processes that ended by themselves: {deployment.own_ends}")
    if lost:
        record.say(f"LOST is broken: {len(lost)} accepted jobs are not known or not answered")
        return 1
    record.say("LOST holds")
    return 0


def _send_traffic(
    pool: concurrent.futures.ThreadPoolExecutor, client: Client, request: dict
) -> dict[str, concurrent.futures.Future]:
    """Send the small jobs and the one request; return whether each small job was taken."""
    submitted = {}
    began = time.monotonic()
    has_sent = False
    while time.monotonic() - began < _TRAFFIC_SECONDS:
        if not has_sent and time.monotonic() - began >= _REQUEST_AT_SECONDS:
            has_sent = True
            pool.submit(client.submit, client.new_id(), request)
        job = client.new_id()
        submitted[job] = pool.submit(client.submit, job, SMALL_JOB)
        time.sleep(_JOB_INTERVAL_SECONDS)
    return submitted
