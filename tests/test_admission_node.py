"""End-to-end test of admission control: entry daemons with the contract for it."""

import unittest

from tests.standins.entry_cluster import EntryCluster, EntryProcess, wait_until

SMALL = {"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 100}
HUGE = {**SMALL, "cpu": 500_000}


class PressureProcess(EntryProcess):
    def write_settings(self) -> None:
        super().write_settings()
        self.settings.write_text('contracts = ["pressure"]\n' + self.settings.read_text())


class TestAdmissionOnNodes(unittest.TestCase):
    def test_refusals_follow_the_leaders_summary(self) -> None:
        """Guards against nodes that get no summary, and against refusing jobs that fit."""
        cluster = EntryCluster(2, make_process=PressureProcess)
        self.addCleanup(cluster.close)
        self.assertTrue(cluster.wait_ready())
        for node in cluster.nodes:
            refused = []

            def refuses_unplaceable(node=node, refused=refused) -> bool:
                path, body = cluster.make_job([HUGE])
                status, answer, headers = node.call("POST", path, body)
                if status == 503 and answer["code"] == "unplaceable":
                    refused.append((path, headers["Retry-After"]))
                return bool(refused)

            self.assertTrue(wait_until(refuses_unplaceable))
            path, retry_after = refused[0]
            self.assertEqual(retry_after, "60")
            job = path.rpartition("/")[2]
            self.assertTrue(self.wait_for_line(node, "job_refused", job))
            self.assertEqual(cluster.state(node, path), "410")
            path, body = cluster.make_job([SMALL])
            self.assertEqual(node.call("POST", path, body)[0], 200)
            self.assertTrue(cluster.wait_state(path, "completed"))

    @staticmethod
    def wait_for_line(node: EntryProcess, event: str, text: str) -> bool:
        """Wait for a log line, which a node's log thread may write after its response."""
        return wait_until(lambda: any(text in line for line in node.log_lines(event)))


if __name__ == "__main__":
    unittest.main()
