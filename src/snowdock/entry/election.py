"""Leader election by conditional appends to a partition of the store.

A node claims the leadership by an append that succeeds only if no other record was appended since
the node's last read. A leader renews its record often, so that a claim succeeds only after the
renewals have stopped. The offset of the claim determines the epoch, which rises with each leader.
"""

import random
import threading
from collections.abc import Callable

import msgspec

from ..clocks import steady_seconds
from ..errors import (
    AppendConflict,
    AppendRejected,
    CallUnanswered,
    PlatformError,
    StoreRefused,
)
from ..logs import log_error, log_event
from ..platform.store import StoreClient
from ..threads import ServiceThread
from .authority import Authority, Basis, RosterPlace
from .earlier_leaders import EarlierLeaders
from .known_leader import KnownLeader
from .lag_monitor import LagMonitor
from .leader_lag import HandoverLimiter
from .leader_liveness import find_end_evidence
from .leader_log import LeaderLog
from .leader_record import LeaderRecord, NodeIdentity
from .leader_watch import LeaderWatch
from .messages import Heartbeat, Statement
from .renewals import MAX_CALL_SECONDS, Renewals
from .successors import SuccessorTracker

__all__ = ["Election"]

_RENEWAL_INTERVAL_SECONDS = 0.3
"""Interval between a leader's renewals; each is one append to the store."""

_POLL_SECONDS = 0.1
"""Pause after a failed call, and between checks whether the leader is alive."""

_MAX_CLAIM_JITTER_SECONDS = 0.08
"""Upper bound of the random delay that spreads the claims of several nodes."""

_LONG_BOUND_DELAY_SECONDS = 0.8
"""Additional delay of a claim after which lost runs would be placed again later than after one of a
node that the leader counts. The latter is delayed by 0.48 s at most, unless its node is behind."""

_MIN_TERM_SECONDS = 3.0
"""A leader hands over only after this time, since each change of leader stops the
placement of tasks for some tenths of a second."""

_MIN_TERM_BEFORE_LAG_HANDOVER_SECONDS = 5.0
"""The same for a handover because of a lag: a takeover takes up to 3.4 s, in which a new leader is
behind for no other reason."""

_UNKNOWN_INCARNATION = ""
"""Stands for the incarnation of a leader known only by what peers tell."""

_RESIGN_ATTEMPTS = 3
"""Attempts to record a resignation: the leader's own renewals are the only records that it may
conflict with while it leads."""

_SUCCESSOR_HEAD_START_SECONDS = 0.4
"""How long the other nodes wait for a claim by the successor that a resigning leader names."""

_RESIGNATION_NOTICE_SECONDS = 1.0
"""How much longer the leader that resigned waits: the others read its resignation only once its
heartbeats are overdue."""


