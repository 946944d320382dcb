"""Until when the leaders before a node's claim may act: the last one, and those before that one."""

import dataclasses

import msgspec

from ..jobs.timeouts import OUTAGE_AUTHORITY_SECONDS
from .leader_record import EarlierLeader, LeaderRecord, NodeIdentity, unknown_leader
from .messages import Heartbeat, Statement

__all__ = ["EarlierLeaders"]


@dataclasses.dataclass(frozen=True, slots=True)
class _Wait:
    """A leader and the time until which it may act, in steady-clock seconds."""

    leader: EarlierLeader
    until: float


class EarlierLeaders:
    """The bounds on the authority of the leaders before this node's newest claim.

    Written by the election thread as a claim begins, and by the peer thread during the term.

    Parameters
    ----------
    identity
        The identity of this node.
    """

    def __init__(self, identity: NodeIdentity) -> None:
        self._identity = identity
        self._claimed_at = 0.0
        self._waits: list[_Wait] = []

    @property
    def until(self) -> float:
        """The time from which none of them acts, in steady-clock seconds."""
        return max((wait.until for wait in self._waits), default=self._claimed_at)

    def list_at(self, now: float) -> tuple[EarlierLeader, ...]:
        """Return those that may act after a time, and for how long."""
        return tuple(
            msgspec.structs.replace(wait.leader, authority_s=wait.until - now)
            for wait in self._waits
            if wait.until > now
        )

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
        waits = []
        if last is None:
            waits.append(_Wait(unknown_leader(bound_s), now + bound_s))
        elif last.incarnation == self._identity.incarnation:
            # The known record of this node's own term lacks what its last record passed on.
            waits += self._waits
        else:
            # Leaders on this node have ended, as this process leads no more.
            waits += [
                _Wait(leader, now + leader.authority_s)
                for leader in last.list_earlier()
                if leader.node != self._identity.node
            ]
        if last is not None:
            leader = EarlierLeader(last.node, last.incarnation, last.epoch, bound_s)
            waits.append(_Wait(leader, now + bound_s))
        if not is_readable:
            leader = unknown_leader(OUTAGE_AUTHORITY_SECONDS)
            waits.append(_Wait(leader, now + leader.authority_s))
        self._claimed_at = now
        self._waits = [wait for wait in waits if wait.until > now]

    def handle_statement(
        self, heartbeat: Heartbeat, statement: Statement, now: float
    ) -> list[EarlierLeader]:
        """Return the leaders whose node states, asked after the claim, that they lead no more.

        The waits for them end then.
        """
        is_echo = statement.heard_incarnation == self._identity.incarnation
        if not is_echo or statement.heard_at < self._claimed_at:
            return []
        ended = [
            wait
            for wait in self._waits
            if wait.until > now
            and wait.leader.node == heartbeat.node
            and (wait.leader.incarnation, wait.leader.epoch)
            != (statement.incarnation, heartbeat.epoch)
        ]
        self._waits = [_Wait(wait.leader, now) if wait in ended else wait for wait in self._waits]
        return [wait.leader for wait in ended]
