"""Measure the size of the log's batches at the peak: ``python -m bench.log_bytes``.

Nine nodes append their pending records at fixed intervals, while 280 tasks per second are placed,
started and ended in the cluster. Compares the columnar codec with rows of plain records.
"""

import random
import time
import zlib

import msgspec

from snowdock.records import (
    AttemptEnded,
    AttemptStarted,
    Batch,
    Placement,
    TasksPlaced,
    decode_batch,
    encode_batch,
)

NODES = 9
RATE = 280
SECONDS = 20
WORKERS = 1_300
TASKS_A_WORK = 25
INTERVALS_MS = (50, 100, 250, 500, 1000)


def make_batches(interval_ms: int) -> list[Batch]:
    """Make the batches of `SECONDS` at the peak."""
    source = random.Random(7)
    batches = []
    per_batch = RATE * interval_ms / 1000 / NODES
    owed = 0.0
    for step in range(SECONDS * 1000 // interval_ms):
        for node in range(NODES):
            owed += per_batch
            count, owed = int(owed), owed - int(owed)
            at_ms = 1_796_215_278_112 + step * interval_ms
            records = _records(source, count, step)
            if records:
                batches.append(
                    Batch(f"entry-{node}", f"{node:012x}", step, step * NODES, at_ms, records)
                )
    return batches


def _records(source: random.Random, count: int, step: int) -> list:
    records: list = []
    base = 40_960_000 + step * 4096
    for _ in range(count):
        work = base + source.randrange(40)
        task = source.randrange(TASKS_A_WORK)
        worker = f"w{source.randrange(WORKERS):04}"
        records.append(TasksPlaced(work, [Placement(task, worker)]))
        records.append(AttemptStarted(work - 8192, source.randrange(TASKS_A_WORK), 1))
        records.append(AttemptEnded(work - 81920, source.randrange(TASKS_A_WORK), 1, "succeeded"))
    return sorted(records, key=lambda record: type(record).__name__)


def encode_rows(batch: Batch) -> bytes:
    """Encode a batch with one row per record, as a baseline."""
    return zlib.compress(msgspec.msgpack.encode(batch), 6)


def main() -> None:
    """Measure each interval."""
    for interval_ms in INTERVALS_MS:
        batches = make_batches(interval_ms)
        rows = sum(len(encode_rows(batch)) for batch in batches) / SECONDS
        started = time.process_time()
        data = [encode_batch(batch) for batch in batches]
        encoding = (time.process_time() - started) / SECONDS
        started = time.process_time()
        for raw in data:
            decode_batch(raw)
        decoding = (time.process_time() - started) / SECONDS
        size = sum(map(len, data)) / SECONDS
        print(
            f"each {interval_ms:4} ms: {len(batches) / SECONDS:6.1f} appends/s, "
            f"rows {rows:7.0f} B/s, in use {size:7.0f} B/s ({size / rows:.2f}), "
            f"encode {encoding * 100 / NODES:.2f} %, decode {decoding * 100:.2f} % of a core",
            flush=True,
        )


if __name__ == "__main__":
    main()
