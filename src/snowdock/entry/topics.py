"""The store's topics that snowdock uses for its own records."""

from ..jobs.model import JobId

__all__ = [
    "DEFAULT_PARTITION",
    "JOBS_TOPIC",
    "LEADERS_TOPIC",
    "LEADER_KEY",
    "PROGRESS_TOPIC",
    "job_partition",
    "progress_partition_count",
]

JOBS_TOPIC = "keyed.jobs"
"""Submitted jobs and cancellations; any node appends."""

PROGRESS_TOPIC = "keyed.progress"
"""Progress of each job; only the leader appends, fenced by its epoch."""

_MAX_PROGRESS_PARTITIONS = 3
"""Enough to outlast the loss of two partitions; a takeover needs an answer from each."""

LEADERS_TOPIC = "keyed.leaders"
"""The leader and its epoch."""

LEADER_KEY = "leader"

DEFAULT_PARTITION = 0
"""The partition of topics that are not spread over several."""


def job_partition(job: JobId, partition_count: int) -> int:
    """Return the partition of a job's submission, by its identifier or its `record_name`.

    The store handles the appends to a partition one at a time, so spreading jobs over partitions
    keeps the throughput when the store is slow.
    """
    return int(job[:8], 16) % partition_count


def progress_partition_count(partition_count: int) -> int:
    """Return the number of partitions that may hold progress, of all that a topic has."""
    return min(_MAX_PROGRESS_PARTITIONS, partition_count)
