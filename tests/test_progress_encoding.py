"""Tests of encoding a job's progress as records, and of reading them back at a takeover."""

import dataclasses
import random
import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.errors import InvalidInput
from snowdock.jobs.durability import mark_dirty
from snowdock.jobs.events import (
    BatchRejected,
    DropProgress,
    ForgetAccepted,
    JobCancelled,
    Persist,
    Persisted,
    PublishStatus,
    RenewAnswered,
    SendRenewal,
    SendStart,
    SendStop,
    StopAnswered,
)
from snowdock.jobs.job_state import Phase
from snowdock.jobs.model import JobSpec, JobStatus, StepSpec, TaskId
from snowdock.jobs.number_ranges import count_numbers
from snowdock.jobs.orders import EndedRun, EndKind, RunningRun, WorkerReport
from snowdock.jobs.progress import (
    AcceptedJob,
    JobProgress,
    SplitProgress,
    decode_progress,
    decode_split_progress,
    encode,
    is_block_key,
)
from snowdock.jobs.progress_layout import ProgressLayout
from snowdock.jobs.recorded_progress import read_progress
from snowdock.jobs.takeover import RecordedJobs
from tests.jobs_tools import DONE, FAILED, SETTINGS, Bench, find_unended_jobs
from tests.test_jobs_chaos import run_with_faults

JOB = "a" * 16
TINY = StepSpec(count=1, size=Size(1, 1), estimate_ms=1000, checkpointing=True)


def make_timed_job(times: int, tasks: int) -> AcceptedJob:
    """Return a job whose times are all due at once."""
    step = msgspec.structs.replace(TINY, count=tasks)
    return AcceptedJob(JobSpec("q", "payload", (step,), repetitions=times), 1, "pool", 0, 3)


def make_wide_job(*counts: int) -> AcceptedJob:
    """Return a job of steps of which each waits for the one before it."""
    steps = [
        msgspec.structs.replace(TINY, count=count, after=(number - 1,) if number else ())
        for number, count in enumerate(counts)
    ]
    return AcceptedJob(JobSpec("q", "payload", tuple(steps)), 1, "pool", 0, 3)


