"""Until when the leaders before a node's claim may act: the last one, and those before that one."""

from ..jobs.timeouts import OUTAGE_AUTHORITY_SECONDS
from .leader_record import LeaderRecord, NodeIdentity
from .messages import Heartbeat, Statement

__all__ = ["EarlierLeaders"]


class EarlierLeaders:
    """The bound on the authority of the leaders before this node's newest claim.

    Written by the election thread as a claim begins, and by the peer thread during the term.

    Parameters
    ----------
    identity
        The identity of this node.
    """

    def __init__(self, identity: NodeIdentity) -> None:
        self._identity = identity
        self._last: LeaderRecord | None = None
        self._claimed_at = 0.0
        self._until = 0.0
        self._until_of_others = 0.0

    @property
    def until(self) -> float:
        """The time from which none of them acts, in steady-clock seconds."""
        return self._until

    def remaining_s(self, now: float) -> float:
        """Return for how long after a time they may act, in seconds."""
        return max(0.0, self._until - now)

    def begin_claim(
        self, last: LeaderRecord | None, bound_s: float, now: float, is_readable: bool = True
    ) -> None:
        """Note a claim that begins now.

        Parameters
        ----------
        last
            The record that the claim follows; None if there is none.
        bound_s
            How long the leader of that record may act, in seconds.
        now
            The steady clock in seconds.
        is_readable
            Whether the newest record could be read. If not, its leader may act for as long as any,
            and is not known.
        """
        others_s = 0.0 if last is None else last.earlier_bound_s
        if last is not None and last.incarnation == self._identity.incarnation:
            # The known record of this node's own term lacks what its last record passed on.
            others_s = max(others_s, self.remaining_s(now))
        if not is_readable:
            others_s = max(others_s, OUTAGE_AUTHORITY_SECONDS)
        self._last = last
        self._claimed_at = now
        self._until = now + max(bound_s, others_s)
        self._until_of_others = now + others_s

    def handle_statement(
        self, heartbeat: Heartbeat, statement: Statement, now: float
    ) -> LeaderRecord | None:
        """Return the last leader if its node states, asked after the claim, that it leads no more.

        The wait for it ends then.
        """
        last = self._last
        if last is None or heartbeat.node != last.node:
            return None
        is_echo = statement.heard_incarnation == self._identity.incarnation
        if not is_echo or statement.heard_at < self._claimed_at:
            return None
        if statement.incarnation == last.incarnation and heartbeat.epoch == last.epoch:
            return None
        self._last = None
        self._until = min(self._until, max(now, self._until_of_others))
        return last
