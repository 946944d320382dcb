"""Times that every leader goes by, real or emulated."""

__all__ = [
    "ISOLATED_SECONDS",
    "LEASE_SECONDS",
    "LONG_QUESTION_MS",
    "RETENTION_FACTOR",
    "TICK_SECONDS",
    "takeover_lapse_seconds",
]

LEASE_SECONDS = 4.5
"""The lease that renewals ask for: a takeover takes about two seconds, and a worker that
vanished blocks its tasks for this long."""

ISOLATED_SECONDS = 3.0
"""A leader that reaches neither the store nor any peer for this long may have been replaced
without learning of it, and gives no more orders."""

RETENTION_FACTOR = 1.5
"""A job stays known after its end for so many times as long as callers may ask for it."""

TICK_SECONDS = 0.1
"""Time between a leader's looks at what time brings."""

LONG_QUESTION_MS = 50.0
"""A question to the advice service that takes longer is a long one: it could hold up several
short ones, for jobs with a person waiting."""

_CLOCK_SLACK_SECONDS = 0.5
"""What clocks of two nodes, and an order on its way, may add to the end of the last lease."""


def takeover_lapse_seconds(longest_lease_s: float) -> float:
    """Give when, after a takeover, all leases that an earlier leader renewed are surely over.

    Parameters
    ----------
    longest_lease_s
        The longest lease that a worker grants, in seconds of this node's clock.

    Returns
    -------
    float
        Seconds since the takeover: an isolated leader's last orders, and a lease after them.
    """
    return ISOLATED_SECONDS + longest_lease_s + _CLOCK_SLACK_SECONDS
