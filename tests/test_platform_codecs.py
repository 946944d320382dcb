"""Tests of the encoding and decoding of the platform's files, entries and bodies."""

import json
import pathlib
import tempfile
import unittest

from hypothesis import given
from hypothesis import strategies as st

from snowdock.declarations import Size
from snowdock.errors import InvalidInput, PlatformError, SettingsUnreadable
from snowdock.jobs.model import JobStatus, TaskId
from snowdock.jobs.progress import AcceptedJob, decode_accepted, decode_progress, encode
from snowdock.platform.configuration import decode_configuration
from snowdock.platform.job_bodies import decode_job, encode_status, is_job_id
from snowdock.platform.node_settings import JobLimits, read_node_environment
from snowdock.platform.worker_calls import format_task, parse_task
from snowdock.platform.worker_entries import decode_worker_entry
from tests.standins.entry_cluster import CONFIGURATION

STEP = {"count": 3, "cpu": 500, "mem_mb": 64}


class TestJobBodies(unittest.TestCase):
    def test_every_field_reaches_its_type(self) -> None:
        """Each field of a body is decoded into its field of the job."""
        step = {
            **STEP,
            "gpu": 1,
            "estimate_ms": 900.5,
            "checkpointing": True,
            "gang": True,
            "same_rack": True,
            "requires": "a",
            "affinity": "r1-3",
            "anti_affinity": 2,
            "speculative": True,
            "long_running": True,
            "image": "i",
            "target_ms": 20,
            "fills": True,
            "may_miss": 1,
            "unknown": 5,
        }
        body = {"spec": "x", "steps": [STEP, {**step, "after": [0]}], "max_runs": 2}
        body |= {"initial_delay_ms": 1_700_000_000_000, "interval_ms": 500}
        job = decode_job("q", json.dumps(body).encode())
        second = job.steps[1]
        self.assertEqual((job.queue, job.payload, job.repetitions), ("q", "x", 2))
        self.assertEqual((job.first_due_ms, job.interval_ms), (1_700_000_000_000, 500))
        self.assertEqual(second.size, Size(500, 64, 1))
        self.assertEqual(second.room, Size(0, 64, 1))
        self.assertEqual((second.after, second.most_per_worker), ((0,), 2))
        self.assertEqual((second.label, second.data_rack), ("a", "r1-3"))
        self.assertTrue(second.gang and second.same_rack and second.long_running)

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_rejected(self, data: bytes) -> None:
        """Any malformed body raises InvalidInput."""
        with self.assertRaises(InvalidInput):
            decode_job("q", data)

    def test_times_that_no_record_can_hold(self) -> None:
        """A time of hundreds of digits was accepted, and its record could not be encoded."""
        for field in ("estimate_ms", "target_ms"):
            body = {"spec": "x", "steps": [{**STEP, field: 1e300}]}
            with self.assertRaises(InvalidInput):
                decode_job("q", json.dumps(body).encode())
        with self.assertRaises(InvalidInput):
            decode_job(
                "q", json.dumps({"spec": "", "steps": [STEP], "initial_delay_ms": 10**400}).encode()
            )

    def test_longest_list_of_earlier_steps(self) -> None:
        """A step names as many earlier steps as a job can have, and no more."""
        for count, is_valid in ((100, True), (101, False)):
            steps = [{"count": 1}, {"count": 1, "after": [0] * count}]
            body = json.dumps({"spec": "", "steps": steps}).encode()
            if is_valid:
                self.assertEqual(len(decode_job("q", body).steps[1].after), count)
            else:
                with self.assertRaises(InvalidInput):
                    decode_job("q", body)

    def test_job_ids(self) -> None:
        """A job id has exactly 16 lower-case hexadecimal digits."""
        self.assertTrue(is_job_id("0123456789abcdef"))
        for text in ("", "0123456789abcde", "0123456789abcdefa", "0123456789ABCDEF", "x" * 16):
            self.assertFalse(is_job_id(text))

    def test_statuses(self) -> None:
        """Each status is encoded as its own name."""
        words = {json.loads(encode_status(status))["state"] for status in JobStatus}
        self.assertEqual(words, {"pending", "running", "completed", "failed", "cancelled"})


class TestTaskNames(unittest.TestCase):
    @given(st.integers(0, 9), st.integers(0, 99), st.integers(0, 999))
    def test_names_are_read_back(self, repetition: int, step: int, index: int) -> None:
        """Parsing a formatted task name returns the task."""
        task = TaskId("a" * 16, repetition, step, index)
        self.assertEqual(parse_task(format_task(task)), task)

    def test_malformed_names(self) -> None:
        """A malformed name raises PlatformError."""
        for name in ("", "a", "a.b.c.d", "a.0.0"):
            with self.assertRaises(PlatformError):
                parse_task(name)


