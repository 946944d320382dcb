"""Tests that malformed records in the store are ignored and do not affect valid ones."""

import json
import random
import types
import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.entry.job_status_table import JobStatusTable
from snowdock.entry.leader_handle import LeaderHandle
from snowdock.entry.leader_log import LeaderLog
from snowdock.entry.leader_queries import LeaderQueries
from snowdock.entry.leader_record import NodeIdentity, decode_leader_record
from snowdock.entry.messages import ENTRY_MESSAGES
from snowdock.entry.takeover import classify_records
from snowdock.errors import PlatformError, SnowdockError
from snowdock.jobs.events import ConfigurationChanged, OpenWorker, WorkerDelisted, WorkerListed
from snowdock.jobs.model import Service
from snowdock.jobs.progress import decode_accepted, decode_progress, encode
from snowdock.jobs.workers import WorkerEntry
from snowdock.platform.configuration import decode_configuration
from snowdock.platform.job_bodies import decode_job
from snowdock.platform.store import KeyedRecord, StoreClient, _decode_records
from snowdock.platform.worker_entries import decode_worker_entry
from tests.jobs_tools import Bench, filter_by_type, make_accepted_job
from tests.standins.entry_cluster import CONFIGURATION, EntryCluster, wait_until
from tests.standins.platform import StoreStandin

SEED = 20_261
FUZZ_CASES = 4_000
MALFORMED_ENTRIES = 2_000

VALID_ENTRY = {
    "service": "pool",
    "address": "10.1.2.3:8709",
    "zone": "hall",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16_000, "mem_mb": 65_536, "gpu": 0},
    "labels": ["a", "r1-3"],
    "seq": 4,
}

DEEPLY_NESTED = b"[" * 100_000
INVALID_VALUES = (
    None,
    True,
    -1,
    1.5,
    "",
    "x",
    "\x00\r\n",
    [],
    [1],
    {},
    {"a": 1},
    10**30,
    "9" * 400,
    1e300,
)
"""Values of wrong types, values out of range, and invalid text."""

ADDRESSES = (
    "", ":", "10.1.2.3", "10.1.2.3:", "10.1.2.3:0", "10.1.2.3:65536", "10.1.2.3:-1", "10.1.2:80",
    "host:80", "10.1.2.3:8\r\nX-A: b", "10.1.2.3 :80", "10.1.2.3:٣", "[::1]:80", "10.1.2.3:80:80",
)  # fmt: skip


def encode_entry(**fields: object) -> bytes:
    return json.dumps({**VALID_ENTRY, **fields}).encode()


def malformed_entries(source: random.Random, count: int) -> list[bytes]:
    """Return random entries, each with at least one defect."""
    return [_malformed_entry(source) for _ in range(count)]


def _malformed_entry(source: random.Random) -> bytes:
    defect = source.randrange(6)
    if defect == 0:
        fields = dict(VALID_ENTRY)
        del fields[source.choice(list(fields))]
        return json.dumps(fields).encode()
    if defect == 1:
        return encode_entry(address=source.choice(ADDRESSES))
    if defect == 2:
        return encode_entry(state=source.choice(["", "gone", "READY", "upkeep", 1]))
    if defect == 3:
        capacity = dict(VALID_ENTRY["capacity"])
        capacity[source.choice(list(capacity))] = source.choice((None, -1, "16000", 1.5, 10**30))
        return encode_entry(capacity=capacity)
    if defect == 4:
        return encode_entry(
            **{source.choice(("service", "zone", "version")): source.choice((None, 1, []))}
        )
    return source.choice(
        (
            b"",
            source.randbytes(40),
            encode_entry()[: source.randrange(len(encode_entry()))],
            b'{"x":' + DEEPLY_NESTED,
            encode_entry()[:-1] + b',"y":"\xff\xfe"}',
        )
    )


