"""Tests of the election against a fake store."""

import itertools
import socket
import threading
import time
import unittest
from unittest import mock

import msgspec

from snowdock.clocks import steady_seconds
from snowdock.entry import leader_liveness as leader_liveness_module
from snowdock.entry import leader_watch as leader_watch_module
from snowdock.entry import renewals as renewals_module
from snowdock.entry.election import Election
from snowdock.entry.lag_monitor import LagMonitor
from snowdock.entry.leader_log import LeaderLog
from snowdock.entry.leader_record import LeaderRecord, NodeIdentity
from snowdock.entry.topics import LEADER_KEY, LEADERS_TOPIC
from snowdock.jobs.timeouts import OUTAGE_AUTHORITY_SECONDS
from snowdock.node.metrics import Metrics
from snowdock.platform.store import StoreClient
from tests.standins.entry_cluster import wait_until
from tests.standins.platform import StoreStandin


class Candidate:
    """One node's election, and the results of its callbacks."""

    def __init__(
        self, store: StoreStandin, name: str, claim_delay_s: float = 0.0, incarnation: str = ""
    ) -> None:
        self.name = name
        self.epochs: list[int] = []
        self.deposed = threading.Event()
        self.silent_leader_asked = threading.Event()
        self.reaches_store = True
        self.lag = LagMonitor(Metrics())
        # The listening peer port of the node's process.
        self.port = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{self.port.getsockname()[1]}"
        self.election = Election(
            StoreClient(store.address, 4),
            NodeIdentity(name, incarnation or f"{name}-1", address),
            claim_delay_s,
            lambda: self.reaches_store,
            self.epochs.append,
            lambda reason: self.deposed.set(),
            lambda leader: None,
            lambda: self.silent_leader_asked.set(),
            self.lag,
        )
        self.election.start()

    @property
    def leads(self) -> bool:
        return bool(self.election.own_epoch)


