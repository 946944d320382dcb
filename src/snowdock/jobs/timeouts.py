"""Timeouts and intervals shared by real and emulated leaders."""

__all__ = [
    "ADVICE_MIX_SECONDS",
    "ISOLATION_TIMEOUT_SECONDS",
    "LEASE_SECONDS",
    "LONG_ADVICE_REQUEST_MS",
    "MIN_CLOCK_RATE",
    "RETENTION_FACTOR",
    "TICK_SECONDS",
    "WORKER_REPORT_WAIT_SECONDS",
    "lease_expiry_after_claim_seconds",
]

LEASE_SECONDS = 4.5
"""The lease that renewals request. It must outlast a takeover, which takes about two seconds, but
tasks on a worker that vanished are blocked for this long."""

ISOLATION_TIMEOUT_SECONDS = 1.5
"""Time after which a leader that reaches neither the store nor any peer stops sending orders, since
it may have been replaced. Leaders record it, so that their successors wait for as long."""

RETENTION_FACTOR = 1.5
"""An ended job is kept for this multiple of the time for which callers may query it."""

TICK_SECONDS = 0.1
"""Interval of a leader's timer events."""

LONG_ADVICE_REQUEST_MS = 50.0
"""Duration from which a request to the advice service counts as long: it could delay several short
ones for interactive jobs."""

ADVICE_MIX_SECONDS = 1.0
"""How long after a short request to the advice service some nodes are kept free of long ones. With
no short request in that time, a long one could rarely delay another."""

WORKER_REPORT_WAIT_SECONDS = 2.0
"""Minimum time for which a new leader waits for workers to report their runs: their entries are
known from the start, and a first answer takes up to about half a second."""

_CLOCK_SLACK_SECONDS = 0.5
"""Allowance for clock differences between nodes and for orders in transit when the last lease is
computed."""


MIN_CLOCK_RATE = 0.975
"""Lowest rate of a worker's steady clock relative to the node's: 2 % slow, with a margin of half a
percent for the node's own clock."""


def lease_expiry_after_claim_seconds(
    longest_lease_s: float, isolation_s: float = ISOLATION_TIMEOUT_SECONDS
) -> float:
    """Return the time after a claim by which all leases of earlier leaders have certainly expired.

    Parameters
    ----------
    longest_lease_s
        The longest lease that leaders request, in seconds of a worker's clock. Before a release
        requests a longer lease, the preceding release must already use it here.
    isolation_s
        The longest isolation timeout of the earlier leaders, in seconds.

    Returns
    -------
    float
        Seconds since the claim: the time until an isolated leader's last orders plus a lease.
    """
    return isolation_s + longest_lease_s / MIN_CLOCK_RATE + _CLOCK_SLACK_SECONDS
