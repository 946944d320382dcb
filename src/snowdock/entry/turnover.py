"""How long a leader that says nothing is waited for, where leaders change soon after each other.

A new leader on a busy or weak node may be slow to renew and to send heartbeats. Where the others
wait for it no longer than for a settled one, the next claims, is as slow, and loses the lead in
turn: nobody ever leads. So each leadership that was taken over soon after its beginning, without
evidence that it had ended, makes the others wait twice as long for the next one.
"""

__all__ = ["MAX_TIMEOUT_FACTOR", "next_turnover", "timeout_factor"]

_SETTLED_SECONDS = 10.0
"""A leadership that has lasted longer is settled: a takeover takes 0.3 to 3.4 s, by node."""

_MAX_DOUBLINGS = 4

MAX_TIMEOUT_FACTOR = 2.0**_MAX_DOUBLINGS
"""The longest that a leader is waited for, as a multiple of the usual: some 14 s in all. A node of
0.12 of a core needs 3.4 s from its claim to its first orders, with 350 jobs on record."""


def timeout_factor(turnover: int, led_s: float) -> float:
    """Give how many times longer than usual a silent leader is waited for.

    Parameters
    ----------
    turnover
        How many leaderships before this one were taken over too soon, one after the other.
    led_s
        How long this node has seen the leader lead, in seconds.
    """
    factor = 2.0 ** min(turnover, _MAX_DOUBLINGS)
    return factor if led_s < _SETTLED_SECONDS * factor else 1.0


def next_turnover(turnover: int, led_s: float | None, is_evident: bool) -> int:
    """Give the turnover that a claimant puts on record.

    Parameters
    ----------
    turnover
        That of the leader whose place it takes.
    led_s
        How long it has seen that leader lead, in seconds; None where it did not see it begin.
    is_evident
        Whether that leader has resigned, or its end was evident.
    """
    if is_evident:
        return 0
    if led_s is None:
        return turnover
    is_short = led_s < _SETTLED_SECONDS * timeout_factor(turnover, 0.0)
    return turnover + 1 if is_short else 0
