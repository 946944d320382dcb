"""Timeouts and intervals shared by real and emulated leaders."""

__all__ = [
    "HEARING_SECONDS",
    "ISOLATED_SECONDS",
    "LEASE_SECONDS",
    "LONG_QUESTION_MS",
    "RETENTION_FACTOR",
    "SLOWEST_CLOCK_RATE",
    "TICK_SECONDS",
    "takeover_lapse_seconds",
]

LEASE_SECONDS = 4.5
"""The lease that renewals request. It must outlast a takeover, which takes about two seconds, but
tasks on a worker that vanished are blocked for this long."""

ISOLATED_SECONDS = 3.0
"""Time after which a leader that reaches neither the store nor any peer stops sending orders, since
it may have been replaced."""

RETENTION_FACTOR = 1.5
"""An ended job is kept for this multiple of the time for which callers may query it."""

TICK_SECONDS = 0.1
"""Interval of a leader's timer events."""

LONG_QUESTION_MS = 50.0
"""Duration from which a request to the advice service counts as long: it could delay several short
ones for interactive jobs."""

HEARING_SECONDS = 2.0
"""Minimum time for which a new leader waits for workers to report their runs: their entries are
known from the start, and a first answer takes up to about half a second."""

_CLOCK_SLACK_SECONDS = 0.5
"""Allowance for clock differences between nodes and for orders in transit when the last lease is
computed."""


SLOWEST_CLOCK_RATE = 0.975
"""Lowest rate of a worker's steady clock relative to the node's: 2 % slow, with a margin of half a
percent for the node's own clock."""


def takeover_lapse_seconds(longest_lease_s: float) -> float:
    """Return the time after a claim by which all leases of earlier leaders have certainly expired.

    Parameters
    ----------
    longest_lease_s
        The longest lease that leaders request, in seconds of a worker's clock. Before a release
        requests a longer lease, the preceding release must already use it here.

    Returns
    -------
    float
        Seconds since the claim: the time until an isolated leader's last orders plus a lease.
    """
    return ISOLATED_SECONDS + longest_lease_s / SLOWEST_CLOCK_RATE + _CLOCK_SLACK_SECONDS