class TestConfiguration(unittest.TestCase):
    def test_queues_are_found_by_host_and_longest_prefix(self) -> None:
        """The queue with the host's longest matching prefix is found."""
        found = decode_configuration(json.dumps(CONFIGURATION).encode())
        self.assertEqual(found.version, 3)
        cases = {
            ("jobs.example", "/jobs/x"): "jobs",
            ("jobs.example", "/jobs/advised/x"): "advised",
            ("jobs.example", "/job"): None,
            ("other.example", "/jobs/x"): None,
        }
        for (host, path), name in cases.items():
            queue = found.find_queue(host, path)
            self.assertEqual(queue.name if queue else None, name)
        self.assertEqual(found.find_queue_by_name("advised").advice.valid_ms, 2000)
        self.assertEqual(found.limits.max_body_bytes, 20_000)

    def test_malformed_configuration(self) -> None:
        """A malformed configuration raises PlatformError."""
        for data in (b"", b"{}", b'{"version":"x"}', b'{"version":1,"routes":[{}]}'):
            with self.assertRaises(PlatformError):
                decode_configuration(data)


class TestWorkerEntries(unittest.TestCase):
    def test_entry(self) -> None:
        """Rack, capacity and state are decoded; unknown fields are ignored."""
        entry = decode_worker_entry(
            "i-1",
            b'{"service":"s","address":"1.2.3.4:5","zone":"z","state":"draining","seq":4,'
            b'"version":"v1","slots":8,"cold_left_ms":0,"later":[1],'
            b'"capacity":{"cpu":16000,"mem_mb":9,"gpu":0},"labels":["a","r1-3"],'
            b'"remaining_ms":700}',
        )
        self.assertEqual((entry.life, entry.rack, entry.hall), ("i-1", "r1-3", "z"))
        self.assertEqual(entry.capacity, Size(16_000, 9, 0))
        self.assertTrue(entry.draining)
        self.assertEqual(entry.remaining_ms, 700)

    def test_malformed_entry(self) -> None:
        """A malformed entry raises PlatformError."""
        with self.assertRaises(PlatformError):
            decode_worker_entry("i-1", b'{"service":1}')


class TestSettings(unittest.TestCase):
    def test_unusable_files(self) -> None:
        """Missing, malformed and incomplete files raise SettingsUnreadable."""
        with tempfile.TemporaryDirectory() as folder:
            for text in (None, "= 1", 'node = "a"', "node = 1"):
                path = pathlib.Path(folder, "settings.toml")
                if text is not None:
                    path.write_text(text)
                with self.assertRaises(SettingsUnreadable):
                    read_node_environment(str(path))

    def test_fields(self) -> None:
        """Units are converted to seconds and cores; unknown fields are ignored."""
        text = """
node = "n"
ip = "10.0.0.1"
zone = "z"
port_range = [7720, 7735]
heartbeat_ms = 1500
later = [1]
[listen]
front = "10.0.0.1:1"
ready = "10.0.0.1:2"
[limits]
cpu_share = 0.5
cores = 2
[bounds]
hold_max_ms = 6000
[platform]
address = "10.0.0.9:3"
"""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "settings.toml")
            path.write_text(text)
            found = read_node_environment(str(path))
        self.assertEqual((found.peer_address, found.cpu_cores), ("10.0.0.1:7720", 1.0))
        self.assertEqual((found.lease_limit_s, found.worker_heartbeat_s), (6.0, 1.5))
        self.assertEqual(found.store.address, "10.0.0.9:3")
        self.assertEqual(found.jobs, JobLimits())

    def test_limits_on_jobs(self) -> None:
        """Limits follow from the memory unless they are stated; unusable ones are rejected."""
        text = """
node = "n"
ip = "10.0.0.1"
zone = "z"
port_range = [7720, 7735]
[listen]
[platform]
address = "10.0.0.9:3"
[limits]
memory_mb = {}
[jobs]
{}
"""

        def read(memory_mb: int, jobs: str) -> tuple[int, int, int]:
            path.write_text(text.format(memory_mb, jobs))
            found = read_node_environment(str(path))
            return found.max_job_objects, found.max_job_bytes, found.jobs.max_gang_tasks

        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "settings.toml")
            self.assertEqual(read(160, ""), (50_000, 20_000_000, 1000))
            self.assertEqual(read(1, ""), (10_000, 125_000, 1000))
            stated = "max_objects = 10000\nmax_bytes = 7\nmax_gang_tasks = 20"
            self.assertEqual(read(160, stated), (10_000, 7, 20))
            for unusable in ("max_objects = 9999", "max_bytes = -1", "max_gang_tasks = 0"):
                with self.subTest(unusable), self.assertRaises(SettingsUnreadable):
                    read(160, unusable)


class TestRecords(unittest.TestCase):
    def test_accepted_job_is_read_back(self) -> None:
        """Decoding an encoded submission record returns the record."""
        job = decode_job("q", json.dumps({"spec": "x", "steps": [STEP]}).encode())
        record = AcceptedJob(job, 5, "s", 1, 3)
        self.assertEqual(decode_accepted(encode(record)), record)

    @given(st.binary(max_size=100))
    def test_unusable_records(self, data: bytes) -> None:
        """Malformed records raise InvalidInput."""
        for decode in (decode_accepted, decode_progress):
            with self.assertRaises(InvalidInput):
                decode(data)


if __name__ == "__main__":
    unittest.main()
