"""The whole path over real processes: declarations, work, requests, bad input."""

import unittest
import uuid

import msgspec

from snowdock.request_ids import new_request_id
from tests.standins.cluster import ROOT, Cluster, wait_for
from tests.standins.ledger_checks import check_ledgers

EXAMPLE = ROOT / "examples" / "merchant-settlement"
BATCH = "[batch {name}]\nteam = payouts\ntasks = {tasks}\ncpu = 1\nmemory_gb = 1\n"
BATCH += "run_seconds = 0.3\n"


class TestEndToEnd(unittest.TestCase):
    """One cluster of three nodes for all tests of the class."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = Cluster(workers=6, minions=4)
        cls.addClassCleanup(cls.cluster.close)
        cls.cluster.start_nodes(3)
        done = cls.cluster.run_cli("apply", str(EXAMPLE), "--wait")
        assert done.returncode == 0, done.stderr

    def test_work_of_each_kind_runs(self) -> None:
        """A batch, a gang and the declared service run, and any node tells their outcome."""
        text = (EXAMPLE / "work" / "payouts.ini").read_text()
        for number in self.cluster.submit("node-0", text, "kinds"):
            report = self.cluster.wait_work("node-2", number)
            self.assertEqual(report["state"], "succeeded")
        wait_for(
            lambda: any(
                w["kind"] == "service" and w["counts"] == {"running": 4}
                for w in self.cluster.get("node-1", "/v1/work")
            ),
            "the service runs",
        )
        self.assertEqual(check_ledgers(self.cluster), [])

    def test_accepted_work_is_visible_at_every_node(self) -> None:
        """Work accepted through one node is never unknown at another (found by a failed run)."""
        for number in range(30):
            text = BATCH.format(name="seen", tasks=1)
            work = self.cluster.submit("node-0", text, f"seen-{number}")[0]
            for node in ("node-1", "node-2"):
                self.assertEqual(self.cluster.request(node, "GET", f"/v1/work/{work}").status, 200)

    def test_waiting_time_is_reported_in_metrics(self) -> None:
        """After work has run, some node's metrics tell how long it waited."""
        work = self.cluster.submit("node-0", BATCH.format(name="seen", tasks=2), "metrics")[0]
        self.cluster.wait_work("node-0", work)
        pages = [self.cluster.request(f"node-{n}", "GET", "/metrics").data for n in range(3)]
        self.assertTrue(any(b'snowdock_waiting_seconds_count{kind="batch"}' in p for p in pages))

    def test_submission_key_is_idempotent(self) -> None:
        """A submission that is sent again under its key is not run a second time."""
        text = BATCH.format(name="twice", tasks=2)
        first = self.cluster.submit("node-0", text, "twice")
        self.assertEqual(self.cluster.submit("node-1", text, "twice"), first)

    def test_response_has_request_id_and_outcome(self) -> None:
        """A caller gets its own answer, with the request's id and its outcome."""
        request_id = new_request_id()
        answer = self.cluster.call("node-1", b"fee?", **{"snowdock-request-id": request_id})
        self.assertEqual(answer.data, f"answer to {request_id}: fee?".encode())
        self.assertEqual(answer.headers["Snowdock-Request-Id"], request_id)
        self.assertEqual(answer.headers["Snowdock-Outcome"], "ran")

    def test_not_repeatable_runs_once_across_nodes(self) -> None:
        """Asked again through another node, a not-repeatable request is answered, not run."""
        request_id = new_request_id()
        headers = {"snowdock-request-id": request_id, "snowdock-repeatable": "no"}
        answers = [self.cluster.call(f"node-{n}", b"pay", **headers).data for n in (0, 1, 2, 0)]
        self.assertEqual(set(answers), {f"answer to {request_id}: pay".encode()})
        problems = check_ledgers(self.cluster, once=frozenset([request_id]))
        self.assertEqual(problems, [])

    def test_ambiguous_not_repeatable_request_is_not_retried(self) -> None:
        """A truncated answer to a not-repeatable request is told as unknown, and ran once."""
        request_id = new_request_id()
        headers = {"snowdock-request-id": request_id, "snowdock-repeatable": "no"}
        answer = self.cluster.call("node-0", b"pay", **headers, **{"x-behave": "truncate"})
        self.assertEqual(answer.headers["Snowdock-Outcome"], "unknown")
        again = self.cluster.call("node-1", b"pay", **headers)
        self.assertEqual(again.headers["Snowdock-Outcome"], "unknown")
        ran = [e for e in self.cluster.ledger(self.cluster.minions) if e["event"] == "ran"]
        self.assertEqual(sum(e["request"] == request_id for e in ran), 1)

    def test_refused_request_has_retry_after(self) -> None:
        """Where no minion takes a request, the answer is not-run with Retry-After."""
        answer = self.cluster.call("node-0", b"x", **{"x-behave": "refuse"})
        self.assertEqual(answer.headers["Snowdock-Outcome"], "not-run")
        self.assertEqual(answer.status, 503)
        self.assertGreaterEqual(int(answer.headers["Retry-After"]), 1)

    def test_concurrent_configuration_changes_conflict(self) -> None:
        """Of two changes made from the same version one is taken and the other told so."""
        files = {"c.ini": (EXAMPLE / "cluster.ini").read_text()}
        base = self.cluster.get("node-0", "/v1/version")["version"]
        statuses = [self.cluster.apply(f"node-{n}", files, base).status for n in (0, 1)]
        self.assertEqual(statuses, [200, 409])

    def test_invalid_input_is_rejected_with_its_code(self) -> None:
        """Each kind of bad input gets its own code, and nothing of it is kept."""
        before = len(self.cluster.get("node-0", "/v1/work"))
        text = {"Content-Type": "text/plain", "Snowdock-Key": uuid.uuid4().hex}
        json = {"Content-Type": "application/json"}
        good = BATCH.format(name="good", tasks=1)
        cases = [
            ("POST", "/v1/work", b"", {}, 415, "unsupported_media_type"),
            ("POST", "/v1/work", good.encode(), {"Content-Type": "text/plain"}, 400, None),
            ("POST", "/v1/work", b"\xff\xfe", text, 400, "invalid_input"),
            ("POST", "/v1/work", b"[batch x]", text, 400, "invalid_declaration"),
            ("POST", "/v1/work", (good + "[batch y]\ncpu=1").encode(), text, 400, None),
            ("POST", "/v1/work", good.replace("cpu = 1", "cpu = 64").encode(), text, 422, None),
            ("POST", "/v1/work", b"x" * 5_000_000, text, 413, None),
            ("POST", "/v1/configuration", b"{", json, 400, "invalid_input"),
            ("POST", "/v1/configuration", b'{"base":0,"files":{}}', json, 409, None),
            ("DELETE", "/v1/work", b"", {}, 405, "method_not_allowed"),
            ("GET", "/v1/work/99", b"", {}, 404, "not_found"),
            ("GET", "/nowhere", b"", {}, 404, "not_found"),
            ("POST", "/call/nowhere/", b"", {}, 404, "not_found"),
            ("POST", "/call/settlement/", b"", {"snowdock-repeatable": "no"}, 400, None),
            ("POST", "/call/settlement/", b"", {"snowdock-deadline-ms": "-4"}, 400, None),
        ]
        for method, path, body, headers, status, code in cases:
            with self.subTest(f"{method} {path} {body[:30]!r}"):
                answer = self.cluster.request("node-0", method, path, body, headers)
                self.assertEqual(answer.status, status, answer.data[:300])
                # The server's own refusal of a large body comes as plain text.
                if status != 413:
                    problem = msgspec.json.decode(answer.data)
                    self.assertTrue(problem["message"])
                    self.assertIn(problem["code"], [code or problem["code"]])
        self.assertEqual(len(self.cluster.get("node-0", "/v1/work")), before)

    def test_command_line_exit_statuses(self) -> None:
        """The command line ends with its documented status and without a traceback."""
        for arguments, status in (
            (("status", "12"), 3),
            (("status", "x"), 2),
            (("validate", "no-such-folder"), 2),
            (("apply", str(EXAMPLE), "--base", "1"), 3),
            (("status", "--nodes", "127.0.0.1:1"), 4),
            (("call", "settlement", "--data", "x"), 0),
        ):
            with self.subTest(arguments):
                done = self.cluster.run_cli(*arguments)
                self.assertEqual(done.returncode, status, done.stderr)
                self.assertNotIn("Traceback", done.stderr)
