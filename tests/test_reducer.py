"""Tests of the reducer against the naive model, and of single rules."""

import collections
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from snowdock.declarations import Declarations, Endpoint, Limits, Size, Team, WorkSpec
from snowdock.effects import Accepted, BatchJudged
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
from snowdock.reducer._tools import FINISHED_TASKS_KEPT, KEY_WINDOW_MS
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


class Journal:
    """Applies batches of records to a state and keeps them as log entries."""

    def __init__(self) -> None:
        self.state = State()
        self.entries: list[Entry] = []
        self.now_ms = 1000
        self._sequence = 0
        self.add(NodeJoined("n", "i", "h", "", ""))
        self.add(ConfigurationProposed(0, Declarations(teams={"t": TEAM}, limits=LIMITS), ""))
        for name, size in WORKERS.items():
            self.add(WorkerSeen(name, "b", Size(*size), "r", "h", ""))

    def add(self, *records, read: int | None = None, node: str = "n", incarnation: str = "i"):
        """Apply a batch and return for each record whether it was accepted."""
        self._sequence += 1
        read = self.state.offset if read is None else read
        batch = Batch(node, incarnation, self._sequence, read, self.now_ms, list(records))
        entry = Entry(self.state.offset + 1, batch)
        self.entries.append(entry)
        effects = reduce(self.state, entry)
        judged = [effect for effect in effects if isinstance(effect, BatchJudged)]
        return [isinstance(v, Accepted) for effect in judged for v in effect.verdicts]

    def submit(self, spec: WorkSpec) -> int:
        self.add(WorkSubmitted(f"k{self._sequence}", spec))
        return next(reversed(self.state.works))


SIZES = (Size(1000, 1024), Size(2000, 512), Size(500, 2048, 1), Size(3000, 3000), Size(500, 500))
OUTCOMES = ("succeeded", "succeeded", "failed", "failed", "absent", "lapsed")
STEPS = 40


class Stream:
    """Generates records that are mostly plausible, and sometimes late, repeated or invalid.

    They are drawn with regard to the state, since few placements would be valid otherwise.
    """

    def __init__(self, seed: int, journal: Journal) -> None:
        self._source = random.Random(seed)
        self._journal = journal
        self._makers = (
            *(self._submit,) * 3,
            *(self._place,) * 8,
            *(self._start,) * 4,
            *(self._end,) * 6,
            *(self._cancel,) * 1,
            *(self._withdraw,) * 1,
        )

    @property
    def _state(self) -> State:
        return self._journal.state

    def make(self):
        """Return the next record, or None to repeat the last batch."""
        if self._source.random() < 0.1:
            return None
        return self._source.choice(self._makers)()

    def _any_work(self) -> int:
        return self._source.choice([*self._state.works, 1])

    def _submit(self) -> WorkSubmitted:
        source = self._source
        spec = WorkSpec(
            kind=source.choice(["batch", "gang"]),
            name="x",
            team=source.choice(["t"] * 9 + ["unknown"]),
            tasks=source.randint(1, 4),
            size=source.choice(SIZES),
            retries=source.randint(0, 1),
        )
        return WorkSubmitted(f"key-{len(self._journal.entries)}", spec)

    def _place(self) -> TasksPlaced:
        source, number = self._source, self._any_work()
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
        if held and self._source.random() < 0.85:
            return self._source.choice(held)
        return self._any_work(), self._source.randint(0, 4), self._source.randint(1, 2)

    def _start(self) -> AttemptStarted:
        return AttemptStarted(*self._attempt())

    def _end(self) -> AttemptEnded:
        return AttemptEnded(*self._attempt(), self._source.choice(OUTCOMES))

    def _cancel(self) -> WorkCancelled:
        return WorkCancelled(self._any_work())

    def _withdraw(self) -> WorkerLeaving | WorkerGone:
        name = self._source.choice(list(WORKERS))
        return WorkerLeaving(name) if self._source.random() < 0.7 else WorkerGone(name, "b")


