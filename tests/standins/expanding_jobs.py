"""Bodies of jobs of a few bytes that expand to a million tasks."""

STEP = {"count": 1, "cpu": 100, "mem_mb": 16}
OVERDUE_TIMES = {"steps": [STEP], "max_runs": 1_051_200, "interval_ms": 60_000}
MILLION_TASKS = {"steps": [{**STEP, "count": 10_000}] * 100}
UNHELD_TASKS = {"steps": [{**STEP, "count": 10_000, "cpu": 10**9}] * 100}