class TestElection(unittest.TestCase):
    def setUp(self) -> None:
        self.store = StoreStandin()
        self.candidates: list[Candidate] = []
        self.heartbeats_enabled = True
        self.stopped = threading.Event()
        threading.Thread(target=self.deliver_heartbeats, daemon=True).start()

    def tearDown(self) -> None:
        self.stopped.set()
        for candidate in self.candidates:
            candidate.election.stop()
            candidate.port.close()
        self.store.close()

    def deliver_heartbeats(self) -> None:
        """Deliver heartbeats between all candidates, in place of the peer connections."""
        while not self.stopped.wait(0.05):
            if not self.heartbeats_enabled:
                continue
            candidates = list(self.candidates)
            for sender, other in itertools.permutations(candidates, 2):
                heartbeat = sender.election.make_heartbeat(other.name, 0.2, None)
                other.election.handle_heartbeat(heartbeat)

    def add_candidate(
        self, name: str, claim_delay_s: float = 0.0, incarnation: str = ""
    ) -> Candidate:
        candidate = Candidate(self.store, name, claim_delay_s, incarnation)
        self.candidates.append(candidate)
        return candidate

    def wait_for_leader(self) -> Candidate:
        leaders: list[Candidate] = []

        def one_leads() -> bool:
            leaders[:] = [c for c in self.candidates if c.leads]
            return len(leaders) == 1

        self.assertTrue(wait_until(one_leads))
        return leaders[0]

    def test_exactly_one_of_many_candidates_wins(self) -> None:
        """Exactly one of several nodes that start together leads, and remains the leader."""
        for number in range(6):
            self.add_candidate(f"n{number}")
        leader = self.wait_for_leader()
        self.assertTrue(wait_until(lambda: self.store.part("keyed.leaders").end > 6))
        self.assertEqual([c for c in self.candidates if c.epochs], [leader])

    def test_weak_node_defers_to_strong_node(self) -> None:
        """A node with a claim delay does not claim before a node without one."""
        self.add_candidate("weak", 0.4)
        strong = self.add_candidate("strong")
        self.assertIs(self.wait_for_leader(), strong)

    def test_weak_leader_hands_over_to_strong_node(self) -> None:
        """A weak leader hands over to a strong node that joins later."""
        weak = self.add_candidate("weak", 0.4)
        self.assertIs(self.wait_for_leader(), weak)
        other = self.add_candidate("other-weak", 0.36)
        strong = self.add_candidate("strong")
        self.assertTrue(wait_until(lambda: strong.leads, 10.0))
        self.assertTrue(weak.deposed.is_set())
        self.assertEqual((len(weak.epochs), other.epochs), (1, []))
        self.assertGreater(strong.epochs[0], weak.epochs[0])

    def test_resigned_leader_claims_before_its_successor_has_noticed(self) -> None:
        """A leader that hands over does not lead again while its successor reads of it late."""
        weak = self.add_candidate("weak", 0.4)
        self.assertIs(self.wait_for_leader(), weak)
        strong = self.add_candidate("strong")
        claim = strong.election._claim
        strong.election._claim = lambda: (time.sleep(0.9), claim())
        self.assertTrue(wait_until(lambda: strong.leads, 10.0))
        self.assertEqual(len(weak.epochs), 1)

    def test_silent_leader_is_replaced_with_a_higher_epoch(self) -> None:
        """A leader that stops renewing is replaced by another node."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        first.election.stop()
        self.candidates.remove(first)
        self.assertTrue(wait_until(lambda: second.leads))
        self.assertGreater(second.epochs[0], first.epochs[0])

    def wait_until_followed(self, follower: Candidate) -> None:
        """Wait until a follower receives heartbeats, and no longer waits for renewals."""
        self.assertTrue(wait_until(lambda: follower.election.leader_is_alive))
        end = self.store.part("keyed.leaders").end
        self.assertTrue(wait_until(lambda: self.store.part("keyed.leaders").end > end + 3))

    def kill(self, candidate: Candidate) -> None:
        """Stop a candidate and close its port, as if its process had ended."""
        self.candidates.remove(candidate)
        candidate.election.stop()
        candidate.port.close()

    def test_leader_with_closed_port_is_replaced_without_store_watch(self) -> None:
        """A follower claims at once if the leader's port refuses connections."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        self.wait_until_followed(second)
        with mock.patch.object(leader_watch_module, "_RENEWAL_WAIT_SECONDS", 60.0):
            self.kill(first)
            self.assertTrue(wait_until(lambda: second.leads))

    def test_restarted_leader_claims_without_store_watch(self) -> None:
        """A node claims at once if the leader on record is its own earlier process."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        first.election.stop()
        self.candidates.remove(first)
        self.addCleanup(first.port.close)
        with mock.patch.object(leader_watch_module, "_RENEWAL_WAIT_SECONDS", 60.0):
            restarted = self.add_candidate("first", incarnation="first-2")
            self.assertTrue(wait_until(lambda: restarted.leads))
        self.assertGreater(restarted.epochs[0], first.epochs[0])

    def test_leader_rejected_by_store_is_replaced(self) -> None:
        """A follower that reaches the store claims at once if the leader reports rejections."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        self.wait_until_followed(second)
        # On a busy machine, neither late heartbeats nor slow refusals are to hide the rejections.
        with (
            mock.patch.object(leader_watch_module, "_RENEWAL_WAIT_SECONDS", 60.0),
            mock.patch.object(leader_liveness_module, "_SILENCE_HEARTBEATS", 300.0),
            mock.patch.object(leader_liveness_module, "_MAX_RENEWAL_AGE_SECONDS", 60.0),
            mock.patch.object(renewals_module, "_REJECTION_SECONDS", 1.0),
        ):
            first.election._log._store.set_address("127.0.0.1:1")
            self.assertTrue(wait_until(lambda: second.leads))

    def test_replaced_leader_without_store_follows_heartbeats(self) -> None:
        """A leader that cannot read the store steps down on the new leader's heartbeat."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        self.wait_until_followed(second)
        first.reaches_store = False
        first.election._log._store.set_address("127.0.0.1:1")
        self.assertTrue(wait_until(lambda: second.leads))
        self.assertTrue(wait_until(lambda: first.election.leader.node == "second"))
        self.assertFalse(first.leads)
        self.assertTrue(first.election.leader_is_alive)

    def test_deposed_leader_is_followed_until_its_heartbeats_are_late(self) -> None:
        """A follower watches the store once the leader has replied that it does not lead."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        self.wait_until_followed(second)
        self.heartbeats_enabled = False
        time.sleep(0.1)
        second.election.handle_heartbeat(first.election.make_heartbeat("second", 60.0, None))
        self.assertTrue(second.election.leader_is_heard)
        second.election.handle_referral("other", "", "", 0)
        second.election.handle_referral("first", "first", "127.0.0.1:1", first.epochs[0])
        self.assertTrue(second.election.leader_is_heard)
        second.election.handle_referral("first", "", "", 0)
        self.assertFalse(second.election.leader_is_heard)
        with mock.patch.object(first.election, "_renew", return_value=0.1):
            self.assertTrue(wait_until(lambda: second.leads))

    def test_silent_leader_is_named_until_a_lookup(self) -> None:
        """A follower asks its leader once neither the store nor heartbeats tell who leads."""
        self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        self.wait_until_followed(second)
        second.election._log._store.set_address("127.0.0.1:1")
        time.sleep(1.0)
        self.assertFalse(second.silent_leader_asked.is_set(), "the leader is heard")
        self.heartbeats_enabled = False
        self.assertTrue(second.silent_leader_asked.wait(5.0))

    def test_referral_names_the_next_leader(self) -> None:
        """A follower without the store follows a newer leader that the deposed one names."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        self.wait_until_followed(second)
        self.heartbeats_enabled = False
        epoch = first.epochs[0]
        second.election.handle_referral("first", "third", "127.0.0.1:3", epoch + 1)
        self.assertEqual(second.election.leader.node, "first", "the store tells who leads")
        second.reaches_store = False
        second.election._log._store.set_address("127.0.0.1:1")
        second.election.handle_referral("first", "third", "127.0.0.1:3", epoch)
        self.assertEqual(second.election.leader.node, "first", "an older leader")
        second.election.handle_referral("first", "third", "127.0.0.1:3", epoch + 1)
        self.assertEqual(second.election.leader.node, "third")
        self.assertEqual(second.election.referred_leader.epoch, epoch + 1)

    def test_follower_without_store_does_not_claim(self) -> None:
        """A follower that cannot reach the store does not claim if the store rejects the leader."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        second.reaches_store = False
        self.wait_until_followed(second)
        with mock.patch.object(leader_watch_module, "_RENEWAL_WAIT_SECONDS", 60.0):
            first.election._log._store.set_address("127.0.0.1:1")
            self.assertTrue(wait_until(lambda: first.election.renewed_s > 1.5))
            self.assertEqual(second.epochs, [])

    def test_resigned_leader_is_replaced_and_does_not_claim_again(self) -> None:
        """Another node leads after a planned stop of the leader."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        first.election.resign()
        self.assertTrue(wait_until(lambda: second.leads))
        self.assertFalse(first.leads)

    def test_resignation_during_a_renewal_is_recorded(self) -> None:
        """A resignation waits for the answer to a renewal instead of conflicting with it."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        store = first.election._log._store
        append = store.append
        applied, answered = threading.Event(), threading.Event()

        def append_slowly(*arguments, **options) -> int:
            offset = append(*arguments, **options)
            applied.set()
            answered.wait(5.0)
            return offset

        with mock.patch.object(store, "append", append_slowly):
            self.assertTrue(applied.wait(5.0))
            resigning = threading.Thread(target=first.election.resign)
            resigning.start()
            self.assertTrue(wait_until(lambda: not first.leads))
            answered.set()
            resigning.join()
        (record,) = LeaderLog(store).read_newest(1.0)
        self.assertTrue(record.resigned)

    def test_follower_without_heartbeats_sees_renewals_in_store(self) -> None:
        """A follower without heartbeats does not claim while renewals arrive in the store."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        self.heartbeats_enabled = False
        end = self.store.part("keyed.leaders").end
        self.assertTrue(wait_until(lambda: self.store.part("keyed.leaders").end > end + 6))
        self.assertTrue(first.leads)
        self.assertEqual(second.epochs, [])

    def test_lost_store_answers_elect_no_second_leader(self) -> None:
        """Claims and renewals whose answers are lost lead to no second leader."""
        self.store.lose = True
        first, second = self.add_candidate("first"), self.add_candidate("second")
        self.assertTrue(wait_until(lambda: self.store.part("keyed.leaders").end > 0))
        self.store.lose = False
        leader = self.wait_for_leader()
        other = second if leader is first else first
        self.assertEqual(other.epochs, [])
        self.store.lose = True
        end = self.store.part("keyed.leaders").end
        self.assertTrue(wait_until(lambda: self.store.part("keyed.leaders").end > end))
        self.store.lose = False
        self.assertTrue(wait_until(lambda: leader.election.renewed_s < 0.5))
        self.assertTrue(leader.leads)

    def test_leader_is_kept_during_store_outage(self) -> None:
        """The leader remains the leader through a store outage."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        self.wait_until_followed(second)
        self.assertTrue(wait_until(lambda: self.read_record().roster > 0))
        self.store.refuse = True
        self.assertTrue(wait_until(lambda: first.election.renewed_s > 2.0))
        self.assertTrue(first.leads)
        self.assertEqual(second.epochs, [])
        self.assertTrue(first.election.has_authority)
        self.store.refuse = False
        self.assertTrue(wait_until(lambda: first.election.renewed_s < 0.5))
        self.assertTrue(first.leads)

    def test_consecutive_short_terms_are_counted(self) -> None:
        """Each short term is counted on record, and extends the timeout for the next leader."""
        for name in ("first", "second", "third", "fourth"):
            self.add_candidate(name)
        # A candidate that starts after the first claim has not seen that term's start.
        self.silence_leader(self.wait_for_leader())
        counts = []
        for _ in range(2):
            leader = self.wait_for_leader()
            counts.append(leader.election.leader.turnover)
            self.silence_leader(leader)
        counts.append(self.wait_for_leader().election.leader.turnover)
        self.assertEqual(counts, [counts[0], counts[0] + 1, counts[0] + 2])
        fifth = self.add_candidate("fifth").election
        self.assertTrue(wait_until(lambda: fifth.leader is not None))
        self.assertEqual(fifth._known_leader.timeout_factor, 2.0 ** counts[-1])

    def silence_leader(self, candidate: Candidate) -> None:
        """Stop a leader once the others follow it, but keep its port open."""
        for other in self.candidates:
            if other is not candidate:
                self.assertTrue(wait_until(lambda other=other: other.election.leader_is_alive))
        candidate.election.stop()
        self.candidates.remove(candidate)

    def test_leader_renews_under_cpu_load(self) -> None:
        """A leader renews in time while other threads keep the interpreter busy."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        self.wait_until_followed(second)
        end = time.monotonic() + 3.0

        def keep_busy() -> None:
            while time.monotonic() < end:
                sum(range(1000))

        threads = [threading.Thread(target=keep_busy) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertTrue(first.leads)
        self.assertEqual(second.epochs, [])

    def read_record(self) -> LeaderRecord:
        """Read the newest record of the leader from the store."""
        (record,) = LeaderLog(StoreClient(self.store.address, 1)).read_newest(2.0)
        return record

    def start_outage(self, *followers: str) -> tuple[Candidate, list[Candidate]]:
        """Elect a leader that states a roster, and have the store refuse all calls."""
        leader = self.add_candidate("first")
        self.wait_for_leader()
        candidates = [self.add_candidate(name) for name in followers]
        for candidate in candidates:
            self.wait_until_followed(candidate)
        self.assertTrue(wait_until(lambda: self.read_record().roster > 0))
        self.assertTrue(leader.election.has_authority)
        self.store.refuse = True
        return leader, candidates

    def test_leader_without_store_and_peers_loses_its_authority(self) -> None:
        """A leader without contact to the store and to a former peer may not order."""
        leader, _ = self.start_outage("second")
        self.heartbeats_enabled = False
        self.assertTrue(wait_until(lambda: not leader.election.has_authority))
        self.assertLess(leader.election.renewed_s, OUTAGE_AUTHORITY_SECONDS)

    def test_peer_cut_off_with_the_leader_keeps_it_ordering(self) -> None:
        """A leader without the store stops although one of its two peers is heard."""
        leader, (_, outside) = self.start_outage("neighbour", "outside")
        self.candidates.remove(outside)
        self.assertTrue(wait_until(lambda: not leader.election.has_authority))
        self.assertLess(leader.election.renewed_s, OUTAGE_AUTHORITY_SECONDS)

    def test_peer_with_an_unanswered_claim_keeps_the_leader_ordering(self) -> None:
        """Heartbeats of a peer whose claim may be on record prove nothing."""
        leader, (second,) = self.start_outage("second")
        second.election._place.begin_claim(None, "second")
        self.assertTrue(wait_until(lambda: not leader.election.has_authority))
        self.assertLess(leader.election.renewed_s, OUTAGE_AUTHORITY_SECONDS)

    def test_leader_with_a_later_epoch_known_to_a_peer_goes_on_ordering(self) -> None:
        """A heartbeat that knows of a later epoch ends the authority at once."""
        leader, (second,) = self.start_outage("second")
        second.election._newest_epoch = leader.election.own_epoch + 1
        self.assertTrue(wait_until(lambda: not leader.election.has_authority, 1.0))

    def test_own_record_is_read_after_stepping_down(self) -> None:
        """A leader that failed does not lead again in the epoch of its newest record."""
        leader = self.add_candidate("first")
        self.wait_for_leader()
        self.assertTrue(wait_until(lambda: self.read_record().roster > 0))
        leader.election.step_down("the leader failed")
        self.assertTrue(wait_until(lambda: len(leader.epochs) == 2))
        self.assertGreater(leader.epochs[1], leader.epochs[0])

    def test_leader_of_an_older_release_is_waited_for_by_the_longest_bound(self) -> None:
        """A record without a roster stands for the longest bound, with successors too."""
        old = msgspec.msgpack.encode(["old", "old-1", "127.0.0.1:1", 1, False, "", 0])
        self.store.put_raw(LEADERS_TOPIC, LEADER_KEY, old)
        candidate = self.add_candidate("new")
        self.assertTrue(wait_until(lambda: candidate.leads))
        waits_s = candidate.election.earlier_authority_until - steady_seconds()
        self.assertGreater(waits_s, OUTAGE_AUTHORITY_SECONDS / 2)
        record = self.read_record()
        self.assertEqual(record.node, "new")
        waits_s = [leader.authority_s for leader in record.earlier if leader.node == "old"]
        self.assertGreater(max(waits_s), OUTAGE_AUTHORITY_SECONDS / 2)
        self.assertGreaterEqual(record.authority_s, max(waits_s))

    def test_node_unknown_to_the_leader_claims_before_one_that_it_counts(self) -> None:
        """Of two nodes, the one claims whose wait for the silent leader is shorter."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        member = self.add_candidate("member", 0.2)
        self.wait_until_followed(member)
        other = self.add_candidate("other")
        self.assertTrue(wait_until(lambda: self.read_record().roster > 0))
        self.assertTrue(wait_until(lambda: other.election.leader is not None))
        other.election._place.begin_statement(steady_seconds() + 60.0, reaches_store=False)
        first.election.stop()
        self.candidates.remove(first)
        self.assertTrue(wait_until(lambda: member.leads))
        self.assertEqual(other.epochs, [])

    def test_leader_whose_record_cannot_be_read_is_waited_for_too_briefly(self) -> None:
        """A claim over a record that cannot be decoded has the longest bound."""
        self.store.put_raw(LEADERS_TOPIC, LEADER_KEY, b"odd")
        candidate = self.add_candidate("new")
        self.assertTrue(wait_until(lambda: candidate.leads))
        waits_s = candidate.election.earlier_authority_until - steady_seconds()
        self.assertGreater(waits_s, OUTAGE_AUTHORITY_SECONDS / 2)

    def test_leader_that_claims_again_forgets_the_wait_for_its_predecessors(self) -> None:
        """A leader whose named successor does not claim passes on what is left of its own wait."""
        old = msgspec.msgpack.encode(["old", "old-1", "127.0.0.1:1", 1, False, "", 0])
        self.store.put_raw(LEADERS_TOPIC, LEADER_KEY, old)
        weak = self.add_candidate("weak", 0.4)
        self.assertIs(self.wait_for_leader(), weak)
        until = weak.election.earlier_authority_until
        strong = self.add_candidate("strong")
        strong.election._claim = lambda: time.sleep(5.0)
        self.assertTrue(wait_until(lambda: len(weak.epochs) == 2, 15.0))
        self.assertGreaterEqual(weak.election.earlier_authority_until, until)


if __name__ == "__main__":
    unittest.main()
