"""Which node leads: agreed by conditional appends to the store.

A claim is appended on condition that nobody has appended since the claimant last looked, and
a leader renews its record often. So a claim succeeds only where the leader has been silent,
and the claim's offset gives an epoch that rises with each leader.
"""

import random
import threading
from collections.abc import Callable

import msgspec

from ..clocks import steady_seconds
from ..errors import (
    AppendConflict,
    CallUnanswered,
    PlatformError,
    StoreRefused,
)
from ..jobs.timeouts import ISOLATION_TIMEOUT_SECONDS
from ..logs import log_error, log_event
from ..platform.store import StoreClient
from ..threads import ServiceThread
from .known_leader import KnownLeader
from .leader_log import LeaderLog
from .leader_record import LeaderRecord, NodeIdentity
from .leader_signs import find_end_evidence
from .leader_watch import LeaderWatch
from .messages import Heartbeat
from .renewals import MAX_CALL_SECONDS, Renewals
from .successors import SuccessorTracker

__all__ = ["Election"]

_RENEWAL_INTERVAL_SECONDS = 0.3
"""Time between a leader's renewals; each is one write to the store."""

_POLL_SECONDS = 0.1
"""Pause after a failed call, and between looks whether the leader is heard."""

_MAX_CLAIM_JITTER_SECONDS = 0.08
"""Spreads claims of nodes that miss the leader at the same time."""

_MIN_TERM_SECONDS = 3.0
"""A leader that has begun later than this hands over to nobody: each takeover costs some tenths
of a second in which nothing is placed."""

_UNKNOWN_INCARNATION = ""
"""Stands for the process of a leader that was heard of, and not read of on record."""

_SUCCESSOR_HEAD_START_SECONDS = 0.4
"""How long all others leave it to the successor that a resigning leader names to claim."""


