"""Tests that one odd entry in the store affects no other."""

import json
import math
import types
import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.entry.job_status_table import JobStatusTable
from snowdock.entry.leader_handle import LeaderHandle
from snowdock.entry.leader_record import (
    NodeIdentity,
    decode_leader_record,
    encode_leader_record,
)
from snowdock.entry.takeover import fence_and_read
from snowdock.errors import AppendRejected, InvalidInput, PlatformError
from snowdock.jobs.events import WorkerListed
from snowdock.jobs.model import JobStatus, StepSpec
from snowdock.jobs.progress import (
    JobProgress,
    SplitProgress,
    TaskProgress,
    decode_accepted,
    encode,
)
from snowdock.platform.configuration import decode_configuration
from snowdock.platform.store import KeyedRecord, StoreClient, StorePage
from snowdock.platform.worker_calls import worker_headers
from snowdock.platform.worker_entries import decode_worker_entry
from tests.jobs_tools import Bench, make_accepted_job
from tests.odd_values import ODD_ADDRESSES, ODD_KEYS, ODD_VALUES, replace_field
from tests.standins.entry_cluster import CONFIGURATION, EntryCluster, wait_until
from tests.standins.platform import Server, StoreStandin
from tests.test_malformed_records import VALID_ENTRY
from tests.test_worker_link import REPORT

ENTRY = VALID_ENTRY | {"born": 1_700_000_000_000, "remaining_ms": 500}
ENTRY_PATHS = (
    *((name,) for name in ENTRY),
    *(("capacity", name) for name in ENTRY["capacity"]),
    ("labels", 0),
    ("unknown",),
)
TOO_LARGE = ("400_digits", "5000_digits", "2**63", "2**64", "1e300")

CONFIGURATION_NUMBERS = (
    ("version",),
    *(("routes", 0, name) for name in ("max_attempts", "stretch", "target_latency_ms")),
    *(("routes", 0, name) for name in ("timeout_ms", "priority")),
    *(("routes", 1, "advice", name) for name in ("decide_ms", "each_ms", "valid_ms")),
    *(("limits", name) for name in ("max_header_bytes", "max_body_bytes", "idle_timeout_ms")),
)
VALID_CONFIGURATION_VALUES = {
    *("null", "empty", "text", "text_of_a_number", "text_of_400_digits", "text_of_5000_digits"),
    *("text_of_nan", "nul", "line_breaks", "long_text", "empty_list", "object"),
}

ODD_ENTRIES = (
    *ODD_VALUES.values(),
    *(replace_field(ENTRY, path, value) for path in ENTRY_PATHS for value in ODD_VALUES.values()),
    *(json.dumps({**ENTRY, "address": address}).encode() for address in ODD_ADDRESSES),
    b"\x00",
    json.dumps(ENTRY).encode()[:-1] + b',"address":"10.1.2.3:' + b"9" * 5000 + b'"}',
)


def encode_entry(**fields: object) -> bytes:
    return json.dumps({**ENTRY, **fields}).encode()


class TestWorkerEntries(unittest.TestCase):
    def test_odd_value_in_any_field(self) -> None:
        """Any value in any field is refused with a typed error, or leaves an entry usable."""
        for data in ODD_ENTRIES:
            try:
                entry = decode_worker_entry("i-1", data)
            except PlatformError:
                continue
            self.assertEqual(entry.address, ENTRY["address"], data[:300])
            self.assertEqual(worker_headers(entry.life)["X-Expected-Instance"], "i-1")
            msgspec.msgpack.encode([entry.life, entry.capacity, sorted(entry.labels)])

    def test_port_with_thousands_of_digits(self) -> None:
        """The port raised ValueError in place of the typed error."""
        for address in ODD_ADDRESSES:
            with self.assertRaises(PlatformError, msg=address[:60]):
                decode_worker_entry("i-1", encode_entry(address=address))

    def test_start_time_with_hundreds_of_digits(self) -> None:
        """A number too large for the store's records became part of the worker's identifier."""
        for field in ("born", "seq", "slots"):
            for name in TOO_LARGE:
                with self.assertRaises(PlatformError, msg=f"{field}: {name}"):
                    decode_worker_entry("i-1", replace_field(ENTRY, (field,), ODD_VALUES[name]))

    def test_key_with_line_breaks(self) -> None:
        """The key became a header of the calls to the worker and added another header."""
        valid = json.loads(encode_entry())
        del valid["born"]
        for key in ODD_KEYS:
            with self.assertRaises(PlatformError, msg=key):
                decode_worker_entry(key.decode("utf-8", "replace"), json.dumps(valid).encode())
        self.assertEqual(decode_worker_entry("i-1", json.dumps(valid).encode()).life, "i-1")


