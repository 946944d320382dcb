"""Tests of the reducer against the naive model, and of single rules."""

import collections
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from snowdock.declarations import Declarations, Endpoint, Limits, Size, Team, WorkSpec
from snowdock.effects import Accepted, BatchApplied
from snowdock.leases import earliest_loss_ms
from snowdock.records import (
    AttemptEnded,
    AttemptLost,
    AttemptStarted,
    Batch,
    ConfigurationProposed,
    MinionSeen,
    NodeGone,
    NodeJoined,
    Placement,
    SlotsTaken,
    StopRequested,
    TasksPlaced,
    WorkCancelled,
    WorkerGone,
    WorkerLeaving,
    WorkerSeen,
    WorkSubmitted,
)
from snowdock.reducer import Entry, reduce
from snowdock.reducer._common import FINISHED_TASKS_KEPT, KEY_WINDOW_MS
from snowdock.state import (
    State,
    TaskState,
    decode_state,
    digest,
    encode_state,
    parse_attempt_id,
)
from tests import naive

WORKERS = {"w0": (4000, 4096, 0), "w1": (4000, 8192, 2), "w2": (2000, 2048, 0)}
QUOTA = (8000, 8192, 2)
LIMITS = Limits(lease_ms=1000, clock_margin_ms=100)
TEAM = Team(cpu=QUOTA[0] / 1000, memory_gb=QUOTA[1] / 1024, accelerators=QUOTA[2])


class LogHarness:
    """Applies batches of records to a state and keeps them as log entries."""

    def __init__(self) -> None:
        self.state = State()
        self.entries: list[Entry] = []
        self.now_ms = 1000
        self._sequence = 0
        self.append(NodeJoined("n", "i", "h", "", ""))
        self.append(ConfigurationProposed(0, Declarations(teams={"t": TEAM}, limits=LIMITS), ""))
        for name, size in WORKERS.items():
            self.append(WorkerSeen(name, "b", Size(*size), "r", "h", ""))

    def append(
        self, *records, read_offset: int | None = None, node: str = "n", incarnation: str = "i"
    ):
        """Apply a batch and return for each record whether it was accepted."""
        self._sequence += 1
        read_offset = self.state.offset if read_offset is None else read_offset
        batch = Batch(node, incarnation, self._sequence, read_offset, self.now_ms, list(records))
        entry = Entry(self.state.offset + 1, batch)
        self.entries.append(entry)
        effects = reduce(self.state, entry)
        applied = [effect for effect in effects if isinstance(effect, BatchApplied)]
        return [isinstance(v, Accepted) for effect in applied for v in effect.verdicts]

    def submit(self, spec: WorkSpec) -> int:
        self.append(WorkSubmitted(f"k{self._sequence}", spec))
        return next(reversed(self.state.works))


SIZES = (Size(1000, 1024), Size(2000, 512), Size(500, 2048, 1), Size(3000, 3000), Size(500, 500))
OUTCOMES = ("succeeded", "succeeded", "failed", "failed", "absent", "lapsed")
STREAM_LENGTH = 40


