"""The clock by which nodes judge age: steady, and running on while a VM is suspended."""

import time

__all__ = ["steady_seconds"]

# The usual monotonic clock stands still while a VM is suspended: what a node believed before would
# be as fresh after it. Only Linux has the other one.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_seconds() -> float:
    """Give the seconds of a clock that never steps, and counts the time that a VM sleeps.

    Returns
    -------
    float
        Seconds since some moment before the process began.
    """
    return time.clock_gettime(_CLOCK_ID)