class TestReadingOfWorkers(unittest.TestCase):
    """The worker list as a leader follows it in a store."""

    def setUp(self) -> None:
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.listed: list[str] = []
        metrics = types.SimpleNamespace(count=lambda *_, **__: None)
        context = types.SimpleNamespace(
            store=StoreClient(self.store.address, 2), parts=1, metrics=metrics
        )
        actor = types.SimpleNamespace(tell=self.tell)
        self.handle = LeaderHandle(context, actor, JobStatusTable())

    def tell(self, event) -> None:
        if isinstance(event, WorkerListed):
            self.listed.append(event.entry.worker)

    def put(self, worker: str) -> None:
        self.store.put_raw("keyed.servers", worker, encode_entry())

    def follow(self) -> None:
        self.handle._worker_tail.start()
        self.addCleanup(self.handle._worker_tail.stop)

    def test_entries_beside_odd_ones_in_a_snapshot(self) -> None:
        """One odd entry hid the workers after it in the list of all workers."""
        for number, data in enumerate(ODD_ENTRIES):
            self.store.put_raw("keyed.servers", f"m-{number}", data)
        for worker in ("a", "n", "z"):
            self.put(worker)
        self.follow()
        self.assertTrue(wait_until(lambda: {"a", "n", "z"} <= set(self.listed), 60.0))

    def test_entries_beside_odd_ones_in_a_page(self) -> None:
        """One odd entry hid those that were appended after it, until they changed again."""
        self.put("first")
        self.follow()
        self.assertTrue(wait_until(lambda: "first" in self.listed))
        self.store.hides_new_records = True
        for number, data in enumerate(ODD_ENTRIES):
            self.store.put_raw("keyed.servers", f"m-{number}", data)
            self.put(f"after-{number}")
        self.store.hides_new_records = False
        expected = {f"after-{number}" for number in range(len(ODD_ENTRIES))}
        self.assertTrue(wait_until(lambda: expected <= set(self.listed), 60.0))
        self.put("last")
        self.assertTrue(wait_until(lambda: "last" in self.listed))


class TestKeysInLists(unittest.TestCase):
    """Keys that are not UTF-8, in lists of newest records of several pages."""

    def setUp(self) -> None:
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.client = StoreClient(self.store.address, 2)

    def read(self) -> list[str]:
        page = self.client.newest("keyed.servers", 0, 2.0)
        return [record.key for record in page.records]

    def test_key_that_is_not_utf8_hides_the_whole_list(self) -> None:
        """The page with the key was refused, so that the list was never read."""
        sound = {f"i-{number:03}" for number in range(120)}
        for key in (*sound, *ODD_KEYS):
            self.store.put_raw("keyed.servers", key, b"x")
        for form in ("replaced", "escaped", "raw"):
            self.store.key_form = form
            self.assertEqual(sound - set(self.read()), set(), form)

    def test_key_that_is_not_utf8_at_the_end_of_a_page(self) -> None:
        """Reading on after a key that the store does not have repeated a page forever."""
        for number in range(60):
            self.store.put_raw("keyed.servers", f"i-{number:03}", b"x")
        self.store.put_raw("keyed.servers", b"i-049\xf0", b"x")
        self.store.put_raw("keyed.servers", b"i-048\xff", b"x")
        for form in ("replaced", "escaped", "raw"):
            self.store.key_form = form
            self.assertLessEqual({f"i-{number:03}" for number in range(60)}, set(self.read()))

    def test_pages_that_do_not_advance(self) -> None:
        """A store that repeats its pages raises the typed error."""
        for number in range(120):
            self.store.put_raw("keyed.servers", b"\xff%03d" % number, b"x")
        with self.assertRaises(PlatformError):
            self.read()


