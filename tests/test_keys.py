"""Tests of callers' keys: authentication, outdated configurations and ownership of jobs."""

import io
import math
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from snowdock.declarations import ZERO
from snowdock.entry.caller_api import CallerApi, CallerApiDependencies, JobGone
from snowdock.entry.configuration_watcher import ConfigurationWatcher
from snowdock.entry.messages import ConfigurationNotice, Heartbeat, RecordOutcome
from snowdock.entry.takeover import classify_records
from snowdock.jobs.events import ForgetAccepted, JobAccepted, JobCancelled
from snowdock.jobs.model import Configuration, JobStatus, Queue
from snowdock.jobs.progress import (
    AcceptedJob,
    JobProgress,
    cancel_key,
    decode_accepted,
    encode,
    parse_job_id,
    record_name,
)
from snowdock.jobs.takeover import RecordedJobs
from snowdock.node.metrics import Metrics
from snowdock.platform.configuration import decode_configuration
from snowdock.platform.store import KeyedRecord
from snowdock.teams import Team, TeamBook, digest_key
from tests.jobs_tools import Bench, filter_by_type, make_accepted_job
from tests.standins.entry_cluster import CONFIGURATION, EntryCluster, wait_until
from tests.standins.proxy import Mode, Proxy

JOB = "0123456789abcdef"
BODY = b'{"spec":"x","steps":[{"count":1,"cpu":1,"mem_mb":1}]}'
SMALL = {"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 100}
RECENT_AGE_S = 0.5
STALE_AGE_S = 30.0


def team(name: str, *keys: str) -> Team:
    return Team(name, 1.0, ZERO, frozenset(digest_key(key.encode()) for key in keys))


class CallerApiHarness:
    """The callers' API with dependencies that the test controls."""

    def __init__(self, age_s: float = RECENT_AGE_S, trust_s: float = math.inf) -> None:
        self.age_s = age_s
        self.recorded: list[KeyedRecord] = []
        self.status_queries: list[tuple[str, str]] = []
        queues = (Queue("q", "", "/q/", "pool"), Queue("p", "", "/p/", "pool", is_public=True))
        teams = TeamBook([team("a", "key-a", "other-a"), team("b", "key-b"), team("empty")])
        self.configuration = Configuration(4, queues, teams=teams)
        self.caller_api = CallerApi(
            CallerApiDependencies(
                self,
                lambda: self.configuration,
                lambda: self.age_s,
                trust_s,
                self.find_status,
                lambda queue, seconds: 7,
                lambda: False,
                lambda job, record, seconds: RecordOutcome.NOT_DONE,
                lambda record: None,
                Metrics(),
            )
        )

    is_slow = False

    def prefers_relay(self) -> bool:
        return False

    def record(self, job: str, record: KeyedRecord, seconds: float) -> RecordOutcome:
        self.recorded.append(record)
        return RecordOutcome.DONE

    def find_status(self, job: str, team: str, seconds: float) -> JobStatus:
        self.status_queries.append((job, team))
        raise JobGone("no such job")

    def call(self, method: str, path: str, key: str | None = None) -> tuple[int, bytes]:
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "CONTENT_TYPE": "application/json",
            "wsgi.input": io.BytesIO(BODY),
        }
        if key is not None:
            environ["HTTP_X_API_KEY"] = key
        statuses = []
        body = b"".join(self.caller_api(environ, lambda status, headers: statuses.append(status)))
        self.unread_body = environ["wsgi.input"].read()
        return int(statuses[0][:3]), body


