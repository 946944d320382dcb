"""The monotonic clock of nodes, which also runs while a VM is suspended."""

import time

__all__ = ["steady_seconds"]

# CLOCK_MONOTONIC stops while a VM is suspended, so stale data would seem fresh after a resume.
# Only Linux has CLOCK_BOOTTIME.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_seconds() -> float:
    """Return the time of a clock that never steps and that counts the time a VM is suspended.

    Returns
    -------
    float
        Seconds since an arbitrary time before the process started.
    """
    return time.clock_gettime(_CLOCK_ID)
