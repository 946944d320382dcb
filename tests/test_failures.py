"""Fault injection over real processes, checked against the ledgers of the stand-ins.

Each test checks that work finishes after the fault and that no invariant was violated.
"""

import concurrent.futures
import signal
import time
import unittest

import msgspec

from snowdock.request_ids import new_request_id
from tests.standins.cluster import Cluster, wait_for
from tests.standins.ledger_checks import check_ledgers

LEASE_MS = 1500
DECLARATIONS = f"""
[limits]
lease_ms = {LEASE_MS}
clock_margin_ms = 200
[team t]
cpu = 200
memory_gb = 800
[endpoint settlement]
minions = settlement
deadline_ms = 3000
"""
BATCH = """
[batch {name}]
team = t
tasks = {tasks}
cpu = 2
memory_gb = 2
run_seconds = {seconds}
"""
LONGER_THAN_LEASE_SECONDS = LEASE_MS / 1000 * 2.5


class FailureCase(unittest.TestCase):
    """Base of the tests: starts a cluster for each test."""

    NODES = 3
    OPTIONS: dict = {}  # noqa: RUF012

    def setUp(self) -> None:
        self.cluster = Cluster(workers=4, minions=3, rack=2, **self.OPTIONS)
        self.addCleanup(self.cluster.close)
        self.cluster.start_nodes(self.NODES)
        answer = self.cluster.apply("node-0", {"c.ini": DECLARATIONS})
        self.assertEqual(answer.status, 200, answer.data)
        self.cluster.wait_version(msgspec.json.decode(answer.data)["version"])
        wait_for(self.slots_divided, "all slots of the minions are assigned to nodes")

    def slots_divided(self) -> bool:
        return all(
            sum(minion["shares"].values()) == 8
            for node in self.cluster.nodes
            for minion in self.cluster.get(node, "/v1/minions")
        )

    def submit(self, node: str, name: str, tasks: int, seconds: float) -> int:
        text = BATCH.format(name=name, tasks=tasks, seconds=seconds)
        return self.cluster.submit(node, text, name)[0]

    def wait_running(self, node: str, work: int, count: int) -> dict:
        def running() -> dict | None:
            report = self.cluster.get(node, f"/v1/work/{work}")
            return report if report["counts"].get("running") == count else None

        return wait_for(running, f"{count} tasks of {work} run")

    def wait_leaving(self, kind: str, name: str) -> None:
        wait_for(
            lambda: all(
                vm["state"] == "leaving"
                for node in self.cluster.nodes
                for vm in self.cluster.get(node, f"/v1/{kind}")
                if vm["name"] == name
            ),
            f"all nodes see that {name} is leaving",
        )

    def assert_succeeds(self, node: str, work: int) -> None:
        self.assertEqual(self.cluster.wait_work(node, work)["state"], "succeeded")

    def assert_invariants(self, once: frozenset[str] = frozenset()) -> None:
        self.assertEqual(check_ledgers(self.cluster, once=once), [])

    def events(self, kind: str) -> list[dict]:
        return [e for e in self.cluster.ledger(self.cluster.workers) if e["event"] == kind]


