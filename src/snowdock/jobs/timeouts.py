"""Times that every leader goes by, real or emulated."""

__all__ = [
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
"""The lease that renewals ask for: a takeover takes about two seconds, and a worker that
vanished blocks its tasks for this long."""

ISOLATION_TIMEOUT_SECONDS = 3.0
"""A leader that reaches neither the store nor any peer for this long may have been replaced
without learning of it, and gives no more orders."""

RETENTION_FACTOR = 1.5
"""A job stays known after its end for so many times as long as callers may ask for it."""

TICK_SECONDS = 0.1
"""Time between a leader's looks at what time brings."""

LONG_ADVICE_REQUEST_MS = 50.0
"""A question to the advice service that takes longer is a long one: it could hold up several
short ones, for jobs with a person waiting."""

WORKER_REPORT_WAIT_SECONDS = 2.0
"""How long a new leader waits at least for workers to tell of their runs: their entries are known
when it begins, and a first answer takes up to some half a second."""

_CLOCK_SLACK_SECONDS = 0.5
"""What clocks of two nodes, and an order on its way, may add to the end of the last lease."""


MIN_CLOCK_RATE = 0.975
"""A worker's steady clock may run 2 % slow; half a percent is left for the node's own."""


def lease_expiry_after_claim_seconds(longest_lease_s: float) -> float:
    """Give when, after a claim, all leases that an earlier leader renewed are surely over.

    Parameters
    ----------
    longest_lease_s
        The longest lease that leaders ask for, in seconds of a worker's clock. A release that asks
        for more has to reckon with it here one release before.

    Returns
    -------
    float
        Seconds since the claim: an isolated leader's last orders, and a lease after them.
    """
    return ISOLATION_TIMEOUT_SECONDS + longest_lease_s / MIN_CLOCK_RATE + _CLOCK_SLACK_SECONDS
