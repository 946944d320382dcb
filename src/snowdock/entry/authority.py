"""The authority of a leader: until when it may act, and what its successor may rely on.

A leader acts only while it can prove that nobody else led at most `AUTHORITY_SECONDS` ago. Its own
renewal proves it, as of the time at which the renewal was sent. While the store answers nothing,
the statements of its peers prove it together: each says that it has claimed nothing and knows of no
later leader, as of the leader's heartbeat that it echoes.

The peers that are consulted are the members of the *roster*. Each is one process: the next process
of its node does not know what the first one has claimed. A member is removed only by a record of
the leader that states a higher version of the roster, or if it has said before that it does not
reach the store. A node that claims the leadership knows from the leader's heartbeats whether it is
a member in the version on record. If it is, the leader stops `AUTHORITY_SECONDS` after the claim.
Otherwise the leader may not have missed its statements, and stops `OUTAGE_AUTHORITY_SECONDS` after
its last renewal.
"""

import dataclasses
import enum
import math
import threading

from ..jobs.timeouts import AUTHORITY_SECONDS, OUTAGE_AUTHORITY_SECONDS
from .leader_record import LeaderRecord
from .messages import Statement
from .peer_directory import LIVE_SECONDS

__all__ = ["Authority", "Basis", "RosterPlace"]


class Basis(enum.Enum):
    """On what a leader's authority rests."""

    RENEWAL = "renewal"
    STATEMENTS = "statements"
    NONE = "none"


@dataclasses.dataclass(slots=True)
class _Member:
    """A member of the roster, by its newest accepted statement.

    Attributes
    ----------
    node, stated_at
        The member's node, and when it made the statement by its own clock, in seconds.
    confirmed_at, heard_at
        When the heartbeat was sent that the statement echoes, and when the statement arrived, in
        seconds of this node's steady clock.
    reaches_store
        Whether the member said that it reaches the store.
    left_with
        The version of the roster without this member; None while it is to stay.
    """

    node: str
    stated_at: float
    confirmed_at: float
    heard_at: float
    reaches_store: bool
    left_with: int | None = None


class Authority:
    """The authority of this node's leader; thread-safe.

    Parameters
    ----------
    incarnation
        This node's process.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._lock = threading.Lock()
        # By process: a claim may be recorded after its process has ended, and the next process of
        # the node does not know of it.
        self._members: dict[str, _Member] = {}
        # By node: the process of its newest accepted statement, which each heartbeat looks up.
        self._processes: dict[str, str] = {}
        self._reset(0, 0.0)

    def _reset(self, epoch: int, now: float) -> None:
        self._epoch = epoch
        self._started_at = now
        self._renewed_at = -math.inf
        self._is_superseded = False
        self._roster = 1
        self._recorded_roster = 0
        self._members.clear()
        self._processes.clear()

    def start_term(self, epoch: int, now: float) -> None:
        """Begin an epoch; the authority begins with its first renewal."""
        with self._lock:
            self._reset(epoch, now)

    def record_renewal(self, started_at: float, roster: int) -> None:
        """Record that a renewal sent at a time is on record, and the roster that it states."""
        with self._lock:
            self._renewed_at = max(self._renewed_at, started_at)
            self._recorded_roster = max(self._recorded_roster, roster)
            for incarnation, member in list(self._members.items()):
                if member.left_with is not None and member.left_with <= self._recorded_roster:
                    del self._members[incarnation]

    def next_roster(self, now: float) -> int:
        """Return the version of the roster to record next, without members that are silent."""
        with self._lock:
            silent = [
                member
                for member in self._members.values()
                if member.left_with is None and now - member.heard_at > LIVE_SECONDS
            ]
            if silent:
                self._roster += 1
            for member in silent:
                member.left_with = self._roster
            return self._roster

    def place_of(self, node: str) -> tuple[int, str, float]:
        """Return a peer's place on the roster, to be stated in heartbeats to it.

        Returns
        -------
        roster : int
            The newest version that includes the peer; 0 for none.
        incarnation : str
        stated_at : float
            The peer's process and its newest accepted statement, by the peer's clock.
        """
        with self._lock:
            incarnation = self._processes.get(node, "")
            member = self._members.get(incarnation)
            if member is None:
                return 0, "", 0.0
            counts = member.reaches_store and member.left_with is None
            return self._roster if counts else 0, incarnation, member.stated_at

    def record_epoch(self, epoch: int) -> None:
        """Record that a peer leads in an epoch or knows of it; a later one ends the authority."""
        with self._lock:
            if epoch > self._epoch:
                self._is_superseded = True

    def record_statement(
        self, node: str, statement: Statement, reaches_store: bool, now: float
    ) -> None:
        """Record what a peer's heartbeat states of the leaders on record."""
        self.record_epoch(statement.newest_epoch)
        with self._lock:
            if statement.may_have_claimed or statement.heard_incarnation != self._incarnation:
                return
            if not self._started_at <= statement.heard_at <= now:
                # An echo from before this term proves nothing of it.
                return
            member = self._members.get(statement.incarnation)
            if member is not None and statement.sent_at <= member.stated_at:
                return
            self._members[statement.incarnation] = _Member(
                node, statement.sent_at, statement.heard_at, now, reaches_store
            )
            self._processes[node] = statement.incarnation

    def basis_at(self, now: float) -> Basis:
        """Return on what the authority rests at a time, in seconds of the steady clock."""
        with self._lock:
            if not self._epoch or self._is_superseded:
                return Basis.NONE
            renewal_age_s = now - self._renewed_at
            if renewal_age_s < AUTHORITY_SECONDS:
                return Basis.RENEWAL
            if not self._recorded_roster or renewal_age_s >= OUTAGE_AUTHORITY_SECONDS:
                return Basis.NONE
            return Basis.NONE if self._find_missing(now) else Basis.STATEMENTS

    def missing_at(self, now: float) -> list[str]:
        """Return the members whose statements are missing at a time."""
        with self._lock:
            return self._find_missing(now)

    def _find_missing(self, now: float) -> list[str]:
        return [
            member.node
            for member in self._members.values()
            if member.reaches_store and now - member.confirmed_at >= AUTHORITY_SECONDS
        ]