class TestNodes(FailureCase):
    def test_simultaneous_node_and_worker_loss(self) -> None:
        """Work finishes after a node and a worker are lost at the same time."""
        work = self.submit("node-1", "w", 12, 2)
        report = self.wait_running("node-1", work, 12)
        self.cluster.kill_node("node-0", vm_gone=True)
        lost = report["tasks"][0]["worker"]
        self.cluster.set_faults(self.cluster.workers, {"*": {"refuse": True, "path": f"/{lost}/"}})
        self.cluster.remove_vms([lost])
        self.assert_succeeds("node-1", work)
        self.assert_invariants()

    def test_resumed_node_renews_no_expired_lease(self) -> None:
        """A node that resumes after its leases have expired does not renew them."""
        work = self.submit("node-1", "w", 8, 4)
        report = self.wait_running("node-1", work, 8)
        self.cluster.nodes["node-0"].signal(signal.SIGSTOP)
        # The list is wrong: the worker is still running its leased tasks.
        self.cluster.remove_vms([report["tasks"][0]["worker"]])
        time.sleep(LONGER_THAN_LEASE_SECONDS)
        self.cluster.nodes["node-0"].signal(signal.SIGCONT)
        self.assert_succeeds("node-1", work)
        self.cluster.wait_ready("node-0")
        self.assert_invariants()

    def test_superseded_process_exits(self) -> None:
        """A process that resumes after another one has joined as the same node exits."""
        old = self.cluster.nodes["node-0"]
        old.signal(signal.SIGSTOP)
        self.addCleanup(old.kill)
        del self.cluster.addresses["node-0"], self.cluster.peers["node-0"]
        self.cluster.start_node("node-0")
        self.cluster.wait_ready("node-0")
        old.signal(signal.SIGCONT)
        self.assertEqual(old.wait(), 1)
        self.assert_succeeds("node-1", self.submit("node-0", "w", 4, 0.2))
        self.assert_invariants()

    def test_planned_stop_completes_requests(self) -> None:
        """A node that is stopped completes the requests in flight and exits with status 0."""
        with concurrent.futures.ThreadPoolExecutor(4) as callers:
            slow = [
                callers.submit(self.cluster.call, "node-0", b"slow", **{"x-work-ms": "1200"})
                for _ in range(4)
            ]
            wait_for(
                lambda: (
                    len(
                        [
                            e
                            for e in self.cluster.ledger(self.cluster.minions)
                            if e["event"] == "ran"
                        ]
                    )
                    == 4
                ),
                "the requests are in flight",
            )
            self.cluster.nodes["node-0"].signal(signal.SIGTERM)
            answers = [future.result() for future in slow]
        for answer in answers:
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.data.endswith(b"slow"))
        self.assertEqual(self.cluster.nodes["node-0"].wait(), 0)
        wait_for(lambda: len(self.cluster.get("node-1", "/v1/nodes")) == 2, "it has left")
        self.assert_invariants()

    def test_planned_stop_completes_forwarded_requests(self) -> None:
        """A node that is stopped also completes forwarded requests, so that none runs twice."""

        def ran() -> list[dict]:
            return [e for e in self.cluster.ledger(self.cluster.minions) if e["event"] == "ran"]

        calls: list[concurrent.futures.Future] = []

        def node_1_runs_some() -> bool:
            # The node may have run all of them itself, or have forwarded all of them to node-2.
            if all(call.done() for call in calls):
                calls.extend(
                    callers.submit(self.cluster.call, "node-0", b"x", **{"x-work-ms": "1000"})
                    for _ in range(20)
                )
            return any(event["agent"] == "node-1" for event in ran())

        with concurrent.futures.ThreadPoolExecutor(20) as callers:
            wait_for(node_1_runs_some, "node-1 runs some")
            self.cluster.nodes["node-1"].signal(signal.SIGTERM)
            statuses = {call.result().status for call in calls}
        self.assertEqual(statuses, {200})
        self.assertEqual(len(ran()), len(calls))
        self.assertEqual(self.cluster.nodes["node-1"].wait(), 0)

    def test_session_survives_loss_of_its_node(self) -> None:
        """After its node is killed, a session continues at the same minion through other nodes."""
        answer = self.cluster.call("node-0", b"first")
        minion = answer.headers["Snowdock-Session"]
        self.cluster.kill_node("node-0")
        for number in range(8):
            again = self.cluster.call(
                f"node-{1 + number % 2}", b"x", **{"snowdock-session": minion}
            )
            self.assertEqual(again.status, 200)
            self.assertEqual(again.headers["Snowdock-Session"], minion)
        lost = self.cluster.call("node-1", b"x", **{"snowdock-session": "minion-99"})
        self.assertEqual(lost.headers["Snowdock-Outcome"], "not-run")

    def test_slots_of_killed_node_are_reassigned(self) -> None:
        """The slots of a killed node are reassigned once they must be idle."""
        self.cluster.kill_node("node-0", vm_gone=True)

        def divided() -> bool:
            minions = self.cluster.get("node-1", "/v1/minions")
            return all(
                sum(m["shares"].values()) == 8 and "node-0" not in m["shares"] for m in minions
            )

        wait_for(divided, "all slots are assigned to two nodes")
        self.assert_invariants()


