"""Random schedules of claims, cuts, outages and late messages on the real authority."""

import dataclasses
import math
import random
import unittest
from collections.abc import Callable

import msgspec

from snowdock.entry.authority import Authority, Basis, RosterPlace
from snowdock.entry.earlier_leaders import EarlierLeaders
from snowdock.entry.leader_record import LeaderRecord, NodeIdentity
from snowdock.entry.messages import Statement
from snowdock.jobs.timeouts import AUTHORITY_SECONDS

WALKS = 300
STEPS = 160
NODES = ("a", "b", "c")
LEADER = NodeIdentity("l", "l-1", "l:1")
EPOCH = 7

_TICK_SECONDS = 0.125
"""Exact in binary, so that limits are met exactly."""

_HEARTBEAT_TICKS = 2
_RENEWAL_TICKS = 2
_MAX_SUCCESSORS = 3

_FLIP_SHARE = 0.002
"""Share of ticks in which a link or a node's access to the store changes."""

_RESTART_SHARE = 0.004
_LATE_SHARE = 0.2
_MAX_LATE_TICKS = 24


@dataclasses.dataclass(slots=True)
class Claim:
    """A claim on its way to the store, and until when earlier leaders may act by its claimant."""

    position: int
    authority_until: float


class Node:
    """A follower's process; its clock differs from the leader's."""

    def __init__(self, name: str, start: int, offset_s: float, place: RosterPlace) -> None:
        self.identity = NodeIdentity(name, f"{name}-{start}", f"{name}:1")
        self.offset_s = offset_s
        self.place = place
        self.earlier = EarlierLeaders(self.identity)
        self.heard_at = -math.inf
        self.newest_epoch = EPOCH
        self.claim: Claim | None = None


class Schedule:
    """One random schedule; the time is in seconds of the leader's clock.

    Attributes
    ----------
    overruns
        Orders after the time until which a claimant on record expects earlier leaders to act.
    outage_orders
        Orders on statements alone.
    late_orders
        Orders of the leader after a claim was recorded.
    """

    def __init__(
        self,
        seed: int,
        authority: Callable[[str], Authority] = Authority,
        place: Callable[[], RosterPlace] = RosterPlace,
    ) -> None:
        self._random = random.Random(seed)
        self._make_place = place
        self._now = 0.0
        self._authority = authority(LEADER.incarnation)
        self._authority.start_term(EPOCH, self._now)
        self._starts = 0
        self._nodes = {name: self._start_node(name) for name in NODES}
        self._up = {link: True for name in NODES for link in ((name, "in"), (name, "out"))}
        self._reaches_store = dict.fromkeys((*NODES, LEADER.node), True)
        self._changes = self._plan_outage()
        self._messages: list[tuple[float, Callable[[], None]]] = []
        self._record = LEADER.make_record(EPOCH)
        self._position = 1
        self._renewed_at = 0.0
        self._claims: list[Claim] = []
        self.overruns = self.outage_orders = self.late_orders = 0

    def run(self) -> None:
        """Run the schedule."""
        for tick in range(STEPS):
            self._now = tick * _TICK_SECONDS
            self._change_surroundings(tick)
            self._deliver()
            if tick % _RENEWAL_TICKS == 0:
                self._renew()
            for name in self._random.sample(NODES, len(NODES)):
                if tick % _HEARTBEAT_TICKS == 0:
                    self._send_heartbeats(name)
                self._claim(name)
            self._order()

    def _start_node(self, name: str) -> Node:
        self._starts += 1
        offset_s = float(self._random.randrange(-1000, 1000))
        return Node(name, self._starts, offset_s, self._make_place())

    def _happens(self, share: float) -> bool:
        return self._random.random() < share

    def _plan_outage(self) -> list[tuple[int, dict, object, bool]]:
        """Return changes by tick: an outage of the store, which ends for nodes that are cut off."""
        began = self._random.randrange(8, 40)
        changes = [(began, self._reaches_store, LEADER.node, False)]
        for name in NODES:
            if self._happens(0.8):
                lost = began + self._random.randrange(8)
                changes.append((lost, self._reaches_store, name, False))
            if self._happens(0.5):
                cut = began + self._random.randrange(-16, 32)
                back = cut + self._random.randrange(16)
                changes.append((back, self._reaches_store, name, True))
                changes += [
                    (cut, self._up, (name, way), False)
                    for way in ("in", "out")
                    if self._happens(0.8)
                ]
        return changes

    def _change_surroundings(self, tick: int) -> None:
        for at, state, key, is_up in self._changes:
            if at == tick:
                state[key] = is_up
        for state in (self._up, self._reaches_store):
            for key in state:
                if self._happens(_FLIP_SHARE):
                    state[key] = not state[key]
        for name in NODES:
            if self._happens(_RESTART_SHARE):
                self._nodes[name] = self._start_node(name)

    def _send(self, handle: Callable[[], None]) -> None:
        ticks = self._random.randrange(_MAX_LATE_TICKS) if self._happens(_LATE_SHARE) else 0
        self._messages.append((self._now + ticks * _TICK_SECONDS, handle))

    def _deliver(self) -> None:
        due = [handle for at, handle in self._messages if at <= self._now]
        self._messages = [message for message in self._messages if message[0] > self._now]
        for handle in due:
            handle()

    # -- the store -------------------------------------------------------------------------

    def _append(self, record: LeaderRecord, position: int) -> bool:
        if position != self._position:
            return False
        self._record = record
        self._position += 1
        self._renewed_at = self._now
        return True

    def _renew(self) -> None:
        started_at = self._now
        roster = self._authority.next_roster(started_at)
        if not self._reaches_store[LEADER.node] or self._record.epoch != EPOCH:
            return
        self._append(LEADER.make_record(EPOCH, roster=roster), self._position)
        self._send(lambda: self._authority.record_renewal(started_at, roster))

    def _claim(self, name: str) -> None:
        node = self._nodes[name]
        if not self._reaches_store[name]:
            return
        if node.claim is not None:
            if self._position > node.claim.position:
                # The node has read what decided its claim.
                node.newest_epoch = self._record.epoch
                node.claim = None
                node.place.end_claim()
            return
        if self._happens(0.3):
            node.newest_epoch = self._record.epoch
        is_due = self._now - self._renewed_at > 4 * _TICK_SECONDS and self._happens(0.05)
        if not is_due or len(self._claims) >= _MAX_SUCCESSORS:
            return
        bound_s = node.place.begin_claim(self._record, name)
        node.earlier.begin_claim(self._record, bound_s, self._now)
        claim = node.claim = Claim(self._position, node.earlier.until)
        epoch = self._record.epoch + 1
        self._send(lambda: self._apply_claim(node, claim, epoch))

    def _apply_claim(self, node: Node, claim: Claim, epoch: int) -> None:
        earlier = node.earlier.list_at(self._now)
        if self._append(node.identity.make_record(epoch, earlier=earlier), claim.position):
            self._claims.append(claim)

    # -- heartbeats and orders ---------------------------------------------------------------

    def _send_heartbeats(self, name: str) -> None:
        node = self._nodes[name]
        sent_at = self._now
        if self._up[name, "out"]:
            roster, incarnation, stated_at = self._authority.place_of(name)
            self._send(lambda: self._hear_leader(node, sent_at, roster, incarnation, stated_at))
        if not self._up[name, "in"]:
            return
        reaches_store = self._reaches_store[name]
        own_now = sent_at + node.offset_s
        may_have_claimed = node.place.begin_statement(own_now, reaches_store)
        statement = Statement(
            node.identity.incarnation,
            own_now,
            LEADER.incarnation,
            node.heard_at,
            node.newest_epoch,
            may_have_claimed,
        )
        self._send(
            lambda: self._authority.record_statement(name, statement, reaches_store, self._now)
        )

    @staticmethod
    def _hear_leader(
        node: Node, sent_at: float, roster: int, incarnation: str, stated_at: float
    ) -> None:
        node.heard_at = max(node.heard_at, sent_at)
        if incarnation == node.identity.incarnation:
            node.place.record_place(EPOCH, roster, stated_at)

    def _order(self) -> None:
        basis = self._authority.basis_at(self._now)
        if basis is Basis.NONE:
            return
        self.outage_orders += basis is Basis.STATEMENTS
        self.late_orders += bool(self._claims)
        # All leases have the same length, so the last order decides the last lease.
        self.overruns += any(self._now >= claim.authority_until for claim in self._claims)


