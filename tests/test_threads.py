"""Tests that an unrequested end of a node's thread is detected."""

import subprocess
import sys
import threading
import unittest

from snowdock import threads
from snowdock.threads import ServiceThread, add_lost_thread_listener
from tests.standins.entry_cluster import EntryCluster, EntryProcess, wait_until

THREAD_NAMES = (
    "front",
    "probes",
    "peers",
    "election",
    "leadership",
    "settings",
    "tail-keyed.op",
    "tail-keyed.jobs",
    "tail-keyed.servers",
    "leader-ticks",
    "progress",
    "advisers",
    "worker-calls",
)
"""The long-lived threads of a leader."""

LOST_THREAD_STATUS = 70


class TestServiceThread(unittest.TestCase):
    def setUp(self) -> None:
        self.lost: list[str] = []
        add_lost_thread_listener(self.lost.append)
        self.addCleanup(threads._listeners.remove, self.lost.append)

    def run_to_end(self, thread: ServiceThread) -> list[str]:
        thread.start()
        thread.join()
        return self.lost

    def test_requested_end(self) -> None:
        """A requested end is not reported."""
        self.assertEqual(self.run_to_end(ServiceThread(lambda: None, "t", lambda: True)), [])

    def test_failure(self) -> None:
        """Any exception is reported, including those that would exit the interpreter."""
        for error in (ValueError, SystemExit, KeyboardInterrupt):
            with self.subTest(error=error):
                self.lost.clear()

                def fail(error=error) -> None:
                    raise error("gone")

                self.assertEqual(self.run_to_end(ServiceThread(fail, "t")), ["t"])

    def test_failure_after_requested_end(self) -> None:
        """A failure is reported even after the end was requested."""

        def fail() -> None:
            raise ValueError("gone")

        self.assertEqual(self.run_to_end(ServiceThread(fail, "t", lambda: True)), ["t"])

    def test_unrequested_return(self) -> None:
        """A return without a request is reported."""
        self.assertEqual(self.run_to_end(ServiceThread(lambda: None, "t")), ["t"])


class ThreadKillerProcess(EntryProcess):
    """A daemon that kills one of its threads once it is the leader."""

    kind = ""

    def start(self) -> None:
        self.process = None
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "tests.standins.thread_killer", self.kind],
                env=self.environment(),
                stdout=log,
                stderr=log,
            )


class TestLostThread(unittest.TestCase):
    """A node that has lost any of its threads exits and logs the thread's name."""

    def check(self, kind: str) -> str | None:
        """Kill a thread and return a description of what is wrong, or None."""
        process_class = type("Doomed", (ThreadKillerProcess,), {"kind": kind})
        cluster = EntryCluster(1, make_process=process_class)
        try:
            node = cluster.nodes[0]
            if not wait_until(lambda: node.process.poll() is not None, 30.0):
                return f"{kind}: the process is still running"
            if node.process.returncode != LOST_THREAD_STATUS:
                return f"{kind}: the process exited with {node.process.returncode}"
            lost_lines = node.log_lines("thread_lost")
            if len(lost_lines) != 1 or f"thread={kind}" not in lost_lines[0]:
                return f"{kind}: logged {lost_lines}"
            return None
        finally:
            cluster.close()

    def test_each_thread(self) -> None:
        """Each thread is killed in a separate process, three at a time."""
        results: list[str | None] = []
        parallel_limit = threading.Semaphore(3)

        def run(kind: str) -> None:
            with parallel_limit:
                results.append(self.check(kind))

        runners = [threading.Thread(target=run, args=(kind,)) for kind in THREAD_NAMES]
        for thread in runners:
            thread.start()
        for thread in runners:
            thread.join()
        self.assertEqual([problem for problem in results if problem], [])
        self.assertEqual(len(results), len(THREAD_NAMES))


if __name__ == "__main__":
    unittest.main()