class TestLog(FailureCase):
    def test_work_survives_log_outage(self) -> None:
        """Running tasks survive a log outage that is longer than a lease."""
        work = self.submit("node-0", "w", 6, 3)
        self.wait_running("node-0", work, 6)
        self.cluster.set_faults(self.cluster.log, {"*": {"refuse": True}})
        text = BATCH.format(name="late", tasks=3, seconds=0.3)
        headers = {"Content-Type": "text/plain", "Snowdock-Key": "late"}

        def refused() -> bool:
            answer = self.cluster.request("node-1", "POST", "/v1/work", text.encode(), headers)
            return answer.status == 503 and int(answer.headers["Retry-After"]) >= 1

        wait_for(refused, "new work is refused with Retry-After")
        time.sleep(LONGER_THAN_LEASE_SECONDS)
        self.cluster.set_faults(self.cluster.log, {})
        self.assert_succeeds("node-1", work)
        self.assertEqual(self.events("lapsed"), [])
        late = self.submit_until_accepted("node-1", "late")
        self.assert_succeeds("node-0", late)
        self.assert_invariants()

    def test_requests_during_log_outage(self) -> None:
        """During a log outage, repeatable requests run and not-repeatable ones are not sent."""
        self.cluster.set_faults(self.cluster.log, {"*": {"refuse": True}})
        request_id = new_request_id()
        once = {"snowdock-request-id": request_id, "snowdock-repeatable": "no"}
        self.assertEqual(self.cluster.call("node-0", b"a").status, 200)
        answer = self.cluster.call("node-0", b"pay", **once, **{"snowdock-deadline-ms": "900"})
        self.assertEqual(answer.headers["Snowdock-Outcome"], "unknown")
        self.assertIn("Retry-After", answer.headers)
        ran = [e["request"] for e in self.cluster.ledger(self.cluster.minions)]
        self.assertNotIn(request_id, ran)
        self.assert_invariants(frozenset([request_id]))

    def test_node_starts_during_log_outage(self) -> None:
        """A node that starts during a log outage loads the configuration from its peers."""
        version = self.cluster.get("node-1", "/v1/version")["version"]
        self.cluster.set_faults(self.cluster.log, {"*": {"refuse": True}})
        self.cluster.kill_node("node-0")
        self.cluster.start_node("node-0", seeds=["node-1", "node-2"])
        wait_for(
            lambda: self.cluster.get("node-0", "/v1/version").get("version") == version,
            "the new node shows the version in force",
        )
        self.cluster.set_faults(self.cluster.log, {})
        self.cluster.wait_ready("node-0")
        self.assert_succeeds("node-0", self.submit("node-0", "w", 2, 0.2))
        self.assert_invariants()

    def test_lost_append_responses(self) -> None:
        """Appends whose responses are lost take effect once."""
        self.cluster.set_faults(self.cluster.log, {"*": {"lose": True, "path": "/append"}})
        works = [self.submit_until_accepted(f"node-{n}", f"w{n}") for n in range(3)]
        self.cluster.set_faults(self.cluster.log, {})
        for work in works:
            self.assert_succeeds("node-1", work)
        self.assertEqual(len(self.cluster.get("node-0", "/v1/work")), 3)
        self.assertEqual(len(self.events("started")), 9)
        self.assert_invariants()

    def submit_until_accepted(self, node: str, name: str) -> int:
        """Submit a work repeatedly with the same key until it is accepted."""
        text = BATCH.format(name=name, tasks=3, seconds=0.3).encode()
        headers = {"Content-Type": "text/plain", "Snowdock-Key": name}
        accepted = wait_for(
            lambda: self.cluster.request(node, "POST", "/v1/work", text, headers),
            "the work is accepted",
            accept=lambda answer: answer.status == 201,
        )
        return msgspec.json.decode(accepted.data)[0]["work"]

    def test_node_isolated_from_log(self) -> None:
        """A node that alone cannot reach the log serves requests; the others place work."""
        self.cluster.set_faults(self.cluster.log, {"node-0": {"refuse": True}})
        work = self.submit("node-1", "w", 8, 0.5)
        self.assertEqual(self.cluster.call("node-0", b"a").status, 200)
        self.assert_succeeds("node-1", work)
        self.cluster.set_faults(self.cluster.log, {})
        self.cluster.wait_work("node-0", work)
        self.assert_invariants()