class EchoIsArrival(Authority):
    """Takes statements to be as new as their arrival."""

    def record_statement(
        self, node: str, statement: Statement, reaches_store: bool, now: float
    ) -> None:
        if statement.heard_at >= 0:
            statement = msgspec.structs.replace(statement, heard_at=now)
        super().record_statement(node, statement, reaches_store, now)


class OpenClaimsCount(Authority):
    """Accepts statements of peers whose claims may be on record."""

    def record_statement(
        self, node: str, statement: Statement, reaches_store: bool, now: float
    ) -> None:
        statement = msgspec.structs.replace(statement, may_have_claimed=False)
        super().record_statement(node, statement, reaches_store, now)


class RemovesUnrecorded(Authority):
    """Removes silent members before a roster without them is on record."""

    def next_roster(self, now: float) -> int:
        roster = super().next_roster(now)
        self.record_renewal(-math.inf, roster)
        return roster


class KeepsPlaceWhenBlind(RosterPlace):
    """Keeps a place after a statement of being without the store."""

    def begin_statement(self, now: float, reaches_store: bool) -> bool:
        return super().begin_statement(now, reaches_store=True)


class WaitsShortly(RosterPlace):
    """Waits for the shorter bound without a place, too."""

    def begin_claim(self, leader: LeaderRecord | None, node: str) -> float:
        super().begin_claim(leader, node)
        return AUTHORITY_SECONDS


class TestSchedules(unittest.TestCase):
    def test_leader_orders_beyond_the_bound_of_a_claimant(self) -> None:
        """No order's lease outlasts the time for which a successor on record waits."""
        outage_orders = late_orders = 0
        for seed in range(WALKS):
            schedule = Schedule(seed)
            schedule.run()
            self.assertEqual(schedule.overruns, 0, f"seed {seed}")
            outage_orders += schedule.outage_orders
            late_orders += schedule.late_orders
        self.assertGreater(outage_orders, WALKS)
        self.assertGreater(late_orders, WALKS)

    def test_schedules_miss_a_broken_rule(self) -> None:
        """Schedules with a broken rule have orders beyond a claimant's bound."""
        for broken in (
            {"authority": EchoIsArrival},
            {"authority": OpenClaimsCount},
            {"authority": RemovesUnrecorded},
            {"place": KeepsPlaceWhenBlind},
            {"place": WaitsShortly},
        ):
            with self.subTest(broken=broken):
                self.assertTrue(any(_has_overrun(seed, **broken) for seed in range(WALKS)))


def _has_overrun(seed: int, **broken: Callable) -> bool:
    schedule = Schedule(seed, **broken)
    schedule.run()
    return schedule.overruns > 0


if __name__ == "__main__":
    unittest.main()