def encode_odd(record: object, path: tuple[int, ...], value: object) -> bytes:
    """Return a record of the store with another value at a path of its array."""
    array = msgspec.msgpack.decode(encode(record))
    parent = array
    for position in path[:-1]:
        parent = parent[position]
    parent[path[-1]] = value
    return msgspec.msgpack.encode(array)


GOOD_JOB, ODD_JOB = "f" * 16, "0" * 16
ACCEPTED = make_accepted_job(StepSpec(1, Size(500, 100)), StepSpec(1, Size(500, 100), after=(0,)))
TASK = TaskProgress(0, 0, 0, run=1, life="i-1@5", address="10.1.2.3:8709")
PROGRESS = JobProgress(JobStatus.RUNNING, [TASK])
SPLIT = SplitProgress(JobStatus.RUNNING, "", 1, 1, (1, 1))

ODD_SUBMISSIONS = (
    # Numbers of tasks, resources, estimates, predecessors, and limits of a step.
    *(((0, 2, 1, 0), count) for count in (-1, 0, 2**31, 2**63)),
    *(((0, 2, 1, 1, kind), size) for kind in range(3) for size in (-1, 2**62, 2**64 - 1, 1.5)),
    *(((0, 2, 1, 2), estimate) for estimate in (-1, 2**63, math.nan, math.inf, "x")),
    *(((0, 2, 1, 3), after) for after in ([1], [2], [-1], [2**63], ["0"], 0)),
    *(((0, 2, 1, field), -1) for field in (10, 13, 15)),
    # All steps, repetitions, times, and settings of the queue.
    ((0, 2), []),
    *(((0, field), value) for field in (3, 4, 5) for value in (-1, 2**64 - 1, math.nan)),
    *(((field,), value) for field in (1, 3, 4) for value in (2**64 - 1, math.nan, "x")),
)
ODD_PROGRESS = (
    *(((1, 0, 0), repetition) for repetition in (-1, 1, 2**31, 2**63)),
    *(((1, 0, 1), step) for step in (-1, 2, 2**63)),
    *(((1, 0, 2), index) for index in (-1, 1, 2**63)),
    *(((1, 0, 3), run) for run in (-1, 2**64 - 1, math.inf)),
    *(((1, 0, field), [2**64 - 1]) for field in (6, 8, 9)),
    ((0,), 9),
)


class TestJobRecords(unittest.TestCase):
    """Odd records of jobs, of their cancellation and of their progress."""

    def restore(self, jobs: list[KeyedRecord], progress: dict[str, bytes]) -> Bench:
        """Return a new leader's reducer after it has read the records and begun to work."""
        pages = {
            ("keyed.jobs", 0): jobs,
            ("keyed.progress", 0): [KeyedRecord(key, data) for key, data in progress.items()],
        }
        store = types.SimpleNamespace(
            append=lambda *_, **__: 0,
            newest=lambda topic, part, seconds: StorePage(pages.get((topic, part), []), 0),
        )
        recorded, _ = fence_and_read(store, 2, 1)
        bench = Bench()
        bench.restore(recorded)
        bench.add_worker()
        bench.tick(1.0)
        return bench

    def check_good_job_starts(self, jobs: list[KeyedRecord], progress: dict[str, bytes]) -> None:
        """Check that a job is started by a leader that has read odd records, and nothing else."""
        good = KeyedRecord(GOOD_JOB, encode(make_accepted_job()))
        bench = self.restore([good, *jobs], progress)
        started = {start.order.task.job for start in bench.starts(bench.all_effects)}
        self.assertEqual(started, {GOOD_JOB})

    def test_odd_submissions(self) -> None:
        """A submission with a number out of range made each leader fail in turn."""
        for path, value in ODD_SUBMISSIONS:
            with self.subTest(path=path, value=value):
                data = encode_odd(ACCEPTED, path, value)
                with self.assertRaises(InvalidInput):
                    decode_accepted(data)
                self.check_good_job_starts([KeyedRecord(ODD_JOB, data)], {})

    def test_odd_progress(self) -> None:
        """Progress of a task that the job does not have made each leader fail in turn."""
        records = [encode_odd(PROGRESS, path, value) for path, value in ODD_PROGRESS]
        records += [
            encode_odd(SPLIT, (6,), ranges)
            for ranges in ([[0, 2**31]], [[-1, 0]], [[1, 0]], [[0, 0], [0, 0]], [[0, 2**64 - 1]])
        ]
        for data in records:
            with self.subTest(data=data):
                self.check_good_job_starts(
                    [KeyedRecord(ODD_JOB, encode(ACCEPTED))], {ODD_JOB: data}
                )

    def test_odd_keys(self) -> None:
        """A job under a key that cannot be extended made the writer of its progress fail."""
        data = encode(make_accepted_job())
        keys = [key.decode(errors="replace") for key in ODD_KEYS if key != b"i@7"]
        keys += ["x" * 255, "a.b", ODD_JOB + ".0", ODD_JOB + "\n", "cancel.", "cancel." + "x" * 240]
        blocks = {f"{ODD_JOB}.{odd}.0.0": encode(SPLIT) for odd in ("-1", "٣", "1_0", "9" * 200)}
        self.check_good_job_starts([KeyedRecord(key, data) for key in keys], blocks)

    def test_record_with_a_key_that_is_too_long(self) -> None:
        """The length of the key did not fit into its byte, which ended the writing thread."""
        with self.assertRaises(AppendRejected):
            StoreClient("127.0.0.1:9", 1).append("t", 0, [KeyedRecord("x" * 256, b"x")], 1.0)