class Leaders:
    """Leaders that follow one another on a store that takes short records only.

    There is one worker; its runs end as the test says. ``doubled`` has the tasks that were started
    beside another run, or after one that ended done, and ``early`` those that were started before
    the tasks that must come first were done. Tasks in ``unstoppable`` go on when they are stopped.
    """

    def __init__(
        self,
        accepted: AcceptedJob,
        record_bytes: int,
        append_bytes: int,
        recorded: dict[str, bytes] | None = None,
        max_job_objects: int = SETTINGS.max_job_objects,
    ) -> None:
        self.accepted = accepted
        self.limits = (record_bytes, append_bytes)
        self.token = 0
        self.max_job_objects = max_job_objects
        self.now = 100.0
        self.recorded: dict[str, bytes] = recorded or {}
        self.pending: Persist | None = None
        self.batches: list[Persist] = []
        self.starts: list[TaskId] = []
        self.doubled: list[TaskId] = []
        self.early: list[TaskId] = []
        self.running: dict[TaskId, int] = {}
        self.done: set[TaskId] = set()
        self.ends: list[EndedRun] = []
        self.end_number = 0
        self.statuses: list[JobStatus] = []
        self.is_forgotten = False
        self.unstoppable: set[TaskId] = set()
        self.lead()

    def lead(self) -> None:
        """Have another leader read the records and find the worker."""
        self.token += 1
        bench = self.bench = Bench(self.token)
        bench.now = self.now
        bench.cell.settings = dataclasses.replace(SETTINGS, max_job_objects=self.max_job_objects)
        bench.is_store_paused = True
        bench.cell.max_record_bytes, bench.cell.max_append_bytes = self.limits
        on_record = read_progress([self.recorded.items()])
        accepted = {} if self.is_forgotten else {JOB: self.accepted}
        restored = RecordedJobs(accepted, set(), on_record.progress, layouts=on_record.layouts)
        self.pending = None
        self.apply(bench.restore(restored))
        bench.add_worker("w", cpu=1_000_000, is_synced=False)
        self.apply(bench.effects)
        self.report()

    @property
    def is_ended(self) -> bool:
        return bool(self.statuses) and self.statuses[-1].is_final

    def apply(self, effects) -> None:
        answers = []
        for effect in effects:
            if isinstance(effect, Persist):
                self.pending = effect
                self.batches.append(effect)
            elif isinstance(effect, DropProgress):
                for key in effect.keys:
                    self.recorded.pop(key, None)
            elif isinstance(effect, SendStart):
                self.start(effect.order.task, effect.order.run)
            elif isinstance(effect, SendStop):
                order = effect.order
                is_running = self.running.get(order.task) == order.run
                if is_running and order.task not in self.unstoppable:
                    self.end(EndKind.STOPPED, order.task)
                answers.append(StopAnswered("w", order.task, order.run, True))
            elif isinstance(effect, SendRenewal):
                seen = effect.order.last_recorded_end
                self.ends = [end for end in self.ends if end.number > seen]
            elif isinstance(effect, ForgetAccepted):
                self.is_forgotten = True
            elif isinstance(effect, PublishStatus):
                self.statuses.append(effect.status)
        for answer in answers:
            self.apply(self.bench.feed(answer))

    def start(self, task: TaskId, run: int) -> None:
        if task in self.running or task in self.done:
            self.doubled.append(task)
        for number in self.accepted.spec.steps[task.step].after:
            count = self.accepted.spec.steps[number].count
            earlier = {TaskId(task.job, task.repetition, number, index) for index in range(count)}
            if not earlier <= self.done:
                self.early.append(task)
        self.starts.append(task)
        self.running[task] = run

    def end(self, kind: EndKind, task: TaskId) -> None:
        self.end_number += 1
        self.ends.append(EndedRun(self.end_number, task, self.running.pop(task), kind, ""))
        if kind is DONE:
            self.done.add(task)

    def record(self) -> bool:
        """Record the pending batch; return whether there was one."""
        batch, self.pending = self.pending, None
        if batch is None:
            return False
        self.recorded |= {record.key: record.data for record in batch.records}
        self.apply(self.bench.feed(Persisted(batch.number)))
        return True

    def record_all(self) -> None:
        while self.record():
            pass

    def reject(self) -> bool:
        """Reject the pending batch; return whether there was one."""
        batch, self.pending = self.pending, None
        if batch is None:
            return False
        self.apply(self.bench.feed(BatchRejected(batch.number)))
        return True

    def tick(self, seconds: float = 0.1) -> None:
        for _ in range(round(seconds * 10)):
            self.apply(self.bench.tick(0.1))
        self.now = self.bench.now

    def report(self, kind: EndKind = DONE, *tasks: TaskId) -> None:
        """End the runs of some tasks, and list all runs to the leader."""
        for task in tasks:
            self.end(kind, task)
        while "w" not in self.bench.renewals:
            self.tick()
        order = self.bench.renewals.pop("w")
        running = [RunningRun(task, run, "", 50.0, 0.0) for task, run in self.running.items()]
        self.bench.now += 0.001
        report = WorkerReport(self.bench.now * 1000, running, list(self.ends))
        self.apply(self.bench.feed(RenewAnswered("w", order, report)))
        self.now = self.bench.now

    @property
    def tasks(self) -> dict[TaskId, tuple]:
        """What the leader knows of each task that was ever placed."""
        job = self.bench.cell.jobs[JOB]
        return {
            task.id: (task.run, task.life, task.phase is Phase.DONE, sorted(task.failed_runs))
            for task in job.all_tasks()
            if task.run
        }

    @property
    def longest_record(self) -> int:
        return max(record.size for batch in self.batches for record in batch.records)

    @property
    def longest_append(self) -> int:
        return max(sum(each.append_size for each in batch.records) for batch in self.batches)


