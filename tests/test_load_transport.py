"""Test of the load summary on its way between real entry daemons."""

import unittest

from tests.standins.entry_cluster import EntryCluster, EntryProcess, wait_until

SMALL = {"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 100}


class PressureProcess(EntryProcess):
    def write_settings(self) -> None:
        super().write_settings()
        self.settings.write_text(f'contracts = ["pressure"]\n{self.settings.read_text()}')


class TestTransport(unittest.TestCase):
    def test_all_nodes_know_the_load(self) -> None:
        """Guards against nodes that get no summary, from the first leader or from its successor."""
        cluster = EntryCluster(2, make_process=PressureProcess)
        self.addCleanup(cluster.close)
        self.assertTrue(cluster.wait_ready())
        leader = cluster.leader
        (other,) = (node for node in cluster.nodes if node is not leader)
        for node in cluster.nodes:
            self.assertTrue(wait_until(lambda node=node: node.log_lines("load_summary_seen")))
        leader.kill()
        self.assertTrue(wait_until(lambda: len(other.log_lines("load_summary_seen")) == 2))
        path, body = cluster.make_job([SMALL])
        self.assertEqual(other.call("POST", path, body)[0], 200)
        self.assertTrue(wait_until(lambda: other.log_lines("wait_prediction")))
