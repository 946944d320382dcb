"""Tests of the scheduler's invariants under random faults, on the emulator."""

import dataclasses
import random
import unittest
from functools import partial

from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions, draw_workload
from snowdock.emulator.workload import DrawnJob, default_mixes, draw_expanding_jobs
from snowdock.jobs.model import JobStatus, TaskId
from tests.jobs_tools import find_unended_jobs

SECONDS = 20
SETTLE_SECONDS = 40
SEEDS = range(12)
EXPANDING_SEEDS = (500,)
CRASHING_SEEDS = range(100, 106)
RESTARTING_SEEDS = range(200, 206)
LEAVING_SEEDS = range(300, 306)
UNLUCKY_SEEDS = range(400, 406)

UNLUCKY_RUN_SECONDS = 3.0
UNLUCKY_SECONDS = 120.0
UNLUCKY_WORK_SECONDS = 30.0
"""How long the unlucky job's runs last before their workers go, for how long this happens, and how
long a run takes: none ends before that."""

(
    CRASH,
    PARTITION,
    HEAL,
    LOSE_ANSWERS,
    DELAY_ORDERS,
    CLEAR_FAULTS,
    STORE_OUTAGE,
    KILL_LEADER,
    DEPOSE_LEADER,
    CANCEL,
    DRAIN,
    FAIL_ALL_RUNS,
    RESTART,
    LEAVE,
) = range(14)