class Election:
    """Follows the leader, and claims, renews and hands over the leadership of this node.

    Parameters
    ----------
    store
        The store.
    identity
        The identity of this node.
    claim_delay_s
        How long this node waits before a claim, to let stronger nodes claim first, in seconds.
    reaches_store
        Returns whether the store has answered this node recently.
    on_elected
        Called with the epoch when this node has become the leader.
    on_deposed
        Called with the reason when this node is no longer the leader.
    on_leader_changed
        Called with the record of another node that has become the leader.
    ask_silent_leader
        Asks the known leader whether it leads; called while it sends no heartbeats and the store
        does not answer. Its reply is passed to `handle_referral`.
    lag
        How far this node is behind its work, which delays its claims further.
    """

    def __init__(
        self,
        store: StoreClient,
        identity: NodeIdentity,
        claim_delay_s: float,
        reaches_store: Callable[[], bool],
        on_elected: Callable[[int], None],
        on_deposed: Callable[[str], None],
        on_leader_changed: Callable[[LeaderRecord], None],
        ask_silent_leader: Callable[[], None],
        lag: LagMonitor,
    ) -> None:
        self._log = LeaderLog(store)
        self._identity = identity
        self._claim_delay_s = claim_delay_s
        self._reaches_store = reaches_store
        self._lag = lag
        self._lag_handovers = HandoverLimiter()
        self._successors = SuccessorTracker()
        self._on_elected = on_elected
        self._on_deposed = on_deposed
        self._on_leader_changed = on_leader_changed
        self._ask_silent_leader = ask_silent_leader
        self._stopped = threading.Event()
        self._wake = threading.Event()
        self._may_claim = True
        self._renewals = Renewals()
        self._known_leader = KnownLeader()
        self._watch = LeaderWatch(self._log, self._known_leader, self._apply_records)
        self._own_epoch = 0
        self._elected_at = 0.0
        self._turnover = 0
        self._authority = Authority(identity.incarnation)
        self._place = RosterPlace()
        self._earlier_leaders = EarlierLeaders(identity)
        self._claim_offset: int | None = None
        self._newest_epoch = 0
        # By peer: its process and the newest time of its clock that this node has heard of.
        self._heard: dict[str, tuple[str, float]] = {}
        self._resigned = False
        self._gone_epoch_logged = 0
        self._logged_basis = Basis.NONE
        # Appends follow one another, since each is conditional on the position after the last one.
        self._append_lock = threading.Lock()
        self._thread = ServiceThread(self._run, "election", self._stopped.is_set)

    @property
    def leader(self) -> LeaderRecord | None:
        """The newest known leader, this node or another."""
        return self._known_leader.record

    @property
    def referred_leader(self) -> LeaderRecord | None:
        """The leader to which this node refers its peers; None if it knows of none."""
        leader = self._known_leader.record
        if leader is None or leader.resigned:
            return None
        return leader if self._own_epoch or leader.node != self._identity.node else None

    @property
    def own_epoch(self) -> int:
        """The epoch in which this node leads; 0 if it is not the leader."""
        return self._own_epoch

    @property
    def turnover(self) -> int:
        """The number of consecutive short terms before this node's last term."""
        return self._turnover

    @property
    def earlier_authority_until(self) -> float:
        """Until when leaders before this node's last term may act, in steady-clock seconds."""
        return self._earlier_leaders.until

    @property
    def renewed_s(self) -> float:
        """Seconds since this node's last recorded renewal."""
        return self._renewals.age_s

    @property
    def renewal_is_overdue(self) -> bool:
        """Whether the leader, this node or another, is alive but cannot record its renewals."""
        if self._own_epoch:
            return self._renewals.is_overdue
        return self._known_leader.liveness.renewal_is_overdue

    @property
    def has_authority(self) -> bool:
        """Whether this node leads, and can prove that nobody else has led for a while."""
        return bool(self._own_epoch) and self._basis is not Basis.NONE

    @property
    def _basis(self) -> Basis:
        return self._authority.basis_at(steady_seconds())

    @property
    def leader_finds_store_slow(self) -> bool:
        """Whether another node is the leader and has recently reported slow appends."""
        return self._known_leader.is_alive and self._known_leader.liveness.store_is_slow

    @property
    def leader_is_alive(self) -> bool:
        """Whether another node is the leader, and its heartbeats and renewals are on time."""
        return self._known_leader.is_alive

    @property
    def leader_is_heard(self) -> bool:
        """Whether another node is the leader, and its heartbeats are on time."""
        return self._known_leader.is_heard

    def make_heartbeat(self, peer: str, due_s: float, heard_s: float | None) -> Heartbeat:
        """Return the heartbeat to send to a peer.

        Parameters
        ----------
        peer
            The peer.
        due_s
            Seconds until the next heartbeat to this peer.
        heard_s
            Seconds since the last heartbeat received from this peer; None for never.
        """
        identity = self._identity
        reaches_store = self._reaches_store()
        return Heartbeat(
            identity.node,
            identity.address,
            self._own_epoch,
            self.renewed_s,
            self._resigned,
            self._claim_delay_s + self._lag.stated_delay_s,
            reaches_store,
            self._renewals.are_rejected,
            due_s,
            heard_s,
            statement=self._make_statement(peer, reaches_store),
        )

    def _make_statement(self, peer: str, reaches_store: bool) -> Statement:
        """Return what this node knows of the leaders on record, for a peer."""
        now = steady_seconds()
        # Before the newest epoch is read, which a claim that has succeeded meanwhile is part of.
        may_have_claimed = self._place.begin_statement(now, reaches_store)
        roster = 0
        heard_incarnation, heard_at = self._heard.get(peer, ("", 0.0))
        if self._own_epoch:
            roster, heard_incarnation, heard_at = self._authority.place_of(peer)
        return Statement(
            self._identity.incarnation,
            now,
            heard_incarnation,
            heard_at,
            self._newest_epoch,
            may_have_claimed,
            roster,
        )

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat of a peer."""
        now = steady_seconds()
        self._authority.record_epoch(heartbeat.epoch)
        if heartbeat.statement is not None:
            self._handle_statement(heartbeat, heartbeat.statement, now)
        self._successors.record_heartbeat(heartbeat, now, self._lag.is_late)
        if not heartbeat.resigned and self._is_newer_leader(heartbeat.epoch):
            self._follow_unrecorded_leader(heartbeat.node, heartbeat.address, heartbeat.epoch)
        leader = self._known_leader.record
        if leader is None or heartbeat.node != leader.node:
            return
        if heartbeat.epoch >= leader.epoch:
            self._known_leader.liveness.record_heartbeat(heartbeat)
        elif heartbeat.resigned:
            self._known_leader.liveness.mark_silent()
            self._wake.set()

    def _handle_statement(self, heartbeat: Heartbeat, statement: Statement, now: float) -> None:
        """Handle what a peer's heartbeat states of the leaders on record."""
        node = heartbeat.node
        incarnation, heard_at = self._heard.get(node, ("", 0.0))
        if statement.incarnation != incarnation or statement.sent_at > heard_at:
            self._heard[node] = (statement.incarnation, statement.sent_at)
        self._newest_epoch = max(self._newest_epoch, statement.newest_epoch)
        self._authority.record_statement(node, statement, heartbeat.reaches_store, now)
        is_echo = statement.heard_incarnation == self._identity.incarnation
        if heartbeat.epoch and is_echo:
            self._place.record_place(heartbeat.epoch, statement.roster, statement.heard_at)
        if self._own_epoch:
            for ended in self._earlier_leaders.handle_statement(heartbeat, statement, now):
                log_event("predecessor_ended", leader=ended.node, epoch=ended.epoch)

    def handle_referral(self, sender: str, leader: str, address: str, epoch: int) -> None:
        """Handle the reply of a peer, asked as the leader, that it does not lead.

        Parameters
        ----------
        sender
            The peer.
        leader, address, epoch
            The leader that it knows of, itself if it still loads; empty if it knows none.
        """
        known = self._known_leader.record
        if known is None or known.node != sender or leader == sender:
            return
        self._known_leader.liveness.mark_silent()
        self._wake.set()
        if leader not in ("", self._identity.node) and self._is_newer_leader(epoch):
            self._follow_unrecorded_leader(leader, address, epoch)

    def _is_newer_leader(self, epoch: int) -> bool:
        """Check whether an epoch is that of a newer leader whose record this node cannot read.

        A node that reaches the store reads the record instead, since it includes the turnover.
        """
        known_epoch = (
            self._known_leader.record.epoch if self._known_leader.record is not None else 0
        )
        return epoch > max(known_epoch, self._own_epoch) and not self._reaches_store()

    def _follow_unrecorded_leader(self, node: str, address: str, epoch: int) -> None:
        """Follow a leader that peers tell of, elected while this node cannot reach the store.

        Callers of this node would otherwise get the answer that there is no leader.
        """
        log_event("leader_heard", leader=node, epoch=epoch)
        self._newest_epoch = max(self._newest_epoch, epoch)
        self.step_down(f"{node} leads in a later epoch")
        record = LeaderRecord(node, _UNKNOWN_INCARNATION, address, epoch)
        self._known_leader.update(record)
        self._known_leader.liveness.start_term()
        self._on_leader_changed(record)

    def start(self) -> None:
        """Start the election thread."""
        self._thread.start()

    def resign(self) -> None:
        """Resign the leadership, and make no further claims; for a planned stop."""
        self._may_claim = False
        self._append_resignation("")

    def _append_resignation(self, successor: str, was_behind: bool = False) -> None:
        epoch, self._own_epoch = self._own_epoch, 0
        if not epoch:
            return
        self._resigned = True
        try:
            for _ in range(_RESIGN_ATTEMPTS):
                if self._try_append_resignation(epoch, successor, was_behind):
                    return
            log_event("resign_unrecorded", epoch=epoch, reason="renewals without an answer")
        except PlatformError as error:
            log_event("resign_unrecorded", epoch=epoch, reason=str(error))

    def _try_append_resignation(self, epoch: int, successor: str, was_behind: bool) -> bool:
        """Append a resignation; return whether the epoch is over, and False to try again."""
        with self._append_lock:
            try:
                self._append(epoch, True, successor=successor, was_behind=was_behind)
            except AppendConflict:
                # A renewal without an answer may have been applied.
                return not self._still_leads(epoch)
        return True

    def step_down(self, reason: str) -> None:
        """End this node's leadership because another node leads or this one cannot."""
        if self._own_epoch:
            self._own_epoch = 0
            self._authority.start_term(0, steady_seconds())
            self._log.reset_position()
            self._on_deposed(reason)

    def stop(self) -> None:
        """Stop the election thread."""
        self._stopped.set()
        self._wake.set()

    # -- election thread -----------------------------------------------------------------

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                pause = self._renew() if self._own_epoch else self._follow_or_ask()
            except PlatformError as error:
                log_event("election_call_failed", reason=str(error), epoch=self._own_epoch)
                pause = _POLL_SECONDS
            except Exception as error:
                # The node can neither follow nor lead without this thread.
                log_error("election_failed", error, epoch=self._own_epoch)
                pause = _POLL_SECONDS
            self._wake.wait(pause)
            self._wake.clear()

    def _append(
        self,
        epoch: int,
        resigned: bool,
        seconds: float = MAX_CALL_SECONDS,
        successor: str = "",
        was_behind: bool = False,
        roster: int = 0,
    ) -> None:
        """Append a record of this node, provided that there was no append since the last read."""
        record = self._identity.make_record(
            epoch,
            resigned,
            successor,
            self._turnover,
            was_behind,
            roster,
            self._earlier_leaders.list_at(steady_seconds()),
        )
        self._log.append(record, seconds)

    def _log_authority(self) -> None:
        """Log on what a leader's authority rests, whenever that changes."""
        basis = self._basis
        if basis is self._logged_basis:
            return
        self._logged_basis = basis
        log_event(
            "authority_changed",
            epoch=self._own_epoch,
            basis=basis.value,
            renewal_age_s=self.renewed_s,
            missing=self._authority.missing_at(steady_seconds()),
        )

    def _renew(self) -> float:
        epoch = self._own_epoch
        while self._own_epoch == epoch and not self._stopped.is_set():
            started_at = steady_seconds()
            try:
                with self._append_lock:
                    if self._own_epoch != epoch:
                        return 0.0
                    roster = self._authority.next_roster(started_at)
                    self._append(epoch, False, self._renewals.limit_s, roster=roster)
            except AppendConflict:
                if not self._still_leads(epoch):
                    self.step_down("another node has claimed the leadership")
                    return 0.0
                continue
            except (CallUnanswered, StoreRefused) as error:
                self._renewals.record_failure(started_at)
                log_event("renewal_failed", epoch=epoch, reason=str(error))
                self._log_authority()
                self._stopped.wait(_POLL_SECONDS)
                continue
            self._renewals.record_success(started_at)
            self._authority.record_renewal(started_at, roster)
            self._log_authority()
            if self._hand_over_leadership():
                return 0.0
            return max(0.0, started_at + _RENEWAL_INTERVAL_SECONDS - steady_seconds())
        return 0.0

    def _hand_over_leadership(self) -> bool:
        """Hand over to a stronger node, if there is one; return whether it did."""
        now = steady_seconds()
        if now - self._elected_at < _MIN_TERM_SECONDS:
            return False
        successor = self._successors.choose_successor(now, self._claim_delay_s)
        is_behind = successor is None
        if is_behind:
            successor = self._choose_successor_for_lag(now)
        if successor is None:
            return False
        log_event("handing_over", epoch=self._own_epoch, successor=successor, behind=is_behind)
        if is_behind:
            self._lag_handovers.record(now)
        self._append_resignation(successor, is_behind)
        self._on_deposed(f"{successor} was named as the successor")
        self._follow_own_resignation(successor)
        return True

    def _choose_successor_for_lag(self, now: float) -> str | None:
        """Return a clearly better node if this one has fallen behind, and may hand over for that.

        A lag that has passed does not count: the leadership would change for nothing.
        """
        lag_delay_s = self._lag.current_delay_s
        if not lag_delay_s or now - self._elected_at < _MIN_TERM_BEFORE_LAG_HANDOVER_SECONDS:
            return None
        if not self._lag_handovers.permits(now):
            return None
        return self._successors.choose_successor(
            now, self._claim_delay_s + lag_delay_s, self._lag.is_late
        )

    def _follow_own_resignation(self, successor: str) -> None:
        """Update the known leader by this node's own resignation."""
        record = self._known_leader.record
        self._known_leader.update(
            msgspec.structs.replace(record, resigned=True, successor=successor)
        )
        self._known_leader.liveness.mark_silent()

    def _still_leads(self, epoch: int) -> bool:
        """Check whether a conflict was caused only by a renewal whose answer was lost."""
        records = self._log.read_new(0.0)
        if records is None:
            records = self._log.read_newest(MAX_CALL_SECONDS)
        return all(
            record.epoch == epoch and record.incarnation == self._identity.incarnation
            for record in records
        )

    def _follow_or_ask(self) -> float:
        """Follow the leader; if neither the store nor its heartbeats tell who leads, ask it."""
        try:
            return self._follow()
        except PlatformError:
            if not self.leader_is_heard:
                self._ask_silent_leader()
            raise

    def _follow(self) -> float:
        if not self._log.has_position:
            self._watch.read_newest()
        if self._leader_is_gone():
            if self._watch.read_other_leader():
                return 0.0
        elif self.leader_is_alive:
            return _POLL_SECONDS
        elif self._watch.wait_for_renewal():
            return 0.0
        if not self._may_claim:
            self._watch.wait_for_leader()
            return _POLL_SECONDS
        if self._other_successor_is_named() and self._watch.wait_for_leader(
            self._head_start_seconds()
        ):
            return 0.0
        claim_delay_s = self._claim_delay_s + self._lag.held_delay_s + self._long_bound_delay_s()
        self._stopped.wait(claim_delay_s + random.uniform(0, _MAX_CLAIM_JITTER_SECONDS))
        self._claim()
        return 0.0

    def _long_bound_delay_s(self) -> float:
        """Return how long this node leaves its claim to others that would have a shorter wait."""
        leader = self._known_leader.record
        if leader is None or self._place.has_short_bound(leader, self._identity.node):
            return 0.0
        return _LONG_BOUND_DELAY_SECONDS

    def _leader_is_gone(self) -> bool:
        """Check whether there is evidence that the leader is gone.

        Evidence only saves the wait for a renewal; the conditional append still decides the claim.
        """
        leader = self._known_leader.record
        if leader is None or leader.resigned:
            return False
        evidence = find_end_evidence(
            leader, self._identity, self._known_leader.liveness, self._reaches_store
        )
        self._known_leader.is_evidently_gone = evidence is not None
        if evidence is not None and self._gone_epoch_logged != leader.epoch:
            self._gone_epoch_logged = leader.epoch
            log_event("leader_gone", leader=leader.node, epoch=leader.epoch, reason=evidence)
        return evidence is not None

    def _other_successor_is_named(self) -> bool:
        """Check whether the leader has resigned and named another node as its successor."""
        leader = self._known_leader.record
        if leader is None or not leader.resigned:
            return False
        return leader.successor not in ("", self._identity.node)

    def _head_start_seconds(self) -> float:
        """How long this node leaves the claim to the successor that a leader has named, in seconds.

        Otherwise a leader that was behind could lead again before its successor has noticed.
        """
        if self._known_leader.record.incarnation == self._identity.incarnation:
            return _SUCCESSOR_HEAD_START_SECONDS + _RESIGNATION_NOTICE_SECONDS
        return _SUCCESSOR_HEAD_START_SECONDS

    def _apply_records(self, records: list[LeaderRecord]) -> None:
        self._apply_newest_record(records)
        if self._claim_offset is not None and self._log.next_epoch > self._claim_offset + 1:
            # What was appended behind the claim's position decides it, also one on its way.
            self._end_claim()

    def _apply_newest_record(self, records: list[LeaderRecord]) -> None:
        leader = records[-1] if records else None
        if leader is None or leader == self._known_leader.record:
            return
        if self._is_renewal(leader):
            self._known_leader.update(leader)
            return
        incarnation = self._identity.incarnation
        if any(record.was_behind and record.incarnation != incarnation for record in records):
            self._lag_handovers.record(steady_seconds())
        self._known_leader.update(leader)
        self._newest_epoch = max(self._newest_epoch, leader.epoch)
        log_event(
            "leader_seen",
            leader=leader.node,
            epoch=leader.epoch,
            resigned=leader.resigned,
            turnover=leader.turnover,
        )
        if leader.incarnation == self._identity.incarnation and not leader.resigned:
            # A claim of this node whose answer was lost.
            self._start_term(leader)
        elif leader.incarnation != self._identity.incarnation:
            self._resigned = self._resigned and not self._may_claim
            if leader.resigned:
                self._known_leader.liveness.mark_silent()
            else:
                self._known_leader.liveness.start_term()
            self._on_leader_changed(leader)

    def _is_renewal(self, record: LeaderRecord) -> bool:
        """Check whether a record only renews the one of the known leader."""
        known = self._known_leader.record
        return known is not None and (
            (record.epoch, record.incarnation, record.resigned)
            == (known.epoch, known.incarnation, known.resigned)
        )

    def _claim(self) -> None:
        epoch = self._log.next_epoch
        self._turnover = self._known_leader.next_turnover()
        predecessor = self._known_leader.record
        try:
            self._append_claim(epoch, predecessor)
        except AppendConflict:
            log_event("claim_lost", epoch=epoch)
            self._watch.wait_for_leader()
            return
        log_event(
            "claim_won",
            epoch=epoch,
            turnover=self._turnover,
            predecessor="" if predecessor is None else predecessor.node,
            predecessor_epoch=0 if predecessor is None else predecessor.epoch,
            earlier_authority_s=max(0.0, self._earlier_leaders.until - steady_seconds()),
        )
        self._start_term(self._identity.make_record(epoch, turnover=self._turnover))
        self._end_claim()

    def _append_claim(self, epoch: int, predecessor: LeaderRecord | None) -> None:
        """Append a claim; the node has no open claim if none can have been appended."""
        has_open_claim = self._claim_offset is not None
        self._begin_claim(predecessor)
        try:
            self._append(epoch, False)
        except (AppendConflict, AppendRejected, StoreRefused, CallUnanswered) as error:
            may_be_appended = isinstance(error, CallUnanswered) and not error.unsent
            if not has_open_claim and not may_be_appended:
                self._end_claim()
            raise

    def _end_claim(self) -> None:
        """Note that the outcome of all claims of this node is known."""
        self._claim_offset = None
        self._place.end_claim()

    def _begin_claim(self, predecessor: LeaderRecord | None) -> None:
        """Note that a claim may be on record from now on, and until when earlier leaders act."""
        # An outdated read may state an earlier end than that of a claim without an answer.
        offset = self._log.next_epoch - 1
        self._claim_offset = max(offset, self._claim_offset or 0)
        bound_s = self._place.begin_claim(predecessor, self._identity.node)
        is_unknown = predecessor is None and self._log.next_epoch > 1
        self._earlier_leaders.begin_claim(
            predecessor,
            bound_s,
            steady_seconds(),
            is_readable=self._log.newest_is_readable and not is_unknown,
        )

    def _start_term(self, record: LeaderRecord) -> None:
        self._known_leader.update(record)
        self._resigned = False
        self._turnover = record.turnover
        self._elected_at = steady_seconds()
        self._newest_epoch = max(self._newest_epoch, record.epoch)
        self._logged_basis = Basis.NONE
        self._authority.start_term(record.epoch, self._elected_at)
        self._renewals.start_term()
        self._own_epoch = record.epoch
        self._on_elected(record.epoch)
