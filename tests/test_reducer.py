"""Tests of the reducer: against the naive version, and of single rules."""

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
    """Feeds batches of single records to a state and remembers them."""

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
        """Reduce a batch; give whether each record was valid."""
        self._sequence += 1
        read_offset = self.state.offset if read_offset is None else read_offset
        batch = Batch(node, incarnation, self._sequence, read_offset, self.now_ms, list(records))
        entry = Entry(self.state.offset + 1, batch)
        self.entries.append(entry)
        effects = reduce(self.state, entry)
        judged = [effect for effect in effects if isinstance(effect, BatchApplied)]
        return [isinstance(v, Accepted) for effect in judged for v in effect.verdicts]

    def submit(self, spec: WorkSpec) -> int:
        self.append(WorkSubmitted(f"k{self._sequence}", spec))
        return next(reversed(self.state.works))


SIZES = (Size(1000, 1024), Size(2000, 512), Size(500, 2048, 1), Size(3000, 3000), Size(500, 500))
OUTCOMES = ("succeeded", "succeeded", "failed", "failed", "absent", "lapsed")
STREAM_LENGTH = 40


class RecordGenerator:
    """Makes records that are mostly plausible, and sometimes late, repeated or nonsense.

    Without a look at the state hardly one placement in hundreds would be valid.
    """

    def __init__(self, seed: int, journal: LogHarness) -> None:
        self._rng = random.Random(seed)
        self._log = journal
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
        """Make the next record, or give None for a repetition of the last batch."""
        if self._rng.random() < 0.1:
            return None
        return self._rng.choice(self._generators)()

    def _any_work(self) -> int:
        return self._rng.choice([*self._state.works, 1])

    def _submit(self) -> WorkSubmitted:
        source = self._rng
        spec = WorkSpec(
            kind=source.choice(["batch", "gang"]),
            name="x",
            team=source.choice(["t"] * 9 + ["unknown"]),
            tasks=source.randint(1, 4),
            size=source.choice(SIZES),
            retries=source.randint(0, 1),
        )
        return WorkSubmitted(f"key-{len(self._log.entries)}", spec)

    def _place(self) -> TasksPlaced:
        source, number = self._rng, self._any_work()
        work = self._state.works.get(number)
        queued = work.queued if work else [0]
        if work and work.spec.kind == "batch" and queued:
            queued = source.sample(queued, source.randint(1, len(queued)))
        if source.random() < 0.1:
            queued = [*queued, source.randint(0, 4)]
        names = [*WORKERS, *WORKERS, "w9"] if source.random() < 0.2 else list(WORKERS)
        return TasksPlaced(number, [Placement(task, source.choice(names)) for task in queued])

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
        """Verdicts, tasks and room are those of the naive version after every record."""
        journal, history = LogHarness(), []
        stream = RecordGenerator(seed, journal)
        for _ in range(STREAM_LENGTH):
            record = stream.make()
            if record is None:
                self._repeat(journal)
                continue
            model = naive.replay(history, WORKERS, QUOTA)
            expected = naive.is_valid(model, record)
            self.assertEqual(journal.append(record), [expected], record)
            if expected:
                history.append((next(reversed(journal.state.works), 0), record))
            self._compare(journal.state, naive.replay(history, WORKERS, QUOTA))

    def test_streams_cover_accepted_and_rejected_records(self) -> None:
        """The streams bring valid and void records of every kind, so that they prove something."""
        seen = collections.Counter()
        for seed in range(200):
            journal = LogHarness()
            stream = RecordGenerator(seed, journal)
            for _ in range(STREAM_LENGTH):
                record = stream.make()
                if record is not None:
                    (valid,) = journal.append(record)
                    seen[type(record), valid] += 1
        kinds = {kind for kind, _ in seen}
        for kind in kinds:
            for valid in (True, False):
                self.assertGreater(seen[kind, valid], 5, f"{kind.__name__} {valid}")

    def _repeat(self, journal: LogHarness) -> None:
        """Check that a batch that comes a second time changes nothing."""
        before = digest(journal.state)
        offset = journal.state.offset
        reduce(journal.state, Entry(offset + 1, journal.entries[-1].batch))
        journal.state.offset = offset
        self.assertEqual(digest(journal.state), before)

    def _compare(self, state: State, model: dict) -> None:
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
        """A node that starts from any snapshot and folds the rest ends with the same digest."""
        journal = LogHarness()
        stream = RecordGenerator(seed, journal)
        for _ in range(STREAM_LENGTH):
            record = stream.make()
            if record is not None:
                journal.append(record)
        early = State()
        for entry in journal.entries[:cut]:
            reduce(early, entry)
        late = decode_state(encode_state(early))
        # Entries that the snapshot covers are passed over.
        for entry in journal.entries:
            reduce(late, entry)
        self.assertEqual(digest(late), digest(journal.state))