ODD_CONFIGURATIONS = (
    *ODD_VALUES.values(),
    *(
        replace_field({**CONFIGURATION, "version": 8}, path, ODD_VALUES[name])
        for path in CONFIGURATION_NUMBERS
        for name in TOO_LARGE
    ),
    *(
        replace_field({**CONFIGURATION, "version": 8}, path, value)
        for path in (("routes",), ("services", 0, "name"), ("tenants",), ("limits",))
        for name, value in ODD_VALUES.items()
        if name not in VALID_CONFIGURATION_VALUES
    ),
)


def odd_leader_records() -> list[bytes]:
    """Return leader records that no leader has written."""
    record = NodeIdentity("other", "i9", "127.0.0.1:1").make_record(7)
    array = msgspec.msgpack.decode(encode_leader_record(record))
    odd: list[tuple[int, object]] = [(2, address) for address in ODD_ADDRESSES]
    odd += [(3, epoch) for epoch in (-1, 2**63, 2**64 - 1, 1.5, "7")]
    odd += [(6, turnover) for turnover in (-(2**63), -1, 2**64 - 1)]
    odd += [(7, seconds) for seconds in (-1.0, 1e300, math.inf, math.nan, "x")]
    odd += [(position, None) for position in (0, 1, 2, 3, 4, 5)]
    encoded = [
        msgspec.msgpack.encode([*array[:position], value, *array[position + 1 :]])
        for position, value in odd
    ]
    return [*encoded, b"\x91" * 100_000, b"\xc1", b"\x99\xa2\xff\xfe", b"[]"]


class TestLeaderRecords(unittest.TestCase):
    def test_odd_values(self) -> None:
        """Values that no leader has written were taken for a leader's."""
        for data in odd_leader_records():
            with self.assertRaises(PlatformError, msg=data[:300]):
                decode_leader_record(KeyedRecord("leader", data))


class TestConfigurations(unittest.TestCase):
    def test_numbers_out_of_range(self) -> None:
        """Numbers that no message, record or wait can hold were taken."""
        for data in ODD_CONFIGURATIONS:
            with self.assertRaises(PlatformError, msg=data[:300]):
                decode_configuration(data)