class Election:
    """Follows who leads, and claims or renews the leadership of this node.

    Parameters
    ----------
    store
        The store.
    identity
        This node.
    claim_delay_s
        How long this node leaves it to stronger ones to claim first, in seconds.
    reaches_store
        Whether the store has answered this node lately.
    elected
        Called with the epoch when this node has become the leader.
    deposed
        Called with the reason when it no longer leads.
    leader_changed
        Called with the record of another node that leads now.
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
    ) -> None:
        self._log = LeaderLog(store)
        self._identity = identity
        self._claim_delay_s = claim_delay_s
        self._reaches_store = reaches_store
        self._successors = SuccessorTracker(claim_delay_s)
        self._on_elected = on_elected
        self._on_deposed = on_deposed
        self._on_leader_changed = on_leader_changed
        self._stopped = threading.Event()
        self._wake = threading.Event()
        self._may_claim = True
        self._renewals = Renewals()
        self._known = KnownLeader()
        self._watch = LeaderWatch(self._log, self._known, self._apply_records)
        self._own_epoch = 0
        self._elected_at = 0.0
        self._turnover = 0
        self._resigned = False
        self._gone_epoch_logged = 0
        self._last_peer_heartbeat_at = 0.0
        self._thread = ServiceThread(self._run, "election", self._stopped.is_set)

    @property
    def leader(self) -> LeaderRecord | None:
        """The newest leader known, this node or another."""
        return self._known.record

    @property
    def own_epoch(self) -> int:
        """The epoch in which this node leads; 0 where it does not."""
        return self._own_epoch

    @property
    def turnover(self) -> int:
        """How many leaderships just before this node's newest one were taken over too soon."""
        return self._turnover

    @property
    def renewed_s(self) -> float:
        """Seconds since this node's leadership was last on record."""
        return self._renewals.age_s

    @property
    def is_isolated(self) -> bool:
        """Whether this node reaches neither the store nor a peer, having had peers before."""
        if not self._last_peer_heartbeat_at or self.renewed_s < ISOLATION_TIMEOUT_SECONDS:
            return False
        return steady_seconds() - self._last_peer_heartbeat_at > ISOLATION_TIMEOUT_SECONDS

    @property
    def leader_finds_store_slow(self) -> bool:
        """Whether another node that leads has told lately that its appends take long."""
        return self._known.is_alive and self._known.liveness.store_is_slow

    @property
    def leader_is_alive(self) -> bool:
        """Whether another node that leads has been heard of lately, and reaches the store."""
        return self._known.is_alive

    def make_heartbeat(self, due_s: float, heard_s: float | None) -> Heartbeat:
        """Make the heartbeat to send to a peer.

        Parameters
        ----------
        due_s
            In how many seconds that peer gets the next one.
        heard_s
            How many seconds ago that peer was heard; None for never.
        """
        identity = self._identity
        return Heartbeat(
            identity.node,
            identity.address,
            self._own_epoch,
            self.renewed_s,
            self._resigned,
            self._claim_delay_s,
            self._reaches_store(),
            self._renewals.are_rejected,
            due_s,
            heard_s,
        )

    def handle_heartbeat(self, beat: Heartbeat) -> None:
        """Take over a peer's heartbeat."""
        now = steady_seconds()
        self._last_peer_heartbeat_at = now
        self._successors.record_heartbeat(beat, now)
        if self._is_newer_leader(beat):
            self._follow_unrecorded_leader(beat)
        leader = self._known.record
        if leader is None or beat.node != leader.node:
            return
        if beat.epoch >= leader.epoch:
            self._known.liveness.record_heartbeat(beat)
        elif beat.resigned:
            self._known.liveness.mark_silent()
            self._wake.set()

    def _is_newer_leader(self, beat: Heartbeat) -> bool:
        """Whether a heartbeat is of a leader of whom this node cannot read on record.

        Where it can, the record tells more: how often leaders have changed just before.
        """
        known_epoch = self._known.record.epoch if self._known.record is not None else 0
        is_newer = beat.epoch > max(known_epoch, self._own_epoch) and not beat.resigned
        return is_newer and not self._reaches_store()

    def _follow_unrecorded_leader(self, beat: Heartbeat) -> None:
        """Follow a leader that was granted the lead while this node did not reach the store.

        Else its callers would be told that nobody leads for as long as that lasts.
        """
        log_event("leader_heard", leader=beat.node, epoch=beat.epoch)
        self.step_down(f"{beat.node} leads in a later epoch")
        record = LeaderRecord(beat.node, _UNKNOWN_INCARNATION, beat.address, beat.epoch)
        self._known.update(record)
        self._known.liveness.start_term()
        self._on_leader_changed(record)

    def start(self) -> None:
        """Start following and, where nobody leads, claiming."""
        self._thread.start()

    def resign(self) -> None:
        """Give the leadership back, and claim it no more; for a planned stop."""
        self._may_claim = False
        self._append_resignation("")

    def _append_resignation(self, successor: str) -> None:
        epoch, self._own_epoch = self._own_epoch, 0
        if not epoch:
            return
        self._resigned = True
        try:
            self._append(epoch, True, successor=successor)
        except PlatformError as error:
            log_event("resign_unrecorded", epoch=epoch, reason=str(error))

    def step_down(self, reason: str) -> None:
        """Lead no more: another node has been seen to lead."""
        if self._own_epoch:
            self._own_epoch = 0
            self._log.reset_position()
            self._on_deposed(reason)

    def stop(self) -> None:
        """Stop following."""
        self._stopped.set()
        self._wake.set()

    # -- the thread ------------------------------------------------------------------------

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                pause = self._renew() if self._own_epoch else self._follow()
            except PlatformError as error:
                log_event("election_call_failed", reason=str(error), epoch=self._own_epoch)
                pause = _POLL_SECONDS
            except Exception as error:
                # Without this thread the node would neither follow nor lead any more.
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
    ) -> None:
        """Append an own record, on condition that nobody has appended since the last look."""
        record = self._identity.make_record(epoch, resigned, successor, self._turnover)
        self._log.append(record, seconds)

    def _renew(self) -> float:
        epoch = self._own_epoch
        while self._own_epoch == epoch and not self._stopped.is_set():
            started_at = steady_seconds()
            try:
                self._append(epoch, False, self._renewals.limit_s)
            except AppendConflict:
                if not self._still_leads(epoch):
                    self.step_down("another node has claimed the leadership")
                    return 0.0
                continue
            except (CallUnanswered, StoreRefused) as error:
                self._renewals.record_failure(started_at)
                log_event("renewal_failed", epoch=epoch, reason=str(error))
                self._stopped.wait(_POLL_SECONDS)
                continue
            self._renewals.record_success(started_at)
            if self._transfer_leadership():
                return 0.0
            return max(0.0, started_at + _RENEWAL_INTERVAL_SECONDS - steady_seconds())
        return 0.0

    def _transfer_leadership(self) -> bool:
        """Give the leadership to a stronger node, where there is one; tell whether it was."""
        now = steady_seconds()
        successor = self._successors.choose_successor(now)
        if successor is None or now - self._elected_at < _MIN_TERM_SECONDS:
            return False
        log_event("handing_over", epoch=self._own_epoch, successor=successor)
        self._append_resignation(successor)
        self._on_deposed(f"{successor} can bear more")
        self._follow_own_resignation(successor)
        return True

    def _follow_own_resignation(self, successor: str) -> None:
        """Follow on from the own resignation as any other node does."""
        own = self._known.record
        self._known.update(msgspec.structs.replace(own, resigned=True, successor=successor))
        self._known.liveness.mark_silent()

    def _still_leads(self, epoch: int) -> bool:
        """Read on after a conflict; only an own renewal whose answer was lost explains it."""
        found = self._log.read_new(0.0)
        if found is None:
            found = self._log.read_newest(MAX_CALL_SECONDS)
        return all(
            record.epoch == epoch and record.incarnation == self._identity.incarnation
            for record in found
        )

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
            _SUCCESSOR_HEAD_START_SECONDS
        ):
            return 0.0
        self._stopped.wait(self._claim_delay_s + random.uniform(0, _MAX_CLAIM_JITTER_SECONDS))
        self._claim()
        return 0.0

    def _leader_is_gone(self) -> bool:
        """Whether it is evident that the leader leads no more, without watching for renewals.

        That spares the wait only; the claim's condition decides whether it is granted.
        """
        leader = self._known.record
        if leader is None or leader.resigned:
            return False
        evidence = find_end_evidence(
            leader, self._identity, self._known.liveness, self._reaches_store
        )
        self._known.is_evidently_gone = evidence is not None
        if evidence is not None and self._gone_epoch_logged != leader.epoch:
            self._gone_epoch_logged = leader.epoch
            log_event("leader_gone", leader=leader.node, epoch=leader.epoch, reason=evidence)
        return evidence is not None

    def _other_successor_is_named(self) -> bool:
        """Whether the leader that has resigned named another node to claim next."""
        leader = self._known.record
        if leader is None or not leader.resigned:
            return False
        return leader.successor not in ("", self._identity.node)

    def _apply_records(self, records: list[LeaderRecord]) -> None:
        leader = records[-1] if records else None
        if leader is None or leader == self._known.record:
            return
        self._known.update(leader)
        log_event(
            "leader_seen",
            leader=leader.node,
            epoch=leader.epoch,
            resigned=leader.resigned,
            turnover=leader.turnover,
        )
        if leader.incarnation == self._identity.incarnation and not leader.resigned:
            # An own claim whose answer was lost.
            self._start_term(leader)
        elif leader.incarnation != self._identity.incarnation:
            self._resigned = self._resigned and not self._may_claim
            if leader.resigned:
                self._known.liveness.mark_silent()
            else:
                self._known.liveness.start_term()
            self._on_leader_changed(leader)

    def _claim(self) -> None:
        epoch = self._log.next_epoch
        self._turnover = self._known.next_turnover()
        try:
            self._append(epoch, False)
        except AppendConflict:
            log_event("claim_lost", epoch=epoch)
            self._watch.wait_for_leader()
            return
        log_event("claim_won", epoch=epoch, turnover=self._turnover)
        self._start_term(self._identity.make_record(epoch, turnover=self._turnover))

    def _start_term(self, record: LeaderRecord) -> None:
        self._known.update(record)
        self._resigned = False
        self._turnover = record.turnover
        self._elected_at = steady_seconds()
        self._renewals.start_term()
        self._own_epoch = record.epoch
        self._on_elected(record.epoch)