class TestAttemptLoss(unittest.TestCase):
    def setUp(self) -> None:
        self.journal = LogHarness()
        self.journal.append(
            NodeJoined("m", "j", "h", "", ""), node="m", incarnation="j", read_offset=-1
        )
        spec = WorkSpec("batch", "x", "t", 1, Size(1000, 1024))
        self.work = self.journal.submit(spec)
        self.journal.append(TasksPlaced(self.work, [Placement(0, "w0")]))
        self.lost = AttemptLost(self.work, 0, 1)

    def test_requires_gone_worker(self) -> None:
        """An attempt on a worker that is only silent is not lost, however long."""
        self.journal.now_ms += 10**9
        self.assertEqual(self.journal.append(self.lost), [False])

    def test_requires_confirmation_by_every_member(self) -> None:
        """A member that has not confirmed holds the loss up, until its own VM is gone."""
        self.journal.append(WorkerGone("w0", "b"))
        self.journal.now_ms += 10**9
        self.assertEqual(self.journal.append(self.lost), [False])
        self.journal.append(NodeGone("m", "j"))
        self.journal.now_ms += 10**9
        self.assertEqual(self.journal.append(self.lost), [True])

    def test_requires_lease_expiry(self) -> None:
        """At the last moment of the lease the loss is void, a millisecond later it is valid."""
        self.journal.append(WorkerGone("w0", "b"))
        self.journal.append(read_offset=self.journal.state.offset)
        self.journal.append(node="m", incarnation="j", read_offset=self.journal.state.offset)
        fenced = self.journal.state.workers["w0"].fenced_ms
        self.assertEqual(fenced, self.journal.now_ms)
        self.journal.now_ms = earliest_loss_ms(fenced, LIMITS.lease_ms, LIMITS.clock_margin_ms)
        self.assertEqual(self.journal.append(self.lost), [False])
        self.journal.now_ms += 1
        self.assertEqual(self.journal.append(self.lost), [True])
        task = self.journal.state.works[self.work].tasks[0]
        self.assertEqual(task.state, TaskState.QUEUED)


class TestRepeatedLoss(unittest.TestCase):
    """A task that runs, and that its worker's next boot knows nothing of, may be what ended it."""

    def outcomes(self, kind: str, started: bool) -> list[TaskState]:
        """Give the task's state after each of six attempts that ended absent."""
        journal = LogHarness()
        work = journal.submit(WorkSpec(kind, "x", "t", 1, Size(1000, 1024)))
        states = []
        for attempt in range(1, 7):
            if journal.append(TasksPlaced(work, [Placement(0, "w0")])) != [True]:
                break
            if started:
                journal.append(AttemptStarted(work, 0, attempt))
            journal.append(AttemptEnded(work, 0, attempt, "absent"))
            states.append(journal.state.works[work].tasks[0].state)
        return states

    def test_task_fails_after_five_losses(self) -> None:
        """After five running attempts that were lost the task has failed."""
        expected = [TaskState.QUEUED] * 4 + [TaskState.FAILED]
        self.assertEqual(self.outcomes("batch", started=True), expected)

    def test_unstarted_attempts_are_not_counted(self) -> None:
        """An order that its worker never got tells nothing of the task."""
        self.assertEqual(self.outcomes("batch", started=False), [TaskState.QUEUED] * 6)