def place_all(accepted: AcceptedJob, record_bytes: int, append_bytes: int) -> Leaders:
    """Return a leader that has placed and recorded all tasks that may run."""
    leaders = Leaders(accepted, record_bytes, append_bytes)
    started = -1
    while started < len(leaders.starts):
        started = len(leaders.starts)
        leaders.tick(0.5)
        leaders.record_all()
    return leaders


class TestRecordLimit(unittest.TestCase):
    """Progress that outgrew one record of the store was rejected, and nothing started any more."""

    def check_limits(self, leaders: Leaders) -> None:
        self.assertLessEqual(leaders.longest_record, leaders.limits[0])
        self.assertLessEqual(leaders.longest_append, leaders.limits[1])

    def test_progress_of_a_timed_job_outgrows_a_record(self) -> None:
        """Every record is short enough, however many times of a job were done."""
        leaders = place_all(make_timed_job(60, 20), 2000, 6000)
        self.assertEqual(len(leaders.running), 1200)
        for number in range(60):
            leaders.report(DONE, *[task for task in leaders.running if task.repetition == number])
            leaders.record_all()
        self.check_limits(leaders)
        self.assertEqual(leaders.statuses[-1], JobStatus.COMPLETED)
        self.assertEqual(list(leaders.recorded), [JOB])

    def test_one_step_outgrows_a_record(self) -> None:
        """The tasks of one step are more than a record holds, and all of them start."""
        leaders = place_all(make_wide_job(3000), 4000, 9000)
        self.assertEqual(len(leaders.running), 3000)
        self.check_limits(leaders)

    def test_append_is_shorter_than_a_record(self) -> None:
        """A store whose append holds less than one record gets records that an append holds."""
        leaders = place_all(make_wide_job(300), 2000, 600)
        self.assertEqual(len(leaders.running), 300)
        self.check_limits(leaders)

    def test_finished_times_take_no_room(self) -> None:
        """A timed job's progress and state don't grow with the times that are over."""
        for times in (20, 200):
            leaders = place_all(make_timed_job(times, 20), 2000, 6000)
            ended = [task for task in leaders.running if task.repetition < times - 1]
            leaders.report(DONE, *ended)
            leaders.record_all()
            self.assertLess(sum(map(len, leaders.recorded.values())), 700)
            self.assertEqual(len(leaders.tasks), 20)

    def test_ranges_of_finished_times_outgrow_a_record(self) -> None:
        """Where every other time is over, the ranges of those are not more than a record holds."""
        leaders = place_all(make_timed_job(800, 1), 2000, 6000)
        leaders.report(DONE, *[task for task in leaders.running if task.repetition % 2])
        leaders.record_all()
        self.check_limits(leaders)
        before = leaders.tasks
        leaders.lead()
        self.assertEqual(leaders.tasks, before)
        leaders.report(DONE, *list(leaders.running))
        leaders.record_all()
        self.assertEqual(leaders.statuses[-1], JobStatus.COMPLETED)

    def test_only_changed_blocks_are_written(self) -> None:
        """The end of one task of many rewrites a small part of the progress."""
        leaders = place_all(make_wide_job(5000), 20_000, 200_000)
        before = len(leaders.batches)
        leaders.report(DONE, next(iter(leaders.running)))
        (batch,) = leaders.batches[before:]
        self.assertEqual(len(batch.records), 2)
        self.assertLess(sum(record.size for record in batch.records), 4000)

    def test_own_record_follows_its_blocks(self) -> None:
        """The record that makes the blocks count is the last one to be written."""
        leaders = place_all(make_wide_job(500), 2000, 4000)
        keys = [record.key for batch in leaders.batches for record in batch.records]
        self.assertEqual([key for key in keys if not is_block_key(key)], keys[-1:])

    def test_checkpoint_longer_than_a_record(self) -> None:
        """A checkpoint that no record holds is left out, and its task's run is recorded."""
        leaders = place_all(make_wide_job(3), 2000, 4000)
        first, second, third = leaders.running
        for task, length in ((first, 3000), (second, 1800)):
            leaders.bench.cell.find_task(task).checkpoint = "x" * length
        leaders.report(DONE, third)
        leaders.record_all()
        self.check_limits(leaders)
        (logged,) = [
            dict(each.fields)
            for each in leaders.bench.decisions
            if each.decision == "checkpoint_not_recorded"
        ]
        self.assertEqual(logged, {"task": first, "bytes": 3000})
        leaders.lead()
        find_task = leaders.bench.cell.find_task
        self.assertEqual([len(find_task(each).checkpoint) for each in (first, second)], [0, 1800])
        self.assertEqual(len(leaders.starts), 3)

    def test_small_job_has_the_record_of_the_landed_version(self) -> None:
        """A job that fits in one record is recorded in a form that earlier versions read."""
        leaders = place_all(make_wide_job(3), 262_144, 2_097_152)
        added = [[], "w:1"]
        tasks = [[0, 0, index, 1, "w", False, [], "", [], [], *added] for index in range(3)]
        expected = [JobStatus.PENDING, tasks, "", 1, 1]
        self.assertEqual(list(leaders.recorded), [JOB])
        self.assertEqual(msgspec.msgpack.decode(leaders.recorded[JOB]), expected)
        landed = msgspec.msgpack.decode(leaders.recorded[JOB], type=LandedProgress)
        self.assertEqual(
            landed.tasks, [LandedTask(0, 0, i, 1, "w", False, [], "", [], []) for i in range(3)]
        )


