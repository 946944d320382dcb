"""Tests of the encoding of the shared state."""

import unittest

from snowdock.declarations import Size, WorkSpec
from snowdock.state import State, Task, Work, decode_state, digest, encode_state


class TestEncoding(unittest.TestCase):
    def test_state_with_work_round_trip(self) -> None:
        """A state with integer map keys can be encoded and decoded (issue 4)."""
        spec = WorkSpec("batch", "x", "t", 1, Size(1, 1))
        state = State(works={7: Work(7, "k", spec, [Task()], 1)})
        again = decode_state(encode_state(state))
        self.assertEqual(again, state)
        self.assertEqual(digest(again), digest(state))