def inject_fault(emulator: Emulator, rng: random.Random, kind_count: int) -> None:
    """Inject or repair one random fault."""
    kind = rng.randrange(kind_count)
    lives = [life for life, model in emulator.workers.items() if model.is_up]
    life = rng.choice(lives)
    faults = emulator.faults
    if kind == CRASH:
        emulator.fleet.crash(life)
        emulator.fleet.add(rng.randrange(4))
    elif kind == PARTITION:
        faults.unreachable_lives.add(life)
    elif kind == HEAL:
        faults.unreachable_lives.clear()
    elif kind == LOSE_ANSWERS:
        faults.lost_answer_share = 0.3
    elif kind == DELAY_ORDERS:
        faults.late_order_share = 0.1
    elif kind == CLEAR_FAULTS:
        clear_faults(emulator)
    elif kind == STORE_OUTAGE:
        faults.is_store_down = True
        emulator.timeline.call_after(rng.uniform(0.5, 5), lambda: restore_store(emulator))
    elif kind == KILL_LEADER:
        emulator.kill_leader(rng.uniform(0.5, 3))
    elif kind == DEPOSE_LEADER:
        emulator.depose_leader()
    elif kind == CANCEL and emulator.statuses:
        emulator.cancel(rng.choice(list(emulator.statuses)))
    elif kind == DRAIN and len(lives) > 15:
        emulator.fleet.drain(life)
        emulator.fleet.add(0)
    elif kind == FAIL_ALL_RUNS:
        emulator.workers[life].fails_all_runs = True
    elif kind == RESTART:
        for each in rng.sample(lives, len(lives) // 3):
            emulator.fleet.restart(each, rng.uniform(0.1, 6.0))
    elif kind == LEAVE and len(lives) > 15:
        emulator.fleet.leave(life, rng.choice([None, rng.uniform(0.1, 6.0)]))
        emulator.fleet.add(0)


def restore_store(emulator: Emulator) -> None:
    emulator.faults.is_store_down = False


def clear_faults(emulator: Emulator) -> None:
    emulator.faults.lost_answer_share = emulator.faults.late_order_share = 0
    emulator.faults.is_store_down = False


def run_with_faults(
    seed: int,
    crashing_share: float = 0.0,
    kind_count: int = RESTART,
    expanding_jobs: int = 0,
    **options,
) -> tuple[Emulator, list[DrawnJob]]:
    """Run the emulator with random faults of the first `kind_count` kinds.

    Returns the emulator and the ordinary jobs; the expanding ones are cancelled at the end.
    """
    rng = random.Random(seed)
    mixes = [
        dataclasses.replace(mix, crashing_share=crashing_share)
        for mix in default_mixes(seed % 2 == 0)
    ]
    workload = WorkloadOptions(SECONDS, rng.choice([0.3, 0.5]), tuple(mixes))
    jobs = draw_workload(seed, workload)
    expanding = draw_expanding_jobs(seed, workload, expanding_jobs)
    all_jobs = sorted([*jobs, *expanding], key=lambda job: job.at)
    emulator = Emulator(seed, EmulatorOptions(workload, **options), all_jobs)
    emulator.checks.is_undisturbed = False
    at = 0.0
    while at < SECONDS:
        at += rng.uniform(0.3, 2)
        emulator.run_until(at)
        inject_fault(emulator, rng, kind_count)
    for job in expanding:
        emulator.cancel(job.job)
    clear_faults(emulator)
    emulator.faults.unreachable_lives.clear()
    for model in emulator.workers.values():
        model.fails_all_runs = False
    emulator.run_until(SECONDS + SETTLE_SECONDS)
    return emulator, jobs


def run_with_unlucky_job(seed: int) -> tuple[Emulator, DrawnJob]:
    """Run the emulator while one job loses its workers, none of which crashes.

    Some seconds after each start of its first task, the worker leaves without draining, drains, or
    is cut off until its leases have expired; at times the leader changes as well.
    """
    rng = random.Random(seed)
    mixes = [
        dataclasses.replace(mix, failing_share=0.0, hopeless_share=0.0)
        for mix in default_mixes(False)
    ]
    jobs = draw_workload(seed, WorkloadOptions(SECONDS, 0.2, tuple(mixes)))
    unlucky = next(job for job in jobs if len(job.spec.steps) == 1 and not job.spec.repetitions)
    long_work = tuple(tuple(UNLUCKY_WORK_SECONDS for _ in step) for step in unlucky.work_s)
    jobs = [dataclasses.replace(j, work_s=long_work) if j is unlucky else j for j in jobs]
    options = EmulatorOptions(WorkloadOptions(SECONDS, 0.2, tuple(mixes)), workers=20)
    emulator = Emulator(seed, options, jobs)
    emulator.checks.is_undisturbed = False
    task = TaskId(unlucky.job, 0, 0, 0)
    at = 0.0
    while at < UNLUCKY_SECONDS:
        at += UNLUCKY_RUN_SECONDS
        emulator.run_until(at)
        take_worker_of(emulator, task, rng)
    emulator.faults.unreachable_lives.clear()
    emulator.run_until(at + 2 * UNLUCKY_WORK_SECONDS)
    return emulator, unlucky


def take_worker_of(emulator: Emulator, task: TaskId, rng: random.Random) -> None:
    """Take the worker of a task away, without a crash."""
    lives = [life for life, each in emulator.workers.items() if each.accepts_runs]
    busy = [life for life in lives if task in emulator.workers[life].running]
    for life in busy:
        kind = rng.randrange(3)
        if kind == 0:
            emulator.fleet.leave(life, rng.choice([None, 0.5]))
            emulator.fleet.add(0)
        elif kind == 1:
            emulator.fleet.drain(life)
            emulator.fleet.add(0)
        else:
            cut_off = emulator.faults.unreachable_lives
            cut_off.add(life)
            emulator.timeline.call_after(rng.uniform(8.0, 20.0), partial(cut_off.discard, life))
    if busy and rng.random() < 0.3:
        emulator.kill_leader(rng.uniform(0.5, 3))


class TestUnluckyJob(unittest.TestCase):
    def test_job_that_loses_its_workers(self) -> None:
        """A job is not shown as failed, however many of its workers leave or are cut off."""
        for seed in UNLUCKY_SEEDS:
            with self.subTest(seed=seed):
                emulator, job = run_with_unlucky_job(seed)
                self.assertEqual(emulator.checks.violations, [])
                self.assertIs(emulator.statuses[job.job], JobStatus.COMPLETED)


class TestChaos(unittest.TestCase):
    def test_invariants_hold_and_all_jobs_end(self) -> None:
        """Limits, single execution, order, attempts and cancellation hold, and every job ends."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                emulator, jobs = run_with_faults(seed)
                self.assertEqual(emulator.checks.violations, [])
                self.assertEqual(find_unended_jobs(emulator, jobs), [])

    def test_tasks_that_crash_their_workers(self) -> None:
        """Crashing tasks are given up within their limit, and every other job ends."""
        for seed in CRASHING_SEEDS:
            with self.subTest(seed=seed):
                emulator, jobs = run_with_faults(seed, crashing_share=0.02)
                self.assertEqual(emulator.checks.violations, [])
                crashing = [job for job in jobs if job.crashing is not None]
                self.assertTrue(crashing)
                for job in crashing:
                    self.assertLessEqual(emulator.checks.count_crashes(job.crashing), 5)
                self.assertEqual(find_unended_jobs(emulator, jobs), [])

    def test_workers_that_restart_under_their_ids(self) -> None:
        """Runs, ends and leases of a worker's lives are not confused under all other faults."""
        for seed in RESTARTING_SEEDS:
            with self.subTest(seed=seed):
                emulator, jobs = run_with_faults(seed, kind_count=RESTART + 1)
                self.assertEqual(emulator.checks.violations, [])
                self.assertEqual(find_unended_jobs(emulator, jobs), [])

    def test_workers_that_leave_without_draining(self) -> None:
        """No job is shown as failed for workers that leave, are cut off, or change leaders."""
        for seed in LEAVING_SEEDS:
            with self.subTest(seed=seed):
                emulator, jobs = run_with_faults(seed, kind_count=LEAVE + 1)
                self.assertEqual(emulator.checks.violations, [])
                self.assertEqual(find_unended_jobs(emulator, jobs), [])

    def test_jobs_that_expand_to_millions_of_tasks(self) -> None:
        """Beside such jobs all ordinary ones end, and no leader holds more than its limit."""
        for seed in EXPANDING_SEEDS:
            with self.subTest(seed=seed):
                emulator, jobs = run_with_faults(seed, expanding_jobs=3)
                self.assertEqual(emulator.checks.violations, [])
                self.assertEqual(find_unended_jobs(emulator, jobs), [])
                cell = emulator.leader_cell
                self.assertLessEqual(cell.object_count, cell.settings.max_job_objects)

    def test_run_without_faults(self) -> None:
        """Without faults there are no violations, and jobs whose runs always fail have failed."""
        workload = WorkloadOptions(SECONDS, 0.5, default_mixes())
        jobs = draw_workload(7, workload)
        emulator = Emulator(7, EmulatorOptions(workload), jobs)
        emulator.run_until(SECONDS + SETTLE_SECONDS)
        self.assertEqual(emulator.checks.violations, [])
        failed = {job for job, status in emulator.statuses.items() if status.name == "FAILED"}
        hopeless = {job.job for job in jobs if job.is_hopeless}
        self.assertLessEqual(hopeless, failed)