class RecordGenerator:
    """Generates records that are mostly plausible, and sometimes late, repeated or invalid.

    They are drawn with regard to the state, since few placements would be valid otherwise.
    """

    def __init__(self, seed: int, log: LogHarness) -> None:
        self._rng = random.Random(seed)
        self._log = log
        self._generators = (
            *(self._submit,) * 3,
            *(self._place,) * 8,
            *(self._start,) * 4,
            *(self._end,) * 6,
            *(self._cancel,) * 1,
            *(self._withdraw,) * 1,
        )

    @property
    def _state(self) -> State:
        return self._log.state

    def make(self):
        """Return the next record, or None to repeat the last batch."""
        if self._rng.random() < 0.1:
            return None
        return self._rng.choice(self._generators)()

    def _any_work(self) -> int:
        return self._rng.choice([*self._state.works, 1])

    def _submit(self) -> WorkSubmitted:
        rng = self._rng
        spec = WorkSpec(
            kind=rng.choice(["batch", "gang"]),
            name="x",
            team=rng.choice(["t"] * 9 + ["unknown"]),
            tasks=rng.randint(1, 4),
            size=rng.choice(SIZES),
            retries=rng.randint(0, 1),
        )
        return WorkSubmitted(f"key-{len(self._log.entries)}", spec)

    def _place(self) -> TasksPlaced:
        rng, number = self._rng, self._any_work()
        work = self._state.works.get(number)
        queued = work.queued if work else [0]
        if work and work.spec.kind == "batch" and queued:
            queued = rng.sample(queued, rng.randint(1, len(queued)))
        if rng.random() < 0.1:
            queued = [*queued, rng.randint(0, 4)]
        names = [*WORKERS, *WORKERS, "w9"] if rng.random() < 0.2 else list(WORKERS)
        return TasksPlaced(number, [Placement(task, rng.choice(names)) for task in queued])

    def _attempt(self) -> tuple[int, int, int]:
        held = [parse_attempt_id(n) for w in self._state.workers.values() for n in w.attempts]
        if held and self._rng.random() < 0.85:
            return self._rng.choice(held)
        return self._any_work(), self._rng.randint(0, 4), self._rng.randint(1, 2)

    def _start(self) -> AttemptStarted:
        return AttemptStarted(*self._attempt())

    def _end(self) -> AttemptEnded:
        return AttemptEnded(*self._attempt(), self._rng.choice(OUTCOMES))

    def _cancel(self) -> WorkCancelled:
        return WorkCancelled(self._any_work())

    def _withdraw(self) -> WorkerLeaving | WorkerGone:
        name = self._rng.choice(list(WORKERS))
        return WorkerLeaving(name) if self._rng.random() < 0.7 else WorkerGone(name, "b")