class TestKeyDecisions(unittest.TestCase):
    """Tests of the answers by key, age of the configuration, and trust period."""

    def test_key_decisions(self) -> None:
        cases = [
            # key, age of the configuration in seconds, trust period in seconds, status
            ("key-a", RECENT_AGE_S, math.inf, 200),
            ("other-a", RECENT_AGE_S, math.inf, 200),
            ("key-a", STALE_AGE_S, math.inf, 200),
            ("key-a", STALE_AGE_S, 5.0, 503),
            ("key-a", RECENT_AGE_S, 5.0, 200),
            ("never", RECENT_AGE_S, math.inf, 401),
            ("never", STALE_AGE_S, math.inf, 503),
            ("", RECENT_AGE_S, math.inf, 401),
            (None, RECENT_AGE_S, math.inf, 401),
            (None, STALE_AGE_S, math.inf, 401),
            ("KEY-A", RECENT_AGE_S, math.inf, 401),
            ("key-a, key-a", RECENT_AGE_S, math.inf, 401),
            ("key-a ", RECENT_AGE_S, math.inf, 401),
            ("x" * 60_000, RECENT_AGE_S, math.inf, 401),
            ("k\xe9y", RECENT_AGE_S, math.inf, 401),
        ]
        for key, age_s, trust_s, status in cases:
            with self.subTest(key=key and key[:20], age_s=age_s, trust_s=trust_s):
                harness = CallerApiHarness(age_s, trust_s)
                self.assertEqual(harness.call("POST", f"/q/{JOB}", key)[0], status)
                self.assertEqual(len(harness.recorded), status == 200)
                if status != 200:
                    self.assertEqual(harness.unread_body, BODY)

    def test_every_call_needs_a_key(self) -> None:
        """Queries, cancellations, counts and unsupported methods require a key."""
        for method, path in (("GET", JOB), ("DELETE", JOB), ("GET", ""), ("PUT", JOB)):
            with self.subTest(method=method, path=path):
                self.assertEqual(CallerApiHarness().call(method, f"/q/{path}")[0], 401)

    def test_unknown_queue_is_reported_before_a_missing_key(self) -> None:
        """An unknown queue is reported as 404 even without a key."""
        self.assertEqual(CallerApiHarness().call("GET", "/nothing/")[0], 404)

    def test_public_queue(self) -> None:
        """A public queue needs no key, and its jobs belong to no team."""
        harness = CallerApiHarness()
        self.assertEqual(harness.call("POST", f"/p/{JOB}")[0], 200)
        self.assertEqual(harness.call("POST", f"/p/{JOB}", "key-a")[0], 200)
        self.assertEqual({decode_accepted(each.value).team for each in harness.recorded}, {""})

    def test_job_belongs_to_the_team_of_its_key(self) -> None:
        harness = CallerApiHarness()
        harness.call("POST", f"/q/{JOB}", "other-a")
        (record,) = harness.recorded
        self.assertEqual(record.key, record_name(JOB, "a"))
        self.assertEqual(decode_accepted(record.value).team, "a")
        harness.call("GET", f"/q/{JOB}", "key-b")
        self.assertEqual(harness.status_queries, [(JOB, "b")])

    @given(st.text(st.characters(max_codepoint=255), max_size=200))
    def test_arbitrary_text_is_not_a_key(self, key: str) -> None:
        """Arbitrary header values are rejected, and are not repeated in the answer."""
        harness = CallerApiHarness()
        status, body = harness.call("POST", f"/q/{JOB}", key)
        self.assertIn(status, (401,) if key not in ("key-a", "other-a", "key-b") else (200,))
        if len(key) > 8:
            self.assertNotIn(key.encode(), body)


class TestOwners(unittest.TestCase):
    def test_old_records_have_no_team(self) -> None:
        """Old records without a team field are decoded as jobs without a team."""
        new = make_accepted_job()
        old = encode(new)
        # Shorten the array by its last item, the team.
        self.assertEqual(old[0] & 0xF0, 0x90)
        shorter = bytes([old[0] - 1]) + old[1:-1]
        found = decode_accepted(shorter)
        self.assertEqual((found.team, found.spec), ("", new.spec))

    def test_names_of_records(self) -> None:
        self.assertEqual(record_name(JOB, ""), JOB)
        self.assertNotEqual(record_name(JOB, "a"), record_name(JOB, "b"))
        self.assertEqual(parse_job_id(record_name(JOB, "a")), JOB)

    def test_other_team_cannot_replace_or_cancel_a_job(self) -> None:
        """A submission or cancellation by another team with the same identifier is ignored."""
        bench = Bench()
        bench.add_worker()
        own_job = self.owned_job("a")
        bench.feed(JobAccepted(JOB, own_job))
        bench.feed(JobAccepted(JOB, self.owned_job("b")))
        (dropped,) = filter_by_type(bench.effects, ForgetAccepted)
        self.assertEqual(dropped.names, (record_name(JOB, "b"),))
        bench.feed(JobCancelled(record_name(JOB, "b")))
        bench.feed(JobCancelled(JOB))
        self.assertIs(bench.cell.jobs[JOB].accepted, own_job)
        self.assertFalse(bench.cell.jobs[JOB].status.is_final)
        bench.feed(JobCancelled(record_name(JOB, "a")))
        self.assertIs(bench.cell.jobs[JOB].status, JobStatus.CANCELLED)

    def test_owner_after_a_takeover(self) -> None:
        """A job belongs to the team in its progress, otherwise to the first that submitted it."""
        first, second = self.owned_job("a", 1000), self.owned_job("b", 2000)
        records = [
            KeyedRecord(record_name(JOB, each.team), encode(each)) for each in (second, first)
        ]
        records.append(KeyedRecord(cancel_key(record_name(JOB, "b")), b"1"))
        self.assertEqual(classify_records(records, {}).accepted[JOB].team, "a")
        running = {JOB: JobProgress(JobStatus.RUNNING, [], "b")}
        self.assertEqual(classify_records(records, running).accepted[JOB].team, "b")
        bench = Bench()
        bench.restore(classify_records(records, {}))
        self.assertFalse(bench.cell.jobs[JOB].status.is_final)

    def test_cancelled_before_it_was_accepted(self) -> None:
        """An early cancellation applies only if it comes from the job's own team."""
        for canceller, status in (("b", JobStatus.PENDING), ("a", JobStatus.CANCELLED)):
            bench = Bench()
            bench.restore(RecordedJobs({}, {record_name(JOB, canceller)}, {}))
            bench.feed(JobAccepted(JOB, self.owned_job("a")))
            self.assertIs(bench.cell.jobs[JOB].status, status)

    @staticmethod
    def owned_job(name: str, at: int = 1000) -> AcceptedJob:
        spec = make_accepted_job().spec
        return AcceptedJob(spec, at, "pool", 0, 3, name)