class RosterPlace:
    """A node's place on the roster of the leader that it follows; thread-safe.

    Statements and claims exclude one another, so that none is made in between which tells the
    leader that this node has claimed nothing, or that it does not count.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._epoch = 0
        self._roster = 0
        self._last_blind_at = -math.inf
        self._has_open_claim = False

    def record_place(self, epoch: int, roster: int, stated_at: float) -> None:
        """Record the place that a leader's heartbeat states.

        Parameters
        ----------
        epoch
            The leader's epoch.
        roster
            The newest version of its roster that includes this node; 0 for none.
        stated_at
            When this node made the statement that the leader accepted last, in seconds of this
            node's steady clock.
        """
        with self._lock:
            # After a statement of being without the store, the leader may do without this node.
            if epoch >= self._epoch and stated_at > self._last_blind_at:
                self._epoch, self._roster = epoch, roster

    def begin_statement(self, now: float, reaches_store: bool) -> bool:
        """Note a statement made now; return whether a claim of this node may be on record."""
        with self._lock:
            if not reaches_store:
                self._last_blind_at = now
                self._roster = 0
            return self._has_open_claim

    def begin_claim(self, leader: LeaderRecord | None, node: str) -> float:
        """Begin a claim over the newest record, and return the bound on its leader's authority.

        Parameters
        ----------
        leader
            The record that the claim follows; None if there is none.
        node
            This node's name. An earlier process of it has ended.

        Returns
        -------
        float
            Seconds after now until which the leader of that record may act.
        """
        with self._lock:
            self._has_open_claim = True
            if leader is None or self._is_bound(leader, node):
                return AUTHORITY_SECONDS
            return max(OUTAGE_AUTHORITY_SECONDS, leader.authority_s)

    def has_short_bound(self, leader: LeaderRecord, node: str) -> bool:
        """Check whether a claim over a record would have the shorter bound; see `begin_claim`."""
        with self._lock:
            return self._is_bound(leader, node)

    def _is_bound(self, leader: LeaderRecord, node: str) -> bool:
        has_place = leader.epoch == self._epoch and 0 < leader.roster <= self._roster
        return has_place or leader.roster == 0 or leader.resigned or leader.node == node

    def end_claim(self) -> None:
        """Note that the outcome of all claims of this node is known."""
        with self._lock:
            self._has_open_claim = False