class TestAgainstNaiveModel(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(st.integers(0, 2**32))
    def test_matches_naive_model(self, seed: int) -> None:
        """Verdicts, tasks and used capacity equal those of the naive model after each record."""
        log, history = LogHarness(), []
        stream = RecordGenerator(seed, log)
        for _ in range(STREAM_LENGTH):
            record = stream.make()
            if record is None:
                self._check_repeated_batch(log)
                continue
            model = naive.replay(history, WORKERS, QUOTA)
            expected = naive.is_valid(model, record)
            self.assertEqual(log.append(record), [expected], record)
            if expected:
                history.append((next(reversed(log.state.works), 0), record))
            self._check_state(log.state, naive.replay(history, WORKERS, QUOTA))

    def test_streams_cover_accepted_and_rejected_records(self) -> None:
        """Guards against vacuous streams: each record type is both accepted and rejected."""
        seen = collections.Counter()
        for seed in range(200):
            log = LogHarness()
            stream = RecordGenerator(seed, log)
            for _ in range(STREAM_LENGTH):
                record = stream.make()
                if record is not None:
                    (valid,) = log.append(record)
                    seen[type(record), valid] += 1
        kinds = {kind for kind, _ in seen}
        for kind in kinds:
            for valid in (True, False):
                self.assertGreater(seen[kind, valid], 5, f"{kind.__name__} {valid}")

    def _check_repeated_batch(self, log: LogHarness) -> None:
        """Check that a repeated batch leaves the state unchanged."""
        before = digest(log.state)
        offset = log.state.offset
        reduce(log.state, Entry(offset + 1, log.entries[-1].batch))
        log.state.offset = offset
        self.assertEqual(digest(log.state), before)

    def _check_state(self, state: State, model: dict) -> None:
        tasks = {
            (work.number, n): (task.state.value, task.attempt, task.failures, task.losses)
            for work in state.works.values()
            for n, task in enumerate(work.tasks)
        }
        expected = {
            key: (task["state"], task["attempt"], task["failures"], task["losses"])
            for key, task in model["tasks"].items()
        }
        self.assertEqual(tasks, expected)
        for name, worker in state.workers.items():
            held = (worker.used.cpu, worker.used.memory, worker.used.accelerators)
            self.assertEqual(held, naive.used(model, name))
        queued = sum(task["state"] == "queued" for task in model["tasks"].values())
        self.assertEqual(state.queued_tasks, queued)
        for work in state.works.values():
            states = [model["tasks"][key]["state"] for key in naive.task_keys(model, work.number)]
            self.assertEqual(work.is_finished, all(state in naive.FINAL_STATES for state in states))

    @settings(max_examples=50, deadline=None)
    @given(st.integers(0, 2**32), st.integers(0, STREAM_LENGTH))
    def test_snapshot_and_remaining_entries_restore_state(self, seed: int, cut: int) -> None:
        """A snapshot at any offset and the entries after it give the same digest."""
        log = LogHarness()
        stream = RecordGenerator(seed, log)
        for _ in range(STREAM_LENGTH):
            record = stream.make()
            if record is not None:
                log.append(record)
        snapshot = State()
        for entry in log.entries[:cut]:
            reduce(snapshot, entry)
        restored = decode_state(encode_state(snapshot))
        # Entries that the snapshot covers are ignored.
        for entry in log.entries:
            reduce(restored, entry)
        self.assertEqual(digest(restored), digest(log.state))


class TestAttemptLoss(unittest.TestCase):
    def setUp(self) -> None:
        self.log = LogHarness()
        self.log.append(
            NodeJoined("m", "j", "h", "", ""), node="m", incarnation="j", read_offset=-1
        )
        spec = WorkSpec("batch", "x", "t", 1, Size(1000, 1024))
        self.work = self.log.submit(spec)
        self.log.append(TasksPlaced(self.work, [Placement(0, "w0")]))
        self.lost = AttemptLost(self.work, 0, 1)

    def test_requires_gone_worker(self) -> None:
        """An attempt is not lost while its worker is silent but not gone."""
        self.log.now_ms += 10**9
        self.assertEqual(self.log.append(self.lost), [False])

    def test_requires_confirmation_by_every_member(self) -> None:
        """The loss is rejected until each member has confirmed the fence or is gone."""
        self.log.append(WorkerGone("w0", "b"))
        self.log.now_ms += 10**9
        self.assertEqual(self.log.append(self.lost), [False])
        self.log.append(NodeGone("m", "j"))
        self.log.now_ms += 10**9
        self.assertEqual(self.log.append(self.lost), [True])

    def test_requires_lease_expiry(self) -> None:
        """The loss is rejected in the last millisecond of the lease and accepted after it."""
        self.log.append(WorkerGone("w0", "b"))
        self.log.append(read_offset=self.log.state.offset)
        self.log.append(node="m", incarnation="j", read_offset=self.log.state.offset)
        fenced = self.log.state.workers["w0"].fenced_ms
        self.assertEqual(fenced, self.log.now_ms)
        self.log.now_ms = earliest_loss_ms(fenced, LIMITS.lease_ms, LIMITS.clock_margin_ms)
        self.assertEqual(self.log.append(self.lost), [False])
        self.log.now_ms += 1
        self.assertEqual(self.log.append(self.lost), [True])
        task = self.log.state.works[self.work].tasks[0]
        self.assertEqual(task.state, TaskState.QUEUED)


class TestRepeatedLoss(unittest.TestCase):
    """A task whose running attempts are lost repeatedly may be what crashes its workers."""

    def task_states(self, kind: str, started: bool) -> list[TaskState]:
        """Return the task's state after each of up to six attempts that end as absent."""
        log = LogHarness()
        work = log.submit(WorkSpec(kind, "x", "t", 1, Size(1000, 1024)))
        states = []
        for attempt in range(1, 7):
            if log.append(TasksPlaced(work, [Placement(0, "w0")])) != [True]:
                break
            if started:
                log.append(AttemptStarted(work, 0, attempt))
            log.append(AttemptEnded(work, 0, attempt, "absent"))
            states.append(log.state.works[work].tasks[0].state)
        return states

    def test_task_fails_after_five_losses(self) -> None:
        """The task fails after five running attempts have been lost."""
        expected = [TaskState.QUEUED] * 4 + [TaskState.FAILED]
        self.assertEqual(self.task_states("batch", started=True), expected)

    def test_unstarted_attempts_are_not_counted(self) -> None:
        """Attempts that never started do not count as losses."""
        self.assertEqual(self.task_states("batch", started=False), [TaskState.QUEUED] * 6)


class TestStops(unittest.TestCase):
    def test_non_preemptible_work_is_not_stopped(self) -> None:
        """A request to stop an attempt of non-preemptible work is rejected."""
        log = LogHarness()
        spec = WorkSpec("batch", "x", "t", 1, Size(1000, 1024), preemptible=False)
        work = log.submit(spec)
        log.append(TasksPlaced(work, [Placement(0, "w0")]))
        self.assertEqual(log.append(StopRequested(work, 0, 1, "stop")), [False])

    def test_retired_incarnation_is_ignored(self) -> None:
        """Batches of a replaced incarnation are ignored."""
        log = LogHarness()
        log.append(NodeJoined("n", "i2", "h", "", ""), incarnation="i2")
        spec = WorkSpec("batch", "x", "t", 1, Size(1000, 1024))
        self.assertEqual(log.append(WorkSubmitted("k", spec), incarnation="i"), [])
        self.assertEqual(log.state.works, {})

    def test_repeated_batch_is_ignored(self) -> None:
        """The slots of a batch that was appended twice are taken once."""
        log = LogHarness()
        base = log.state.configuration.version
        endpoints = {"e": Endpoint("g", slots=8)}
        log.append(ConfigurationProposed(base, Declarations(endpoints=endpoints), ""))
        log.append(MinionSeen("m", "g", "h", ""))
        self.assertEqual(log.append(SlotsTaken("m", 3)), [True])
        reduce(log.state, Entry(log.state.offset + 1, log.entries[-1].batch))
        self.assertEqual(log.state.minions["m"].shares, {"n": 3})


class TestFinishedWork(unittest.TestCase):
    def setUp(self) -> None:
        self.log = LogHarness()

    def run_work(self, key: str, tasks: int) -> int:
        spec = WorkSpec("batch", "x", "t", tasks, Size(1, 1))
        self.log.append(WorkSubmitted(key, spec))
        work = next(reversed(self.log.state.works))
        placed = TasksPlaced(work, [Placement(n, "w1") for n in range(tasks)])
        self.assertEqual(self.log.append(placed), [True])
        self.log.append(*(AttemptEnded(work, n, 1, "succeeded") for n in range(tasks)))
        return work

    def test_old_tasks_are_compacted_into_counts(self) -> None:
        """The number of tasks kept is bounded; older finished works keep only their counts."""
        size = FINISHED_TASKS_KEPT // 4
        first = self.run_work("first", size)
        for number in range(6):
            self.run_work(f"k{number}", size)
        state = self.log.state
        self.assertLessEqual(sum(len(w.tasks) for w in state.works.values()), 4 * size)
        self.assertEqual(state.works[first].counts, {"succeeded": size})
        self.assertTrue(state.works[first].is_finished)

    def test_key_is_kept_after_compaction(self) -> None:
        """A key identifies its work for the whole window, also after the work is compacted."""
        size = FINISHED_TASKS_KEPT // 4
        first = self.run_work("first", size)
        for number in range(6):
            self.run_work(f"k{number}", size)
        spec = WorkSpec("batch", "x", "t", size, Size(1, 1))
        count = len(self.log.state.works)
        self.assertEqual(self.log.append(WorkSubmitted("first", spec)), [True])
        self.assertEqual(len(self.log.state.works), count)
        self.log.now_ms += KEY_WINDOW_MS + 1
        self.run_work("later", 1)
        self.assertFalse(first in self.log.state.works)
        self.assertFalse("first" in self.log.state.work_keys)
