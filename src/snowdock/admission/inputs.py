"""What `decide` needs, from a submitted job and from the leader's load summary."""

import functools
import math

from ..declarations import ZERO_SIZE, Size
from ..jobs.job_state import compute_critical_paths_ms
from ..jobs.load_summary import LoadSummary, predict_wait
from ..jobs.model import Queue
from ..jobs.progress import AcceptedJob
from .decision import Demand, LoadView, TeamUse

__all__ = ["make_demand", "make_view", "start_size"]


def make_demand(accepted: AcceptedJob, queue: Queue) -> Demand:
    """Return what a job needs.

    A job without an objective of its own is not refused because of a wait: that of a queue without
    a target, one that repeats, and one that runs until it is cancelled.
    """
    spec = accepted.spec
    critical_path_ms = max(compute_critical_paths_ms(spec.steps))
    is_timed = (
        queue.target_latency_ms > 0
        and not spec.repetitions
        and not any(step.long_running for step in spec.steps)
    )
    return Demand(
        accepted.team,
        _largest(step.room for step in spec.steps),
        critical_path_ms / 1000,
        queue.objective_seconds(critical_path_ms) if is_timed else None,
    )


def start_size(accepted: AcceptedJob) -> Size:
    """Return the resources that a job's start needs at once: one task, or all tasks of a gang."""
    return _largest(step.start_room for step in accepted.spec.steps if not step.after)


def make_view(
    summary: LoadSummary | None, arrived_at: float, accepted: AcceptedJob, bucket_wait_s: float
) -> LoadView:
    """Return what the summary tells about the load that a job meets.

    Parameters
    ----------
    summary, arrived_at
        The newest summary of the current leader, or None, and when it arrived.
    accepted
        The job.
    bucket_wait_s
        Seconds until the node's token bucket is not empty.
    """
    if summary is None:
        return LoadView(bucket_wait_s=bucket_wait_s)
    service = summary.service(accepted.service)
    queue = summary.queue(accepted.spec.queue)
    # As for a team within its share: the wait of a team that is held back says nothing about an
    # overload. In trials with a hot team on the emulator it was predicted as up to 60 s, while nine
    # in ten of the team's jobs were in time.
    wait_s = predict_wait(summary, accepted.spec.queue, start_size(accepted))
    # Otherwise, waits of jobs that were placed earlier could keep an empty queue closed.
    is_waited_for = queue is not None and queue.waiting_core_s > 0
    return LoadView(
        made_at=arrived_at,
        largest_worker=service.largest if service and service.largest != ZERO_SIZE else None,
        # Infinite if no worker is usable now, which says nothing about the next second.
        predicted_wait_s=wait_s if is_waited_for and math.isfinite(wait_s) else None,
        is_reliable=summary.is_reliable,
        # The use of teams is known for all services together only.
        rate=sum(each.work_rate for each in summary.services),
        running_core_s=sum(each.running_core_s for each in summary.services),
        teams={
            team.name: TeamUse(team.share, team.running_core_s + team.waiting_core_s)
            for team in summary.teams
        },
        bucket_wait_s=bucket_wait_s,
    )


def _largest(sizes) -> Size:
    return functools.reduce(Size.elementwise_max, sizes, ZERO_SIZE)