class LandedTask(msgspec.Struct, array_like=True):
    """A task's progress as earlier versions decode it, which ignore all further fields."""

    repetition: int
    step: int
    index: int
    run: int
    life: str
    done: bool
    failed_runs: list[int]
    checkpoint: str
    lost_runs: list[int]
    crashed_runs: list[int]


class LandedProgress(msgspec.Struct, array_like=True):
    """A job's progress as earlier versions decode it."""

    status: JobStatus
    tasks: list[LandedTask]
    team: str
    epoch: int
    batch: int


class TestRejectedBatch(unittest.TestCase):
    """A batch that the store rejected for good was repeated for ever, with all others behind it."""

    def test_batch_is_encoded_again_in_shorter_records(self) -> None:
        """A store with lower limits than it has stated gets records that it takes."""
        leaders = Leaders(make_wide_job(400), 262_144, 2_097_152)
        leaders.tick(0.5)
        rejected = 0
        while leaders.pending is not None:
            if max(record.size for record in leaders.pending.records) <= 3000:
                leaders.record()
            else:
                rejected += leaders.reject()
        self.assertGreater(rejected, 0)
        self.assertEqual(len(leaders.running), 400)
        before = leaders.tasks
        leaders.lead()
        self.assertEqual(leaders.tasks, before)

    def test_nothing_starts_before_its_record(self) -> None:
        """The starts that wait for a rejected batch wait for the one that replaces it."""
        leaders = Leaders(make_wide_job(200), 262_144, 2_097_152)
        leaders.tick(0.5)
        leaders.reject()
        leaders.tick(0.5)
        self.assertEqual(leaders.starts, [])
        leaders.record_all()
        self.assertEqual(len(leaders.starts), 200)

    def test_store_that_takes_nothing_is_asked_once_a_second(self) -> None:
        """A store that rejects the shortest record as well is not called without a pause."""
        leaders = Leaders(make_wide_job(2), 262_144, 2_097_152)
        leaders.tick(0.1)
        calls = 0
        for _ in range(100):
            calls += leaders.reject()
            leaders.tick(0.1)
        self.assertLess(calls, 15)
        leaders.tick(1.0)
        leaders.record_all()
        self.assertEqual(len(leaders.starts), 2)

    def test_limits_are_tried_again(self) -> None:
        """A rejection for a passing reason lowers the limits for a minute only."""
        leaders = Leaders(make_wide_job(300), 262_144, 2_097_152)
        leaders.tick(0.1)
        leaders.reject()
        leaders.record_all()
        self.assertLess(leaders.bench.cell.max_record_bytes, 262_144)
        leaders.tick(61.0)
        leaders.report(DONE, next(iter(leaders.running)))
        self.assertEqual(leaders.bench.cell.max_record_bytes, 262_144)


