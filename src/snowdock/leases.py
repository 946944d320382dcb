"""The times that leases rest on."""

__all__ = ["ORDER_VALID_MS", "earliest_loss_ms"]

ORDER_VALID_MS = 2000
"""A worker refuses an order that is older than this by its own clock."""


def earliest_loss_ms(fenced_ms: int, lease_ms: int, clock_margin_ms: int) -> int:
    """Tell after which moment an attempt on a gone worker is surely over.

    The moment itself is not yet safe: an order is taken, and a lease holds, up to and
    including its last millisecond. The model checker found this.

    An order built just before its sender confirmed the fence may arrive until
    `ORDER_VALID_MS` later, and renew for a whole lease. The margin covers the difference
    between the clock that wrote the confirmation and the one that claims the loss.

    Parameters
    ----------
    fenced_ms
        When the last member confirmed that it renews no more.
    lease_ms
        The longest lease that was ever in force.
    clock_margin_ms
        The most by which two clocks differ.

    Returns
    -------
    int
        Milliseconds since the epoch.
    """
    return fenced_ms + ORDER_VALID_MS + lease_ms + clock_margin_ms
