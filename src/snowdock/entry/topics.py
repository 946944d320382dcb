"""The topics of the store that snowdock keeps for itself."""

from ..jobs.model import JobId

__all__ = [
    "DEFAULT_PARTITION",
    "JOBS_TOPIC",
    "LEADERS_TOPIC",
    "LEADER_KEY",
    "PROGRESS_TOPIC",
    "job_partition",
]

JOBS_TOPIC = "keyed.jobs"
"""Jobs as they were taken in, and their cancelling; any node appends."""

PROGRESS_TOPIC = "keyed.progress"
"""How far each job is; only the leader appends, shut out by the epoch of a later one."""

LEADERS_TOPIC = "keyed.leaders"
"""Who leads, in which epoch."""

LEADER_KEY = "leader"

DEFAULT_PARTITION = 0
"""The partition of what one leader writes."""


def job_partition(job: JobId, partition_count: int) -> int:
    """Give the partition that a job is taken in to, of so many; its `record_name` serves as well.

    A partition takes its appends in turn. Jobs are spread so that a store that has become slow
    still takes as many as come.
    """
    return int(job[:8], 16) % partition_count