class TestProcesses(unittest.TestCase):
    """Nodes as real processes, beside odd entries and workers that answer oddly."""

    def setUp(self) -> None:
        self.cluster = EntryCluster(2)
        self.addCleanup(self.cluster.close)

    def put_odd_workers(self, reports: list[bytes]) -> None:
        """Add a worker for each report that answers all calls with it."""
        for number, report in enumerate(reports):
            server = Server(lambda *_, report=report: (200, report), threads=2)
            self.addCleanup(server.close)
            entry = encode_entry(address=server.address)
            self.cluster.store.put_raw("keyed.servers", f"odd-{number}", entry)

    def run_job(self) -> None:
        step = {"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 100}
        path, body = self.cluster.make_job([step])
        node = self.cluster.nodes[0]
        self.assertTrue(wait_until(lambda: node.call("POST", path, body)[0] == 200))
        self.assertTrue(self.cluster.wait_state(path, "completed"))

    def check_processes(self) -> None:
        """Check that no process ended, no thread failed and nobody stepped down."""
        for node in self.cluster.nodes:
            self.assertIsNone(node.process.poll(), node.log.read_text()[-2000:])
            for event in ("thread_lost", "leader_failed", "tail_failed", "record_skipped"):
                self.assertEqual(node.log_lines(event), [], event)

    def replace_leader(self) -> None:
        """Kill the leader, and wait for another node to lead."""
        before = self.cluster.leader
        before.kill()
        self.cluster.nodes.remove(before)
        self.addCleanup(before.kill)
        self.assertTrue(wait_until(lambda: self.cluster.leader is not None))

    def put_odd_job_records(self) -> None:
        """Append odd submissions, cancellations and progress, some under odd keys."""
        put = self.cluster.store.put_raw
        for number, (path, value) in enumerate(ODD_SUBMISSIONS):
            put("keyed.jobs", f"{number:016x}", encode_odd(ACCEPTED, path, value))
        for number, (path, value) in enumerate(ODD_PROGRESS):
            put("keyed.jobs", f"{number:015x}a", encode(ACCEPTED))
            put("keyed.progress", f"{number:015x}a", encode_odd(PROGRESS, path, value))
        for key in (*ODD_KEYS, b"x" * 255, b"a.b"):
            for topic in ("keyed.jobs", "keyed.progress"):
                put(topic, key, encode(ACCEPTED))
            put("keyed.jobs", b"cancel." + key[:200], b"x")

    def test_odd_job_records(self) -> None:
        """Odd records of jobs end neither the leader that follows them nor the next one."""
        self.assertTrue(self.cluster.wait_ready())
        self.put_odd_job_records()
        self.run_job()
        self.replace_leader()
        self.run_job()
        self.check_processes()

    def test_worker_with_an_odd_report_ends_the_leader(self) -> None:
        """A number in place of a task's name ended the process of each leader in turn."""
        self.put_odd_workers([replace_field(REPORT, ("running", 0, 0), b"1")])
        self.assertTrue(self.cluster.wait_ready())
        self.run_job()
        node = self.cluster.leader
        self.assertTrue(wait_until(lambda: node.log_lines("renewal_unanswered")))
        self.check_processes()

    def test_configuration_with_an_odd_version(self) -> None:
        """The version did not fit into a heartbeat, and a node ended."""
        store = self.cluster.store
        self.assertTrue(self.cluster.wait_ready())
        for data in ODD_CONFIGURATIONS:
            store.put_raw("keyed.op", "config", data)
        store.put("keyed.op", "config", {**CONFIGURATION, "version": 9})
        for node in self.cluster.nodes:
            self.assertTrue(
                wait_until(
                    lambda node=node: any(
                        "version=9 " in line for line in node.log_lines("configuration_in_force")
                    )
                )
            )
        self.run_job()
        self.check_processes()

    def test_odd_leader_record_leaves_no_leader(self) -> None:
        """No node claimed the leadership after a record whose address has no port."""
        self.assertTrue(self.cluster.wait_ready())
        for data in reversed(odd_leader_records()):
            self.cluster.store.put_raw("keyed.leaders", "leader", data)
        self.assertTrue(
            wait_until(
                lambda: any(n.log_lines("leader_record_unusable") for n in self.cluster.nodes)
            )
        )
        self.run_job()
        self.check_processes()
        for node in self.cluster.nodes:
            self.assertEqual(node.log_lines("election_failed"), [])

    def test_odd_entries_among_the_workers(self) -> None:
        """Workers beside odd entries are used, and changes after those are followed."""
        store = self.cluster.store
        self.assertTrue(self.cluster.wait_ready())
        for number, data in enumerate(ODD_ENTRIES):
            store.put_raw("keyed.servers", f"m-{number}", data)
        self.cluster.workers.add("later")
        self.run_job()
        before = self.cluster.leader
        self.assertTrue(
            wait_until(lambda: any("later" in x for x in before.log_lines("worker_listed")))
        )
        self.replace_leader()
        self.run_job()
        self.cluster.workers.record("later", "draining")
        after = self.cluster.leader
        self.assertTrue(
            wait_until(lambda: any("later" in x for x in after.log_lines("worker_draining")))
        )
        self.check_processes()


if __name__ == "__main__":
    unittest.main()