class TestStops(unittest.TestCase):
    def test_non_preemptible_work_is_not_stopped(self) -> None:
        """A session that may not be dropped is never asked to make room."""
        journal = LogHarness()
        spec = WorkSpec("batch", "x", "t", 1, Size(1000, 1024), preemptible=False)
        work = journal.submit(spec)
        journal.append(TasksPlaced(work, [Placement(0, "w0")]))
        self.assertEqual(journal.append(StopRequested(work, 0, 1, "stop")), [False])

    def test_retired_incarnation_is_ignored(self) -> None:
        """A process that was replaced can append nothing any more."""
        journal = LogHarness()
        journal.append(NodeJoined("n", "i2", "h", "", ""), incarnation="i2")
        spec = WorkSpec("batch", "x", "t", 1, Size(1000, 1024))
        self.assertEqual(journal.append(WorkSubmitted("k", spec), incarnation="i"), [])
        self.assertEqual(journal.state.works, {})

    def test_repeated_batch_is_ignored(self) -> None:
        """Slots taken by a batch that was appended twice are taken once."""
        journal = LogHarness()
        base = journal.state.configuration.version
        endpoints = {"e": Endpoint("g", slots=8)}
        journal.append(ConfigurationProposed(base, Declarations(endpoints=endpoints), ""))
        journal.append(MinionSeen("m", "g", "h", ""))
        self.assertEqual(journal.append(SlotsTaken("m", 3)), [True])
        reduce(journal.state, Entry(journal.state.offset + 1, journal.entries[-1].batch))
        self.assertEqual(journal.state.minions["m"].shares, {"n": 3})


class TestFinishedWork(unittest.TestCase):
    def setUp(self) -> None:
        self.journal = LogHarness()

    def run_work(self, key: str, tasks: int) -> int:
        spec = WorkSpec("batch", "x", "t", tasks, Size(1, 1))
        self.journal.append(WorkSubmitted(key, spec))
        work = next(reversed(self.journal.state.works))
        placed = TasksPlaced(work, [Placement(n, "w1") for n in range(tasks)])
        self.assertEqual(self.journal.append(placed), [True])
        self.journal.append(*(AttemptEnded(work, n, 1, "succeeded") for n in range(tasks)))
        return work

    def test_old_tasks_are_compacted_into_counts(self) -> None:
        """What is kept of ended work is bounded in tasks; older outcomes stay as counts."""
        size = FINISHED_TASKS_KEPT // 4
        first = self.run_work("first", size)
        for number in range(6):
            self.run_work(f"k{number}", size)
        state = self.journal.state
        self.assertLessEqual(sum(len(w.tasks) for w in state.works.values()), 4 * size)
        self.assertEqual(state.works[first].counts, {"succeeded": size})
        self.assertTrue(state.works[first].is_finished)

    def test_key_is_kept_after_compaction(self) -> None:
        """A key names the same work for its whole window, also after its tasks were folded."""
        size = FINISHED_TASKS_KEPT // 4
        first = self.run_work("first", size)
        for number in range(6):
            self.run_work(f"k{number}", size)
        spec = WorkSpec("batch", "x", "t", size, Size(1, 1))
        count = len(self.journal.state.works)
        self.assertEqual(self.journal.append(WorkSubmitted("first", spec)), [True])
        self.assertEqual(len(self.journal.state.works), count)
        self.journal.now_ms += KEY_WINDOW_MS + 1
        self.run_work("later", 1)
        self.assertFalse(first in self.journal.state.works)
        self.assertFalse("first" in self.journal.state.work_keys)
