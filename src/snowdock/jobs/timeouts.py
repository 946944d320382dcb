"""Timeouts and intervals shared by real and emulated leaders."""

__all__ = [
    "ADVICE_MIX_SECONDS",
    "AUTHORITY_SECONDS",
    "LEASE_SECONDS",
    "LONG_ADVICE_REQUEST_MS",
    "MIN_CLOCK_RATE",
    "OUTAGE_AUTHORITY_SECONDS",
    "RETENTION_FACTOR",
    "TICK_SECONDS",
    "WORKER_REPORT_WAIT_SECONDS",
    "lease_expiry_after_claim_seconds",
]

LEASE_SECONDS = 4.5
"""The lease that renewals request. It must outlast a takeover, which takes about two seconds, but
tasks on a worker that vanished are blocked for this long."""

AUTHORITY_SECONDS = 1.5
"""Age of the newest proof that nobody else leads at which a leader stops to act, since it may have
been replaced. Renewals are due every 0.3 s, and statements of peers every 0.6 s."""

OUTAGE_AUTHORITY_SECONDS = 12.0
"""Age of the last renewal at which a leader stops to act even if all statements of its peers are
fresh, since a node that it does not know may lead. Running work then lasts for one more lease, so
outages of the store of up to 16 s end no runs."""

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
    longest_lease_s: float, authority_s: float = AUTHORITY_SECONDS
) -> float:
    """Return the time after a claim by which all leases of earlier leaders have certainly expired.

    Parameters
    ----------
    longest_lease_s
        The longest lease that leaders request, in seconds of a worker's clock. Before a release
        requests a longer lease, the preceding release must already use it here.
    authority_s
        How long after the claim earlier leaders may act, in seconds.

    Returns
    -------
    float
        Seconds since the claim: the time until an earlier leader's last orders plus a lease.
    """
    return authority_s + longest_lease_s / MIN_CLOCK_RATE + _CLOCK_SLACK_SECONDS
