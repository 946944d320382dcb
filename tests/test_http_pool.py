"""Tests of the pool of HTTP connections to one address."""

import threading
import unittest

from snowdock.errors import CallUnanswered
from snowdock.platform.http_pool import HttpPool
from tests.standins.blackhole_server import BlackholeServer
from tests.standins.entry_cluster import wait_until

CONNECTIONS = 4


class TestSilentConnections(unittest.TestCase):
    def setUp(self) -> None:
        self.server = BlackholeServer()
        self.addCleanup(self.server.close)
        self.pool = HttpPool(self.server.address, CONNECTIONS)
        self.addCleanup(self.pool.close)

    def call(self, seconds: float) -> bool:
        """Make a call; tell whether it was answered."""
        try:
            self.pool.call("GET", "/", None, seconds)
        except CallUnanswered:
            return False
        return True

    def call_concurrently(self) -> list[bool]:
        """Make as many calls at the same time as the pool keeps connections."""
        self.server.may_answer.clear()
        received = self.server.received
        answered: list[bool] = []
        threads = [
            threading.Thread(target=lambda: answered.append(self.call(3.0)))
            for _ in range(CONNECTIONS)
        ]
        for thread in threads:
            thread.start()
        self.assertTrue(wait_until(lambda: self.server.received == received + CONNECTIONS))
        self.server.may_answer.set()
        for thread in threads:
            thread.join()
        return answered

    def test_silent_connections_cost_one_timeout(self) -> None:
        """Where all kept connections have gone silent, only the first call finds no answer."""
        self.assertEqual(self.call_concurrently(), [True] * CONNECTIONS)
        self.server.blackhole_open()
        self.assertFalse(self.call(0.3))
        self.assertEqual(self.call_concurrently(), [True] * CONNECTIONS)

    def test_answered_calls_keep_their_connections(self) -> None:
        """Without a time-out no further connection is opened."""
        self.call_concurrently()
        for _ in range(3 * CONNECTIONS):
            self.assertTrue(self.call(10.0))
        self.assertEqual(self.server.accepted, CONNECTIONS)


if __name__ == "__main__":
    unittest.main()
