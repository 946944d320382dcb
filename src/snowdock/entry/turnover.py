"""Exponential backoff of the failure-detection timeout after consecutive short terms.

A new leader on a busy or weak node may be slow to renew its record and to send heartbeats. With a
constant timeout, nodes could replace one slow leader after the other without end. Each term that
is cut short without evidence that the leader is gone therefore doubles the timeout for the next.
"""

__all__ = ["MAX_TIMEOUT_FACTOR", "next_turnover", "timeout_factor"]

_MIN_STABLE_TERM_SECONDS = 10.0
"""A term of at least this length is not short; a takeover takes 0.3 to 3.4 s on different nodes."""

_MAX_DOUBLINGS = 4

MAX_TIMEOUT_FACTOR = 2.0**_MAX_DOUBLINGS
"""Upper bound of the timeout as a multiple of the usual one, so that slow nodes can complete a
takeover: about 14 s in all. With 350 jobs on record, a node of 0.12 of a core needs 3.4 s from its
claim to its first orders."""


def timeout_factor(turnover: int, term_s: float) -> float:
    """Return the factor by which the timeout for a silent leader is extended.

    Parameters
    ----------
    turnover
        The number of consecutive short terms before this one.
    term_s
        How long this node has observed the term, in seconds.
    """
    factor = 2.0 ** min(turnover, _MAX_DOUBLINGS)
    return factor if term_s < _MIN_STABLE_TERM_SECONDS * factor else 1.0


def next_turnover(turnover: int, term_s: float | None, is_evident: bool) -> int:
    """Return the number of consecutive short terms that a claimant records.

    Parameters
    ----------
    turnover
        The number recorded by the leader that it replaces.
    term_s
        How long it has observed that leader's term, in seconds; None if it did not see it start.
    is_evident
        Whether that leader has resigned, or there was evidence that it is gone.
    """
    if is_evident:
        return 0
    if term_s is None:
        return turnover
    is_short = term_s < _MIN_STABLE_TERM_SECONDS * timeout_factor(turnover, 0.0)
    return turnover + 1 if is_short else 0