class TestRetention(FailureCase):
    OPTIONS = {"retention": 60, "timing": {"snapshot_entries": 15}}  # noqa: RUF012

    def test_new_node_starts_from_a_snapshot(self) -> None:
        """After the start of the log has expired, a new node loads a snapshot and the rest."""
        number = 0
        while self.cluster.get("node-0", "/v1/version")["log_end"] < 120:
            self.submit(f"node-{number % 3}", f"w{number}", 1, 0.05)
            number += 1
        self.cluster.start_node("node-3")
        self.cluster.wait_ready("node-3")
        seen = {w["work"] for w in self.cluster.get("node-3", "/v1/work")}
        self.assertEqual(seen, {w["work"] for w in self.cluster.get("node-0", "/v1/work")})
        self.assert_succeeds("node-3", self.submit("node-3", "last", 2, 0.1))
        self.assert_invariants()


class TestWorkers(FailureCase):
    def test_lost_start_responses(self) -> None:
        """Orders whose responses are lost start each attempt once."""
        self.cluster.set_faults(self.cluster.workers, {"*": {"lose": True, "path": "/sync"}})
        work = self.submit("node-0", "w", 6, 0.3)
        wait_for(lambda: len(self.events("started")) >= 6, "all started unseen")
        self.cluster.set_faults(self.cluster.workers, {})
        self.assert_succeeds("node-1", work)
        self.assert_invariants()

    def test_expired_orders_are_rejected(self) -> None:
        """Orders that arrive after their validity has expired start nothing."""
        self.cluster.set_faults(self.cluster.workers, {"*": {"slow_ms": 2500, "path": "/sync"}})
        work = self.submit("node-0", "w", 4, 0.3)
        time.sleep(4)
        self.assertEqual(self.events("started"), [])
        self.cluster.set_faults(self.cluster.workers, {})
        self.assert_succeeds("node-1", work)
        self.assert_invariants()

    def test_running_worker_missing_from_vm_list(self) -> None:
        """Tasks of a running worker that is delisted are placed only after their leases expire."""
        work = self.submit("node-0", "w", 8, 4)
        report = self.wait_running("node-0", work, 8)
        gone = report["tasks"][0]["worker"]
        self.cluster.remove_vms([gone])
        self.assert_succeeds("node-1", work)
        self.assertTrue([e for e in self.events("lapsed") if e["worker"] == gone])
        self.assert_invariants()

    def test_rebooted_worker(self) -> None:
        """Tasks of a restarted worker are rerun, and never run twice at the same time."""
        work = self.submit("node-0", "w", 8, 1.5)
        report = self.wait_running("node-0", work, 8)
        name = report["tasks"][0]["worker"]
        self.cluster.post(f"{self.cluster.workers}/{name}/reboot", {})
        self.assert_succeeds("node-1", work)
        self.assert_invariants()

    def test_leaving_worker_receives_no_new_tasks(self) -> None:
        """A leaving worker receives no new tasks, and its tasks are stopped and moved."""
        name = self.cluster.worker_names[0]
        first = self.submit("node-0", "w", 16, 1)
        self.wait_running("node-0", first, 16)
        self.cluster.set_vms([self.cluster.worker_vm(name, "leaving")])
        self.wait_leaving("workers", name)
        since = int(time.time() * 1000)
        works = [self.submit(f"node-{n}", f"x{n}", 8, 0.1) for n in range(3)]
        for work in [first, *works]:
            self.assert_succeeds("node-1", work)
        late = [e for e in self.events("started") if e["worker"] == name and e["at_ms"] > since]
        self.assertEqual(late, [])
        self.assertTrue([e for e in self.events("stopped") if e["worker"] == name])
        self.assert_invariants()

    def test_worker_that_fails_all_tasks_is_quarantined(self) -> None:
        """Work finishes although every task fails on one worker."""
        bad = self.cluster.worker_names[1]
        self.cluster.post(f"{self.cluster.workers}/{bad}/fail_all?on=1", {})
        work = self.submit("node-0", "w", 24, 0.2)
        self.assert_succeeds("node-1", work)
        self.assert_invariants()


