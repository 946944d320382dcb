"""Tests of logging: it is rate-limited and never blocks on a slow reader."""

import json
import os
import threading
import unittest

from snowdock import logs
from snowdock.logs import LogSink, format_line
from tests.standins.entry_cluster import wait_until


class TestLogSink(unittest.TestCase):
    def test_stalled_reader_only_drops_lines(self) -> None:
        """Writes do not block while the reader is stalled; dropped lines are counted and logged."""
        read_end, write_end = os.pipe()
        stream, reader = os.fdopen(write_end, "w"), os.fdopen(read_end)
        sink = LogSink(stream)
        for number in range(3 * logs._MAX_QUEUED_LINES):
            sink.write(f"event=x number={number} {'y' * 100}")
        self.assertGreater(sink.dropped, 0)
        reports: list[str] = []

        def read() -> None:
            reports.extend(line for line in reader if line.startswith("event=log_lines_dropped"))

        thread = threading.Thread(target=read, daemon=True)
        thread.start()
        self.assertTrue(wait_until(lambda: sink._lines.empty()))
        sink.write("event=after")
        sink.close()
        stream.close()
        thread.join(10)
        self.assertTrue(reports)
        reader.close()

    def test_rate_limit_per_event(self) -> None:
        """A burst of one kind of event does not limit other kinds; the excess is counted."""
        limiter = logs._RateLimiter()
        admitted = sum(limiter.admit("storm", 100)[0] for _ in range(1000))
        self.assertLessEqual(admitted, 200)
        self.assertTrue(limiter.admit("failure", 100)[0])
        left_out = sum(limiter._dropped.values())
        self.assertGreater(left_out, 0)

    def test_lines_are_key_value_pairs(self) -> None:
        """Values with spaces are quoted, floats are rounded and newlines are escaped."""
        line = format_line(
            {"timestamp": 1.5, "message_type": "placed", "a": "x y", "b": 0.12345, "c": "d\ne"}
        )
        self.assertEqual(line, 'time=1.500 event=placed a="x y" b=0.123 c="d\\ne"')

    def test_control_characters_end_a_line(self) -> None:
        """Text of other programs with a carriage return began a line of its own."""
        text = "a\r\x0b\x0c\x1c\x85\u2028time=1.0\x00\ud800"
        line = format_line(
            {"timestamp": 1.5, "message_type": "placed", "a": text, "b": [text[:-1]]}
        )
        self.assertEqual(len(line.splitlines()), 1)
        self.assertTrue(line.replace(" ", "").isprintable())
        self.assertEqual(json.loads(line.partition(" a=")[2].partition(" b=")[0]), text)


if __name__ == "__main__":
    unittest.main()