class TestDecoders(unittest.TestCase):
    """Decoders either accept data or raise the documented error."""

    def test_worker_entries(self) -> None:
        """Every malformed entry is rejected, and the valid one is accepted."""
        self.assertEqual(decode_worker_entry("i-1", encode_entry()).address, VALID_ENTRY["address"])
        for data in malformed_entries(random.Random(SEED), FUZZ_CASES):
            with self.assertRaises(PlatformError, msg=data[:200]):
                decode_worker_entry("i-1", data)

    def test_any_value_in_any_field(self) -> None:
        """Any value in any field is either accepted unchanged or rejected."""
        for name in VALID_ENTRY:
            for value in INVALID_VALUES:
                data = encode_entry(**{name: value})
                try:
                    found = decode_worker_entry("i-1", data)
                except PlatformError:
                    continue
                self.assertNotIn(name, ("address", "state", "capacity", "slots"), data)
                self.assertEqual((found.service, found.hall), (found.service + "", found.hall + ""))

    def test_all_other_decoders(self) -> None:
        """Truncated, changed and nested records raise the documented error or are accepted."""
        source = random.Random(SEED)
        leader = msgspec.msgpack.encode(NodeIdentity("n", "i", "1.2.3.4:5").make_record(3))
        job = encode(make_accepted_job())
        body = json.dumps({"spec": "x", "steps": [{"count": 1}]}).encode()
        decoders = (
            (decode_configuration, json.dumps(CONFIGURATION).encode()),
            (lambda data: decode_leader_record(KeyedRecord("leader", data)), leader),
            (decode_accepted, job),
            (decode_progress, msgspec.msgpack.encode([1, [[0, 0, 0, 1, "w"]], ""])),
            (ENTRY_MESSAGES.decode, msgspec.msgpack.encode(["x", 1])),
            (lambda data: decode_job("q", data), body),
        )
        for decode, valid in decoders:
            corrupted = [DEEPLY_NESTED, b"\x91" * 100_000, b"\xc1", b""]
            corrupted += [_corrupt(source, valid) for _ in range(FUZZ_CASES // 10)]
            for data in corrupted:
                try:
                    decode(data)
                except SnowdockError:
                    continue

    def test_frames(self) -> None:
        """Empty records, and records shorter than their key length, are decoded."""
        frames = b"\x00\x00\x00\x00" + b"\x00\x00\x00\x02\x09a" + b"\x00\x00\x00\x03\x01kv"
        keys = [record.key for record in _decode_records(frames, 7)]
        self.assertEqual(keys, ["", "a", "k"])


def _corrupt(source: random.Random, valid: bytes) -> bytes:
    data = bytearray(valid)
    for _ in range(source.randint(1, 4)):
        position = source.randrange(len(data))
        data[position] = source.randrange(256)
    return bytes(data[: source.randint(1, len(data))])


class TestWorkersInUse(unittest.TestCase):
    def setUp(self) -> None:
        self.events = []
        actor = types.SimpleNamespace(tell=self.events.append)
        metrics = types.SimpleNamespace(count=lambda *_, **__: None)
        context = types.SimpleNamespace(store=types.SimpleNamespace(), parts=1, metrics=metrics)
        self.handle = LeaderHandle(context, actor, JobStatusTable())

    def test_worker_with_a_malformed_entry_is_delisted(self) -> None:
        """A worker whose entry is replaced by a malformed one is delisted."""
        self.handle._apply_worker_record(KeyedRecord("i-1", encode_entry()))
        self.handle._apply_worker_record(KeyedRecord("i-1", encode_entry(state="gone")))
        self.assertIsInstance(self.events[0], WorkerListed)
        self.assertEqual(self.events[1:], [WorkerDelisted("i-1", False)])

    def test_valid_entries_beside_malformed_ones_are_listed(self) -> None:
        """In a full list, valid entries are listed, and missing or malformed ones are delisted."""
        valid = [KeyedRecord(f"i-{number}", encode_entry()) for number in range(3)]
        self.handle._replace_workers(valid)
        self.events.clear()
        malformed = [
            KeyedRecord(f"x-{number}", data)
            for number, data in enumerate(malformed_entries(random.Random(SEED), 50))
        ]
        self.handle._replace_workers(
            [*malformed, valid[0], KeyedRecord("i-1", b"\xff"), *malformed]
        )
        listed = [event.entry.life for event in self.events if isinstance(event, WorkerListed)]
        delisted = {event.life for event in self.events if isinstance(event, WorkerDelisted)}
        self.assertEqual(listed, ["i-0"])
        self.assertLessEqual({"i-1", "i-2"}, delisted)


class TestUnconfiguredService(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench()
        size = Size(4000, 9000)
        self.entry = WorkerEntry("w", "other", "1.2.3.4:5", "hall", "r1", frozenset(), size)

    def configure_service(self) -> None:
        before = self.bench.cell.configuration
        services = (*before.services, Service("other"))
        after = msgspec.structs.replace(before, version=before.version + 1, services=services)
        self.bench.feed(ConfigurationChanged(after))

    def test_worker_is_not_called_until_its_service_is_configured(self) -> None:
        """A worker is opened only once the configuration has its service."""
        self.bench.feed(WorkerListed(self.entry))
        self.bench.tick(3.0)
        self.assertEqual(filter_by_type(self.bench.all_effects, OpenWorker), [])
        self.configure_service()
        self.assertEqual(
            [each.life for each in filter_by_type(self.bench.all_effects, OpenWorker)], ["w"]
        )

    def test_worker_delisted_before_its_service_is_configured(self) -> None:
        """A worker that is delisted before the configuration has its service is never opened."""
        self.bench.feed(WorkerListed(self.entry))
        self.bench.feed(WorkerDelisted("w", False))
        self.configure_service()
        self.assertEqual(filter_by_type(self.bench.all_effects, OpenWorker), [])


class TestLeaderRecord(unittest.TestCase):
    def test_unreadable_leader_record_is_ignored(self) -> None:
        """An unreadable leader record is skipped, and another node can claim the leadership."""
        store = StoreStandin()
        self.addCleanup(store.close)
        log = LeaderLog(StoreClient(store.address, 2))
        log.read_newest(2.0)
        log.append(NodeIdentity("n1", "i1", "127.0.0.1:1").make_record(1), 2.0)
        store.put_raw("keyed.leaders", "leader", DEEPLY_NESTED[:1000])
        self.assertEqual(log.read_new(0.0), [])
        claim = NodeIdentity("n2", "i2", "127.0.0.1:2").make_record(log.next_epoch)
        log.append(claim, 2.0)
        self.assertEqual(LeaderLog(StoreClient(store.address, 2)).read_newest(2.0), [claim])


class TestUnreadableJobs(unittest.TestCase):
    JOB = "0123456789abcdef"

    def test_unreadable_submission_record(self) -> None:
        """Other jobs are accepted, and the unreadable one is marked as unstartable."""
        other = "f" * 16
        records = [KeyedRecord(self.JOB, b"\xc1"), KeyedRecord(other, encode(make_accepted_job()))]
        recorded = classify_records(records, {})
        self.assertEqual((set(recorded.accepted), recorded.unstartable), ({other}, {self.JOB}))

    def test_unreadable_progress_record(self) -> None:
        """A job with unreadable progress is not started, since it may already have run."""
        records = [KeyedRecord(self.JOB, encode(make_accepted_job()))]
        recorded = classify_records(records, {}, frozenset({self.JOB}))
        bench = Bench()
        bench.restore(recorded)
        bench.add_worker()
        bench.tick(1.0)
        self.assertEqual(bench.starts(bench.all_effects), [])

    def test_unreadable_job_is_not_reported_as_gone(self) -> None:
        """The status of an unreadable job is uncertain, unlike that of an unknown one."""
        statuses = JobStatusTable()
        statuses.add_unreadable([self.JOB])
        handle = types.SimpleNamespace(statuses=statuses, known_until=lambda job: float("inf"))
        election = types.SimpleNamespace(renewed_s=0.0)
        queries = LeaderQueries("n", election, types.SimpleNamespace(handle=handle), None)
        self.assertEqual(queries.local_status(self.JOB), (None, False))
        self.assertEqual(queries.local_status("f" * 16), (None, True))


class TestWholePath(unittest.TestCase):
    def test_valid_workers_serve_beside_malformed_entries(self) -> None:
        """Jobs run beside thousands of malformed entries, also after a change of leader."""
        cluster = EntryCluster(2)
        self.addCleanup(cluster.close)
        source = random.Random(SEED)
        for number, data in enumerate(malformed_entries(source, MALFORMED_ENTRIES)):
            cluster.store.put_raw("keyed.servers", f"x-{number}", data)
        self.assertTrue(cluster.wait_ready())
        self.run_job(cluster)
        cluster.store.put_raw("keyed.progress", "0" * 16, b"\xc1")
        cluster.store.put_raw("keyed.jobs", "1" * 16, b"\x91" * 500)
        cluster.leader.kill()
        self.assertTrue(wait_until(lambda: cluster.leader is not None))
        self.run_job(cluster)
        node = cluster.leader
        for unreadable in ("0" * 16, "1" * 16):
            self.assertNotEqual(node.call("GET", f"/jobs/{unreadable}")[0], 410)
        self.assertEqual(node.log_lines("leader_failed"), [])
        self.assertTrue(node.log_lines("worker_entry_unusable"))

    def run_job(self, cluster: EntryCluster) -> None:
        path, body = cluster.make_job([{"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 100}])
        node = cluster.leader
        self.assertTrue(wait_until(lambda: node.call("POST", path, body)[0] == 200))
        self.assertTrue(cluster.wait_state(path, "completed"))


if __name__ == "__main__":
    unittest.main()
