"""The topics of the store that snowdock keeps for itself."""

__all__ = ["JOBS_TOPIC", "LEADERS_TOPIC", "LEADER_KEY", "PART", "PROGRESS_TOPIC"]

JOBS_TOPIC = "keyed.jobs"
"""Jobs as they were taken in, and their cancelling; any node appends."""

PROGRESS_TOPIC = "keyed.progress"
"""How far each job is; only the leader appends, shut out by the epoch of a later one."""

LEADERS_TOPIC = "keyed.leaders"
"""Who leads, in which epoch."""

LEADER_KEY = "leader"

PART = 0
"""One cell of workers lies in one partition of each topic."""
