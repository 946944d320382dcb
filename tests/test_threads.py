"""Tests that no thread of a node ends unseen."""

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
"""The long-lived threads of a node that leads."""

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
        """It is told to nobody."""
        self.assertEqual(self.run_to_end(ServiceThread(lambda: None, "t", lambda: True)), [])

    def test_failure(self) -> None:
        """Whatever ends the thread is told, also what would end the interpreter."""
        for error in (ValueError, SystemExit, KeyboardInterrupt):
            with self.subTest(error=error):
                self.lost.clear()

                def fail(error=error) -> None:
                    raise error("gone")

                self.assertEqual(self.run_to_end(ServiceThread(fail, "t")), ["t"])

    def test_failure_after_requested_end(self) -> None:
        """A thread that fails while it ends has failed all the same."""

        def fail() -> None:
            raise ValueError("gone")

        self.assertEqual(self.run_to_end(ServiceThread(fail, "t", lambda: True)), ["t"])

    def test_unrequested_return(self) -> None:
        """A thread that just returns is lost as well."""
        self.assertEqual(self.run_to_end(ServiceThread(lambda: None, "t")), ["t"])


class ThreadKillerProcess(EntryProcess):
    """A daemon one of whose threads is killed once it leads."""

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
    """A node that has lost any of its threads ends, and tells which one it was."""

    def check(self, kind: str) -> str | None:
        """Give what is wrong when a thread is killed; None where all is well."""
        process_class = type("Doomed", (ThreadKillerProcess,), {"kind": kind})
        cluster = EntryCluster(1, make_process=process_class)
        try:
            node = cluster.nodes[0]
            if not wait_until(lambda: node.process.poll() is not None, 30.0):
                return f"{kind}: the process runs on"
            if node.process.returncode != LOST_THREAD_STATUS:
                return f"{kind}: the process ended with {node.process.returncode}"
            lost_lines = node.log_lines("thread_lost")
            if len(lost_lines) != 1 or f"thread={kind}" not in lost_lines[0]:
                return f"{kind}: told {lost_lines}"
            return None
        finally:
            cluster.close()

    def test_each_thread(self) -> None:
        """Threads of each kind are killed, each in a process of its own, some at a time."""
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
