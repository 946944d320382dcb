"""Case 5: a job of a million tasks in a body of 3 KB, by a client that nobody controls."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.one_request import play

_STEP = {"count": 10_000, "cpu": 100, "mem_mb": 16}

play(
    str(pathlib.Path(__file__).resolve().parent),
    {"spec": "many", "steps": [_STEP] * 100},
    {"spec": "many", "steps": [{**_STEP, "count": 10}] * 3},
)