class TestPreemption(FailureCase):
    def test_urgent_work_preempts_other_work(self) -> None:
        """On a full cluster, urgent work preempts other work, which is rerun."""
        low = self.submit("node-0", "low", 32, 6)
        self.wait_running("node-0", low, 32)
        text = BATCH.format(name="urgent", tasks=4, seconds=0.2)
        text += "priority = 90\nurgent = true\n"
        urgent = self.cluster.submit("node-1", text, "urgent")[0]
        self.assert_succeeds("node-2", urgent)
        report = self.cluster.get("node-0", f"/v1/work/{low}")
        self.assertEqual(report["finished_ms"], 0, "the urgent work did not go first")
        self.assertGreaterEqual(len(self.events("stopped")), 4)
        self.assert_succeeds("node-0", low)
        self.assert_invariants()


class TestMinions(FailureCase):
    def test_leaving_minion_receives_no_new_requests(self) -> None:
        """A leaving minion receives no new requests after all nodes have seen its state."""
        name = self.cluster.minion_names[0]
        self.cluster.set_vms([self.cluster.minion_vm(name, "leaving")])
        self.wait_leaving("minions", name)
        before = len(self._ran(name))
        for number in range(30):
            self.assertEqual(self.cluster.call(f"node-{number % 3}", b"x").status, 200)
        self.assertEqual(len(self._ran(name)), before)

    def _ran(self, name: str) -> list[dict]:
        ledger = self.cluster.ledger(self.cluster.minions)
        return [e for e in ledger if e["event"] == "ran" and e["minion"] == name]

    def test_overload_is_rejected_early_within_slot_limits(self) -> None:
        """Requests reported as not run were not run, and no minion exceeds its slots."""

        def call(number: int):
            headers = {"x-work-ms": "300", "snowdock-deadline-ms": "1000"}
            return self.cluster.call(f"node-{number % 3}", b"x", **headers)

        with concurrent.futures.ThreadPoolExecutor(96) as callers:
            answers = list(callers.map(call, range(200)))
        ran = {e["request"] for e in self.cluster.ledger(self.cluster.minions)}
        refused = [a for a in answers if a.headers["Snowdock-Outcome"] == "not-run"]
        self.assertTrue(refused)
        for answer in refused:
            self.assertIn("Retry-After", answer.headers)
            self.assertNotIn(answer.headers["Snowdock-Request-Id"], ran)
        self.assert_invariants()

    def test_idle_slots_of_peers_are_used(self) -> None:
        """A node with more requests than slots forwards some to peers, and all are answered."""
        headers = {"x-work-ms": "700"}
        with concurrent.futures.ThreadPoolExecutor(20) as callers:
            calls = [
                callers.submit(self.cluster.call, "node-0", b"x", **headers) for _ in range(20)
            ]
            statuses = {call.result().status for call in calls}
        self.assertEqual(statuses, {200})
        ran = [e for e in self.cluster.ledger(self.cluster.minions) if e["event"] == "ran"]
        self.assertEqual(len(ran), 20)
        self.assertGreater(len({e["agent"] for e in ran}), 1)
        self.assert_invariants()

    def test_wrong_and_late_responses_are_dropped(self) -> None:
        """A response to another request, or a late one, is not returned to a caller."""
        wrong = self.cluster.call("node-0", b"a", **{"x-behave": "wrong_id"})
        self.assertEqual(wrong.headers["Snowdock-Outcome"], "unknown")
        late = self.cluster.call(
            "node-0", b"b", **{"x-behave": "hang", "snowdock-deadline-ms": "300"}
        )
        self.assertEqual(late.headers["Snowdock-Outcome"], "unknown")
        for number in range(20):
            body = f"c{number}".encode()
            answer = self.cluster.call("node-0", body)
            self.assertTrue(answer.data.endswith(b": " + body))
        self.assert_invariants()

    def test_outcome_is_unknown_after_an_ambiguous_attempt(self) -> None:
        """A request that may have run at an attempt has the outcome unknown."""
        answer = self.cluster.call("node-0", b"a", **{"x-behave": "truncate"})
        self.assertEqual(answer.headers["Snowdock-Outcome"], "unknown")
