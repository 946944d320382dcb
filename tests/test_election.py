"""Tests of the election, against a stand-in of the store."""

import socket
import threading
import time
import unittest
from unittest import mock

from snowdock.entry import leader_watch as leader_watch_module
from snowdock.entry.election import Election
from snowdock.entry.leader_record import NodeIdentity
from snowdock.entry.messages import Heartbeat
from snowdock.platform.store import StoreClient
from tests.standins.entry_cluster import wait_until
from tests.standins.platform import StoreStandin


class Candidate:
    """One node's election, and what it was told."""

    def __init__(
        self, store: StoreStandin, name: str, claim_delay_s: float = 0.0, incarnation: str = ""
    ) -> None:
        self.epochs: list[int] = []
        self.deposed = threading.Event()
        self.reaches_store = True
        # Stands for the port where a node's process listens for its peers.
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
        """Stand for the peers' connections."""
        while not self.stopped.wait(0.05):
            if not self.heartbeats_enabled:
                continue
            candidates = list(self.candidates)
            beats = [(c, c.election.make_heartbeat(0.2, None)) for c in candidates]
            for sender, beat in beats:
                for other in candidates:
                    if other is not sender:
                        other.election.handle_heartbeat(beat)

    def add_candidate(self, name: str, delay_s: float = 0.0, incarnation: str = "") -> Candidate:
        candidate = Candidate(self.store, name, delay_s, incarnation)
        self.candidates.append(candidate)
        return candidate

    def wait_for_leader(self) -> Candidate:
        found: list[Candidate] = []

        def one_leads() -> bool:
            found[:] = [c for c in self.candidates if c.leads]
            return len(found) == 1

        self.assertTrue(wait_until(one_leads))
        return found[0]

    def test_exactly_one_of_many_candidates_wins(self) -> None:
        """Of nodes that start together exactly one leads, and stays."""
        for number in range(6):
            self.add_candidate(f"n{number}")
        leader = self.wait_for_leader()
        self.assertTrue(wait_until(lambda: self.store.part("keyed.leaders").end > 6))
        self.assertEqual([c for c in self.candidates if c.epochs], [leader])

    def test_weak_node_defers_to_strong_node(self) -> None:
        """A node with a delay claims only where nobody else does."""
        self.add_candidate("weak", 0.4)
        strong = self.add_candidate("strong")
        self.assertIs(self.wait_for_leader(), strong)

    def test_weak_leader_transfers_leadership_to_strong_node(self) -> None:
        """A weak node that leads gives the leadership to a strong one that has come back."""
        weak = self.add_candidate("weak", 0.4)
        self.assertIs(self.wait_for_leader(), weak)
        other = self.add_candidate("other-weak", 0.36)
        strong = self.add_candidate("strong")
        self.assertTrue(wait_until(lambda: strong.leads, 10.0))
        self.assertTrue(weak.deposed.is_set())
        self.assertEqual((len(weak.epochs), other.epochs), (1, []))
        self.assertGreater(strong.epochs[0], weak.epochs[0])

    def test_silent_leader_is_replaced_with_a_higher_epoch(self) -> None:
        """A leader that stops renewing loses its leadership to another one."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        first.election.stop()
        self.candidates.remove(first)
        self.assertTrue(wait_until(lambda: second.leads))
        self.assertGreater(second.epochs[0], first.epochs[0])

    def wait_until_followed(self, follower: Candidate) -> None:
        """Wait until a follower hears the leader, and watches the store no more."""
        self.assertTrue(wait_until(lambda: follower.election.leader_is_alive))
        end = self.store.part("keyed.leaders").end
        self.assertTrue(wait_until(lambda: self.store.part("keyed.leaders").end > end + 3))

    def kill(self, candidate: Candidate) -> None:
        """End a node's process: it says nothing more, and its port is closed."""
        self.candidates.remove(candidate)
        candidate.election.stop()
        candidate.port.close()

    def test_leader_with_closed_port_is_replaced_without_store_watch(self) -> None:
        """Where nobody listens at the leader's address any more, a follower claims at once."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        self.wait_until_followed(second)
        with mock.patch.object(leader_watch_module, "_PROBE_SECONDS", 60.0):
            self.kill(first)
            self.assertTrue(wait_until(lambda: second.leads))

    def test_restarted_leader_claims_without_store_watch(self) -> None:
        """A node that finds an earlier process of its own on record claims at once."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        first.election.stop()
        self.candidates.remove(first)
        self.addCleanup(first.port.close)
        with mock.patch.object(leader_watch_module, "_PROBE_SECONDS", 60.0):
            again = self.add_candidate("first", incarnation="first-2")
            self.assertTrue(wait_until(lambda: again.leads))
        self.assertGreater(again.epochs[0], first.epochs[0])

    def test_leader_rejected_by_store_is_replaced(self) -> None:
        """It tells so itself, and a follower that reaches the store claims at once."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        self.wait_until_followed(second)
        with mock.patch.object(leader_watch_module, "_PROBE_SECONDS", 60.0):
            first.election._log._store.move("127.0.0.1:1")
            self.assertTrue(wait_until(lambda: second.leads))

    def test_replaced_leader_without_store_follows_heartbeats(self) -> None:
        """It cannot read who leads now; heartbeats tell, and it leads no more."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        self.wait_until_followed(second)
        first.reaches_store = False
        first.election._log._store.move("127.0.0.1:1")
        self.assertTrue(wait_until(lambda: second.leads))
        self.assertTrue(wait_until(lambda: first.election.leader.node == "second"))
        self.assertFalse(first.leads)
        self.assertTrue(first.election.leader_is_alive)

    def test_follower_without_store_does_not_claim(self) -> None:
        """While no follower reaches the store either, nobody claims."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        second.reaches_store = False
        self.wait_until_followed(second)
        with mock.patch.object(leader_watch_module, "_PROBE_SECONDS", 60.0):
            first.election._log._store.move("127.0.0.1:1")
            self.assertTrue(wait_until(lambda: first.election.renewed_s > 1.5))
            self.assertEqual(second.epochs, [])

    def test_resigned_leader_is_replaced_and_does_not_claim_again(self) -> None:
        """A planned stop hands the leadership over."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        first.election.resign()
        self.assertTrue(wait_until(lambda: second.leads))
        self.assertFalse(first.leads)

    def test_follower_without_heartbeats_sees_renewals_in_store(self) -> None:
        """A follower that hears nothing sees the renewals in the store, and does not claim."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        self.heartbeats_enabled = False
        end = self.store.part("keyed.leaders").end
        self.assertTrue(wait_until(lambda: self.store.part("keyed.leaders").end > end + 6))
        self.assertTrue(first.leads)
        self.assertEqual(second.epochs, [])

    def test_lost_store_answers_elect_no_second_leader(self) -> None:
        """Claims and renewals that are done and not answered bring no second leader."""
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
        """Without the store there is no claim; its leader goes on afterwards."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        self.store.refuse = True
        self.assertTrue(wait_until(lambda: first.election.renewed_s > 2.0))
        self.assertTrue(first.leads)
        self.assertEqual(second.epochs, [])
        self.assertFalse(first.election.is_isolated)
        self.store.refuse = False
        self.assertTrue(wait_until(lambda: first.election.renewed_s < 0.5))
        self.assertTrue(first.leads)

    def test_consecutive_short_terms_are_counted(self) -> None:
        """A leader that goes silent soon after its claim leaves its successor more time."""
        for name in ("first", "second", "third"):
            self.add_candidate(name)
        self.silence_leader(self.wait_for_leader())
        self.silence_leader(self.wait_for_leader())
        last = self.wait_for_leader()
        self.assertEqual(last.election.leader.turnover, 2)
        fourth = self.add_candidate("fourth").election
        self.assertTrue(wait_until(lambda: fourth.leader is not None))
        self.assertEqual(fourth._known.timeout_factor, 4.0)

    def silence_leader(self, candidate: Candidate) -> None:
        """Have a node say nothing more, though its process is there, once the others follow it."""
        for other in self.candidates:
            if other is not candidate:
                self.assertTrue(wait_until(lambda other=other: other.election.leader_is_alive))
        candidate.election.stop()
        self.candidates.remove(candidate)

    def test_leader_renews_under_cpu_load(self) -> None:
        """Threads that keep the interpreter busy for seconds do not cost it the lead."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        second = self.add_candidate("second")
        self.wait_until_followed(second)
        end = time.monotonic() + 3.0

        def burn() -> None:
            while time.monotonic() < end:
                sum(range(1000))

        busy = [threading.Thread(target=burn) for _ in range(4)]
        for each in busy:
            each.start()
        for each in busy:
            each.join()
        self.assertTrue(first.leads)
        self.assertEqual(second.epochs, [])

    def test_leader_without_store_and_peers_is_isolated(self) -> None:
        """It has had peers and hears of nobody: it may have been replaced."""
        first = self.add_candidate("first")
        self.wait_for_leader()
        first.election.handle_heartbeat(Heartbeat("peer", "127.0.0.1:2", 0, 0.0))
        self.store.refuse = True
        self.assertTrue(wait_until(lambda: first.election.is_isolated))


if __name__ == "__main__":
    unittest.main()
