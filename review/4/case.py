"""Case 4: a timed job of which all times are past, by a client that nobody controls."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.one_request import play

_STEPS = [{"count": 1, "cpu": 100, "mem_mb": 16}]

play(
    str(pathlib.Path(__file__).resolve().parent),
    # Each minute for two years, beginning in 1970.
    {"spec": "minutely", "steps": _STEPS, "max_runs": 1_051_200, "interval_ms": 60_000},
    {"spec": "minutely", "steps": _STEPS, "max_runs": 3, "interval_ms": 60_000},
)