class TestChangeSets(unittest.TestCase):
    def test_large_job_that_changes_all_the_time(self) -> None:
        """A job that fills each batch anew held up the starts of all others for ever."""
        bench = Bench()
        bench.cell.max_record_bytes, bench.cell.max_append_bytes = 2000, 4000
        bench.add_worker(cpu=1_000_000)
        large = bench.submit(msgspec.structs.replace(TINY, count=1000))
        bench.tick(1.0)
        tasks = list(bench.cell.jobs[large].all_tasks())
        self.assertEqual(len(tasks), 1000)
        self.assertEqual({task.phase for task in tasks}, {Phase.ORDERED})
        bench.is_store_paused = True
        for batches in range(100):
            for task in tasks:
                task.checkpoint = f"{batches:08x}"
            mark_dirty(bench.cell, tasks[0].step.job)
            if batches == 20:
                small = bench.submit(TINY)
            starts = [effect.order.task.job for effect in bench.new_starts()]
            if batches >= 20 and small in starts:
                break
            bench.feed(Persisted(bench.cell.batch_number))
            bench.tick(0.1)
        else:
            self.fail("the small job was not started")


class TestTakeover(unittest.TestCase):
    """What a leader reads back of progress in several records."""

    def test_takeover_reads_the_blocks(self) -> None:
        """A new leader knows each run, failure and end, and starts nothing again."""
        leaders = place_all(make_timed_job(8, 90), 2000, 6000)
        tasks = list(leaders.running)
        leaders.report(DONE, *tasks[:120])
        leaders.report(FAILED, *tasks[200:203])
        leaders.record_all()
        before, started = leaders.tasks, len(leaders.starts)
        leaders.lead()
        self.assertEqual(leaders.tasks, before)
        self.assertEqual([before[task][3] for task in tasks[200:203]], [[1]] * 3)
        leaders.tick(0.5)
        self.assertEqual(len(leaders.starts), started)

    def test_block_of_an_ended_job_that_is_left(self) -> None:
        """Of a cancelled job only the runs that have not ended are read back, not those before."""
        leaders = place_all(make_wide_job(200), 2000, 6000)
        leaders.unstoppable = {task for task in leaders.running if task.index in (7, 8, 190)}
        leaders.apply(leaders.bench.feed(JobCancelled(JOB)))
        leaders.record_all()
        leaders.report()
        leaders.record_all()
        tasks = read_progress([leaders.recorded.items()]).progress[JOB].tasks
        self.assertEqual([task.index for task in tasks], [7, 8, 190])
        leaders.lead()
        leaders.report(EndKind.STOPPED, *leaders.unstoppable)
        leaders.record_all()
        self.assertEqual((list(leaders.recorded), leaders.is_forgotten), ([JOB], True))

    def test_finished_times_do_not_run_again(self) -> None:
        """A new leader knows the times that are over, whose tasks are no longer on record."""
        leaders = place_all(make_timed_job(10, 30), 2000, 6000)
        finished = (0, 1, 2, 5, 9)
        leaders.report(DONE, *[task for task in leaders.running if task.repetition in finished])
        leaders.record_all()
        head = decode_split_progress(leaders.recorded[JOB])
        self.assertEqual(head.finished, [(0, 2), (5, 5), (9, 9)])
        started = len(leaders.starts)
        leaders.lead()
        leaders.tick(0.5)
        leaders.record_all()
        self.assertEqual(len(leaders.starts), started)
        leaders.report(DONE, *list(leaders.running))
        leaders.record_all()
        self.assertEqual(leaders.statuses[-1], JobStatus.COMPLETED)
        self.assertEqual(list(leaders.recorded), [JOB])

    def test_blocks_of_finished_times_that_were_not_deleted(self) -> None:
        """What is left of a finished time's blocks isn't read, and the next leader deletes it."""
        leaders = place_all(make_timed_job(4, 40), 2000, 6000)
        left = {key: data for key, data in leaders.recorded.items() if key.startswith(f"{JOB}.0.")}
        leaders.report(DONE, *[task for task in leaders.running if task.repetition == 0])
        leaders.record_all()
        self.assertFalse(left.keys() & leaders.recorded.keys())
        leaders.recorded |= left
        started = len(leaders.starts)
        leaders.lead()
        leaders.tick(0.5)
        self.assertEqual(len(leaders.starts), started)
        self.assertFalse(left.keys() & leaders.recorded.keys())

    def test_record_of_the_landed_version(self) -> None:
        """Progress that an earlier version wrote as one record is read, and may outgrow it."""
        leaders = Leaders(make_wide_job(150), 4000, 9000)
        landed = [[0, 0, index, 2, "w", index < 40, [1], "c", [], []] for index in range(120)]
        leaders.recorded = {JOB: msgspec.msgpack.encode([1, landed, "", 1, 7])}
        leaders.running = {TaskId(JOB, 0, 0, index): 2 for index in range(40, 120)}
        leaders.lead()
        leaders.report()
        self.assertEqual(list(leaders.tasks.values()), [(2, "w", False, [1])] * 80)
        (step,) = leaders.bench.cell.jobs[JOB].repetitions[0]
        self.assertEqual(step.finished, [(0, 39)])
        leaders.tick(0.5)
        leaders.record_all()
        self.assertEqual(len(leaders.starts), 30)
        decode_split_progress(leaders.recorded[JOB])
        before = leaders.tasks
        leaders.lead()
        self.assertEqual(leaders.tasks, before)

    def test_earlier_version_does_not_take_the_job_for_a_new_one(self) -> None:
        """An earlier version, which can't read the blocks, finds the job's record unreadable."""
        leaders = place_all(make_wide_job(500), 4000, 9000)
        for data in leaders.recorded.values():
            with self.assertRaises(InvalidInput):
                decode_progress(data)

    def test_blocks_from_before_do_not_count(self) -> None:
        """Blocks that were left by an earlier job of the same identifier are not its progress."""
        leaders = place_all(make_wide_job(500), 4000, 9000)
        left = {key: data for key, data in leaders.recorded.items() if is_block_key(key)}
        heads = (
            SplitProgress(JobStatus.RUNNING, "", 3, 9, (3, 8)),
            JobProgress(JobStatus.RUNNING, [], "", 3, 9),
        )
        for head in heads:
            on_record = read_progress([{JOB: encode(head), **left}.items()])
            self.assertEqual(on_record.progress[JOB].tasks, [])
            self.assertEqual(set(on_record.layouts[JOB].keys), set(left))

    def test_newest_record_of_each_key_counts(self) -> None:
        """Of the records of a block in several partitions, that of the last batch counts."""
        leaders = place_all(make_wide_job(300), 4000, 100_000)
        first = dict(leaders.recorded)
        leaders.report(DONE, *list(leaders.running)[:100])
        leaders.record_all()
        last = {key: data for key, data in leaders.recorded.items() if first.get(key) != data}
        self.assertGreater(len(last), 1)
        for partitions in ([first, last], [last, first]):
            on_record = read_progress([each.items() for each in partitions])
            tasks = on_record.progress[JOB].tasks
            dropped = 64 * count_numbers(on_record.layouts[JOB].finished_blocks.get(0, ()))
            self.assertEqual(dropped + sum(task.done for task in tasks), 100)
            newest = partitions.index(last)
            for key in last:
                self.assertEqual(on_record.partitions[key], (1 - newest, newest))

    def test_malformed_block(self) -> None:
        """A job with a block that can't be decoded is neither started nor read in part."""
        leaders = place_all(make_wide_job(300), 4000, 100_000)
        for key, data in ((f"{JOB}.0.0.0", b"\xc1"), (f"{JOB}.x", b"\x90")):
            on_record = read_progress([{**leaders.recorded, key: data}.items()])
            self.assertEqual((on_record.unreadable, on_record.progress), ({JOB}, {}))

    def test_end_of_the_job_that_was_not_recorded(self) -> None:
        """A job all of whose ends are on record, but not its own, is completed by a new leader."""
        leaders = place_all(make_wide_job(200), 2000, 100_000)
        own_record = leaders.recorded[JOB]
        leaders.report(DONE, *list(leaders.running))
        blocks = {r.key: r.data for r in leaders.pending.records if is_block_key(r.key)}
        payload = [[0, 0, index, 1, "", True, [], "", [], []] for index in range(200)]
        self.assertEqual(blocks, {})
        leaders.recorded = {
            JOB: own_record,
            f"{JOB}.0.0.0": msgspec.msgpack.encode(["block", 1, 900, payload]),
        }
        leaders.lead()
        leaders.record_all()
        self.assertEqual(leaders.statuses[-1], JobStatus.COMPLETED)
        self.assertEqual(leaders.doubled, [])

    def test_leaders_lost_between_the_appends_of_one_change(self) -> None:
        """Nothing runs twice or too early, whichever part of a change a new leader finds."""
        for seed in range(25):
            with self.subTest(seed=seed):
                self.play(random.Random(seed), make_wide_job(40, 60, 30))
                self.play(random.Random(seed), make_timed_job(6, 25))

    def play(self, rng: random.Random, accepted: AcceptedJob) -> None:
        leaders = Leaders(accepted, rng.choice((700, 1500)), rng.choice((900, 2000, 5000)))
        for _ in range(300):
            action = rng.random()
            if action < 0.45:
                for _ in range(rng.randrange(1, 6)):
                    leaders.record()
            elif action < 0.75 and leaders.running:
                chosen = rng.sample(list(leaders.running), min(len(leaders.running), 9))
                leaders.report(FAILED if rng.random() < 0.1 else DONE, *chosen)
            elif action < 0.78:
                leaders.lead()
            elif action < 0.81:
                leaders.reject()
            else:
                leaders.tick()
        for _ in range(60):
            leaders.record_all()
            leaders.tick(1.2)
            leaders.report(DONE, *list(leaders.running))
        self.assertEqual((leaders.doubled, leaders.early), ([], []))
        self.assertTrue(leaders.is_ended)
        self.assertLessEqual(leaders.longest_record, leaders.limits[0])
        self.assertLessEqual(leaders.longest_append, leaders.limits[1])