class TestAgainstNaive(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(st.integers(0, 2**32))
    def test_matches_naive(self, seed: int) -> None:
        """Verdicts, tasks and used capacity equal those of the naive model after each record."""
        journal, history = Journal(), []
        stream = Stream(seed, journal)
        for _ in range(STEPS):
            record = stream.make()
            if record is None:
                self._repeat(journal)
                continue
            world = naive.replay(history, WORKERS, QUOTA)
            expected = naive.is_valid(world, record)
            self.assertEqual(journal.add(record), [expected], record)
            if expected:
                history.append((next(reversed(journal.state.works), 0), record))
            self._compare(journal.state, naive.replay(history, WORKERS, QUOTA))

    def test_the_stream_reaches_every_verdict(self) -> None:
        """Guards against vacuous streams: each record type is both accepted and rejected."""
        seen = collections.Counter()
        for seed in range(200):
            journal = Journal()
            stream = Stream(seed, journal)
            for _ in range(STEPS):
                record = stream.make()
                if record is not None:
                    (valid,) = journal.add(record)
                    seen[type(record), valid] += 1
        kinds = {kind for kind, _ in seen}
        for kind in kinds:
            for valid in (True, False):
                self.assertGreater(seen[kind, valid], 5, f"{kind.__name__} {valid}")

    def _repeat(self, journal: Journal) -> None:
        """Check that a repeated batch leaves the state unchanged."""
        before = digest(journal.state)
        offset = journal.state.offset
        reduce(journal.state, Entry(offset + 1, journal.entries[-1].batch))
        journal.state.offset = offset
        self.assertEqual(digest(journal.state), before)

    def _compare(self, state: State, world: dict) -> None:
        tasks = {
            (work.number, n): (task.state.value, task.attempt, task.failures, task.losses)
            for work in state.works.values()
            for n, task in enumerate(work.tasks)
        }
        expected = {
            key: (task["state"], task["attempt"], task["failures"], task["losses"])
            for key, task in world["tasks"].items()
        }
        self.assertEqual(tasks, expected)
        for name, worker in state.workers.items():
            held = (worker.used.cpu, worker.used.memory, worker.used.accelerators)
            self.assertEqual(held, naive.used(world, name))
        queued = sum(task["state"] == "queued" for task in world["tasks"].values())
        self.assertEqual(state.queued_tasks, queued)
        for work in state.works.values():
            states = [world["tasks"][key]["state"] for key in naive.task_keys(world, work.number)]
            self.assertEqual(work.is_over, all(state in naive.OVER for state in states))

    @settings(max_examples=50, deadline=None)
    @given(st.integers(0, 2**32), st.integers(0, STEPS))
    def test_snapshot_and_tail_give_the_same_state(self, seed: int, cut: int) -> None:
        """A snapshot at any offset and the entries after it give the same digest."""
        journal = Journal()
        stream = Stream(seed, journal)
        for _ in range(STEPS):
            record = stream.make()
            if record is not None:
                journal.add(record)
        early = State()
        for entry in journal.entries[:cut]:
            reduce(early, entry)
        late = decode_state(encode_state(early))
        # Entries that the snapshot covers are ignored.
        for entry in journal.entries:
            reduce(late, entry)
        self.assertEqual(digest(late), digest(journal.state))


class TestLoss(unittest.TestCase):
    def setUp(self) -> None:
        self.journal = Journal()
        self.journal.add(NodeJoined("m", "j", "h", "", ""), node="m", incarnation="j", read=-1)
        spec = WorkSpec("batch", "x", "t", 1, Size(1000, 1024))
        self.work = self.journal.submit(spec)
        self.journal.add(TasksPlaced(self.work, [Placement(0, "w0")]))
        self.lost = AttemptLost(self.work, 0, 1)

    def test_needs_a_gone_worker(self) -> None:
        """An attempt is not lost while its worker is silent but not gone."""
        self.journal.now_ms += 10**9
        self.assertEqual(self.journal.add(self.lost), [False])

    def test_needs_every_member(self) -> None:
        """The loss is rejected until each member has confirmed the fence or is gone."""
        self.journal.add(WorkerGone("w0", "b"))
        self.journal.now_ms += 10**9
        self.assertEqual(self.journal.add(self.lost), [False])
        self.journal.add(NodeGone("m", "j"))
        self.journal.now_ms += 10**9
        self.assertEqual(self.journal.add(self.lost), [True])

    def test_needs_the_time_to_be_over(self) -> None:
        """The loss is rejected in the last millisecond of the lease and accepted after it."""
        self.journal.add(WorkerGone("w0", "b"))
        self.journal.add(read=self.journal.state.offset)
        self.journal.add(node="m", incarnation="j", read=self.journal.state.offset)
        fenced = self.journal.state.workers["w0"].fenced_ms
        self.assertEqual(fenced, self.journal.now_ms)
        self.journal.now_ms = earliest_loss_ms(fenced, LIMITS.lease_ms, LIMITS.clock_margin_ms)
        self.assertEqual(self.journal.add(self.lost), [False])
        self.journal.now_ms += 1
        self.assertEqual(self.journal.add(self.lost), [True])
        task = self.journal.state.works[self.work].tasks[0]
        self.assertEqual(task.state, TaskState.QUEUED)


class TestRepeatedLoss(unittest.TestCase):
    """A task whose running attempts are lost repeatedly may be what crashes its workers."""

    def outcomes(self, kind: str, started: bool) -> list[TaskState]:
        """Return the task's state after each of up to six attempts that end as absent."""
        journal = Journal()
        work = journal.submit(WorkSpec(kind, "x", "t", 1, Size(1000, 1024)))
        states = []
        for attempt in range(1, 7):
            if journal.add(TasksPlaced(work, [Placement(0, "w0")])) != [True]:
                break
            if started:
                journal.add(AttemptStarted(work, 0, attempt))
            journal.add(AttemptEnded(work, 0, attempt, "absent"))
            states.append(journal.state.works[work].tasks[0].state)
        return states

    def test_it_is_given_up(self) -> None:
        """The task fails after five running attempts have been lost."""
        expected = [TaskState.QUEUED] * 4 + [TaskState.FAILED]
        self.assertEqual(self.outcomes("batch", started=True), expected)

    def test_attempts_that_never_ran_do_not_count(self) -> None:
        """Attempts that never started do not count as losses."""
        self.assertEqual(self.outcomes("batch", started=False), [TaskState.QUEUED] * 6)


class TestStops(unittest.TestCase):
    def test_what_may_not_be_dropped_is_not_stopped(self) -> None:
        """A request to stop an attempt of non-preemptible work is rejected."""
        journal = Journal()
        spec = WorkSpec("batch", "x", "t", 1, Size(1000, 1024), preemptible=False)
        work = journal.submit(spec)
        journal.add(TasksPlaced(work, [Placement(0, "w0")]))
        self.assertEqual(journal.add(StopRequested(work, 0, 1, "stop")), [False])

    def test_a_retired_incarnation_is_not_heard(self) -> None:
        """Batches of a replaced incarnation are ignored."""
        journal = Journal()
        journal.add(NodeJoined("n", "i2", "h", "", ""), incarnation="i2")
        spec = WorkSpec("batch", "x", "t", 1, Size(1000, 1024))
        self.assertEqual(journal.add(WorkSubmitted("k", spec), incarnation="i"), [])
        self.assertEqual(journal.state.works, {})

    def test_a_repeated_batch_is_void(self) -> None:
        """The slots of a batch that was appended twice are taken once."""
        journal = Journal()
        base = journal.state.configuration.version
        endpoints = {"e": Endpoint("g", slots=8)}
        journal.add(ConfigurationProposed(base, Declarations(endpoints=endpoints), ""))
        journal.add(MinionSeen("m", "g", "h", ""))
        self.assertEqual(journal.add(SlotsTaken("m", 3)), [True])
        reduce(journal.state, Entry(journal.state.offset + 1, journal.entries[-1].batch))
        self.assertEqual(journal.state.minions["m"].shares, {"n": 3})


class TestFinishedWork(unittest.TestCase):
    def setUp(self) -> None:
        self.journal = Journal()

    def run_work(self, key: str, tasks: int) -> int:
        spec = WorkSpec("batch", "x", "t", tasks, Size(1, 1))
        self.journal.add(WorkSubmitted(key, spec))
        work = next(reversed(self.journal.state.works))
        placed = TasksPlaced(work, [Placement(n, "w1") for n in range(tasks)])
        self.assertEqual(self.journal.add(placed), [True])
        self.journal.add(*(AttemptEnded(work, n, 1, "succeeded") for n in range(tasks)))
        return work

    def test_old_tasks_are_folded_into_counts(self) -> None:
        """The number of tasks kept is bounded; older finished works keep only their counts."""
        size = FINISHED_TASKS_KEPT // 4
        first = self.run_work("first", size)
        for number in range(6):
            self.run_work(f"k{number}", size)
        state = self.journal.state
        self.assertLessEqual(sum(len(w.tasks) for w in state.works.values()), 4 * size)
        self.assertEqual(state.works[first].counts, {"succeeded": size})
        self.assertTrue(state.works[first].is_over)

    def test_key_outlives_the_tasks(self) -> None:
        """A key identifies its work for the whole window, also after the work is compacted."""
        size = FINISHED_TASKS_KEPT // 4
        first = self.run_work("first", size)
        for number in range(6):
            self.run_work(f"k{number}", size)
        spec = WorkSpec("batch", "x", "t", size, Size(1, 1))
        count = len(self.journal.state.works)
        self.assertEqual(self.journal.add(WorkSubmitted("first", spec)), [True])
        self.assertEqual(len(self.journal.state.works), count)
        self.journal.now_ms += KEY_WINDOW_MS + 1
        self.run_work("later", 1)
        self.assertFalse(first in self.journal.state.works)
        self.assertFalse("first" in self.journal.state.keys)
