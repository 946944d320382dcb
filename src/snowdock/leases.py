"""Time limits of leases and orders."""

__all__ = ["ORDER_VALID_MS", "earliest_loss_ms"]

ORDER_VALID_MS = 2000
"""Validity of an order; a worker refuses one that is older by the worker's own clock."""


def earliest_loss_ms(fenced_ms: int, lease_ms: int, clock_margin_ms: int) -> int:
    """Return the time after which an attempt on a gone worker has certainly ended.

    The bound is exclusive: orders are accepted and leases hold up to and including their last
    millisecond.

    An order that was built just before its sender confirmed the fence may arrive up to
    `ORDER_VALID_MS` later and renew a whole lease. The margin covers the difference between
    the clock that wrote the confirmation and the one that proposes the loss.

    Parameters
    ----------
    fenced_ms
        The time by which all members had confirmed that they renew no more leases, in
        milliseconds since the epoch.
    lease_ms
        The longest lease that any configuration has set.
    clock_margin_ms
        The maximum difference between two clocks.

    Returns
    -------
    int
        Milliseconds since the epoch.
    """
    return fenced_ms + ORDER_VALID_MS + lease_ms + clock_margin_ms