class TestLayout(unittest.TestCase):
    def test_ranges_of_finished_times(self) -> None:
        """The ranges name exactly the finished times, and are as few as possible."""
        rng = random.Random(3)
        for _ in range(50):
            layout = ProgressLayout()
            layout.add_open(range(40))
            finished = rng.sample(range(40), rng.randrange(1, 40))
            for number in finished:
                self.assertTrue(layout.finish(number, max_ranges=40))
            self.assertEqual(
                [number for number in range(41) if layout.is_finished(number)], sorted(finished)
            )
            self.assertEqual(layout.open_repetitions, set(range(40)) - set(finished))
            gaps = [b[0] - a[1] for a, b in zip(layout.finished, layout.finished[1:], strict=False)]
            self.assertTrue(all(gap > 1 for gap in gaps))

    def test_too_many_ranges(self) -> None:
        """A time that would make one range too many stays open until it adjoins another."""
        layout = ProgressLayout()
        layout.add_open(range(10))
        self.assertTrue(layout.finish(3, max_ranges=1))
        self.assertFalse(layout.finish(5, max_ranges=1))
        self.assertTrue(layout.finish(4, max_ranges=1))
        self.assertTrue(layout.finish(5, max_ranges=1))
        self.assertEqual(layout.finished, [(3, 5)])


class TestEmulatedDays(unittest.TestCase):
    def test_short_records_under_faults(self) -> None:
        """With a store that takes short records only, no rule is broken and every job ends."""
        for seed in range(300, 306):
            with self.subTest(seed=seed):
                emulator, jobs = run_with_faults(seed, max_record_bytes=900, max_append_bytes=2500)
                self.assertEqual(emulator.checks.violations, [])
                self.assertEqual(find_unended_jobs(emulator, jobs), [])


if __name__ == "__main__":
    unittest.main()