def configuration_version(number: int, *keys: str) -> dict:
    tenant = {"name": "t", "api_keys": list(keys), "priority": 3, "weight": 2, "max_count": {}}
    return {**CONFIGURATION, "version": number, "tenants": [tenant]}


def heartbeat(configuration: int, reaches_store: bool = True) -> Heartbeat:
    return Heartbeat("peer", "", 0, 0.0, reaches_store=reaches_store, configuration=configuration)


class TestForwarding(unittest.TestCase):
    """Tests of receiving configurations from peers when the store is unreachable."""

    def setUp(self) -> None:
        self.sent: list[tuple[str, ConfigurationNotice]] = []
        self.watcher = ConfigurationWatcher(
            None, lambda *sent: self.sent.append(sent), lambda found: None
        )

    @staticmethod
    def encoded_configuration(number: int, *keys: str) -> bytes:
        return msgspec.json.encode(configuration_version(number, *keys))

    def test_configuration_is_sent_to_a_peer_with_an_older_one(self) -> None:
        """The configuration is sent after a short delay, and at most once a second."""
        self.watcher.apply_from_peer(self.encoded_configuration(5, "k"))
        self.watcher.handle_heartbeat(heartbeat(4))
        self.assertEqual(self.sent, [])
        self.assertTrue(wait_until(lambda: self.handle_heartbeat_and_count() == 1))
        self.watcher.handle_heartbeat(heartbeat(4))
        self.assertEqual(len(self.sent), 1)
        (node, message) = self.sent[0]
        self.assertEqual(node, "peer")
        peer_watcher = ConfigurationWatcher(None, None, lambda found: None)
        peer_watcher.apply_from_peer(message.data)
        self.assertEqual(peer_watcher.version, 5)
        self.assertIsNotNone(peer_watcher.current.teams.of_key(b"k"))

    def handle_heartbeat_and_count(self) -> int:
        self.watcher.handle_heartbeat(heartbeat(4))
        return len(self.sent)

    def test_older_version_is_ignored(self) -> None:
        """Older and unreadable versions from a peer are ignored."""
        self.watcher.apply_from_peer(self.encoded_configuration(5, "new"))
        self.watcher.apply_from_peer(self.encoded_configuration(4, "old"))
        self.watcher.apply_from_peer(b"\xff")
        self.assertIsNotNone(self.watcher.current.teams.of_key(b"new"))
        self.assertIsNone(self.watcher.current.teams.of_key(b"old"))

    def test_peer_with_the_same_version_confirms_it(self) -> None:
        """A peer confirms the version only if it reaches the store."""
        self.watcher.apply_from_peer(self.encoded_configuration(5, "k"))
        self.watcher.handle_heartbeat(heartbeat(5, reaches_store=False))
        self.watcher.handle_heartbeat(heartbeat(4))
        self.assertGreater(self.watcher.age_s, 1.0)
        self.watcher.handle_heartbeat(heartbeat(5))
        self.assertLess(self.watcher.age_s, 1.0)


class TestConfigurationOfTeams(unittest.TestCase):
    def test_keys_are_kept_as_digests_only(self) -> None:
        """The `repr` of a configuration contains no key."""
        found = decode_configuration(TestForwarding.encoded_configuration(5, "very-secret-key"))
        self.assertIsNotNone(found.teams.of_key(b"very-secret-key"))
        self.assertNotIn("very-secret-key", repr(found) + repr(vars(found.teams)))

    def test_without_tenants_no_key_is_needed(self) -> None:
        found = decode_configuration(msgspec.json.encode(CONFIGURATION))
        self.assertTrue(all(queue.is_public for queue in found.queues))
        none_left = decode_configuration(msgspec.json.encode({**CONFIGURATION, "tenants": []}))
        self.assertFalse(any(queue.is_public for queue in none_left.queues))


class TestKeysInACluster(unittest.TestCase):
    """Tests of added and revoked keys on nodes that cannot reach the store."""

    def setUp(self) -> None:
        self.cluster = EntryCluster(3, proxies=Proxy)
        self.addCleanup(self.cluster.close)
        self.put_configuration(10, "first", "second")
        self.assertTrue(self.cluster.wait_ready())
        for node in self.cluster.nodes:
            self.assertTrue(
                wait_until(lambda node=node: self.status_with_key(node, "first") == 200)
            )

    def put_configuration(self, number: int, *keys: str) -> None:
        self.cluster.store.put("keyed.op", "config", configuration_version(number, *keys))

    @staticmethod
    def status_with_key(node, key: str) -> int:
        return node.call("GET", "/jobs/", headers={"X-Api-Key": key})[0]

    def test_keys_change_on_a_node_that_cannot_reach_the_store(self) -> None:
        """The node receives added and revoked keys from its peers."""
        leader = self.cluster.leader
        follower = next(node for node in self.cluster.nodes if node is not leader)
        for number, node in ((21, follower), (22, leader)):
            with self.subTest(leads=node is leader):
                old = "first" if number == 21 else "key-21"
                new = f"key-{number}"
                proxy = self.cluster.store_proxies[node.number - 1]
                proxy.set(Mode.RESET)
                self.put_configuration(number, new)
                # While the node cannot verify a key, it answers with 503.
                self.assertTrue(
                    wait_until(lambda n=node, k=new: self.status_with_key(n, k) in (200, 503))
                )
                self.assertTrue(
                    wait_until(lambda n=node, k=old: self.status_with_key(n, k) in (401, 503))
                )
                line = node.lines("configuration_in_force")[-1]
                self.assertIn(f"version={number} ", line + " ")
                self.assertIn("source=peer", line)
                proxy.set(Mode.PASS)
                self.assertTrue(wait_until(lambda n=node, k=new: self.status_with_key(n, k) == 200))

    def test_jobs_of_another_team_are_unknown(self) -> None:
        """Another team's job is neither shown nor cancelled, and logs contain no keys."""
        configuration = configuration_version(30, "key-one-of-t")
        other_tenant = {**configuration["tenants"][0], "name": "u", "api_keys": ["key-one-of-u"]}
        configuration["tenants"] = [*configuration["tenants"], other_tenant]
        self.cluster.store.put("keyed.op", "config", configuration)
        path, body = self.cluster.job([SMALL])
        own_headers = {"X-Api-Key": "key-one-of-t"}
        other_headers = {"X-Api-Key": "key-one-of-u"}
        for node in self.cluster.nodes:
            self.assertTrue(
                wait_until(lambda n=node: self.status_with_key(n, "key-one-of-u") == 200)
            )
        self.cluster.workers.work_s = 4.0
        node = self.cluster.nodes[0]
        self.assertEqual(node.call("POST", path, body, own_headers)[0], 200)
        for each in self.cluster.nodes:
            self.assertEqual(each.call("GET", path, headers=other_headers)[0], 410)
            self.assertEqual(each.call("GET", path, headers=own_headers)[0], 200)
        node.call("DELETE", path, headers=other_headers)
        node.call("POST", path, body, other_headers)

        def state() -> str:
            status, answer, _ = node.call("GET", path, headers=own_headers)
            return answer["state"] if status == 200 else str(status)

        self.assertTrue(wait_until(lambda: state() == "completed"))
        self.assertEqual(self.cluster.workers.checks.violations, [])
        for each in self.cluster.nodes:
            self.assertNotIn("key-one-of", each.log.read_text())
