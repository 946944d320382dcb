"""Tests of the leader's reducer: when orders are sent, and how answers are handled."""

import dataclasses
import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.jobs.events import (
    AdviceAnswered,
    AdviceFailed,
    AskAdvice,
    DropJobs,
    ForgetAccepted,
    JobAccepted,
    JobCancelled,
    Persist,
    Persisted,
    PublishStatus,
    SendRenewal,
    SendStart,
    SendStop,
    StartAnswered,
    StepDown,
    StopAnswered,
    WorkerDelisted,
    WorkerListed,
)
from snowdock.jobs.job_state import Advice, Phase
from snowdock.jobs.model import AdviceTerms, JobStatus, TaskId
from snowdock.jobs.orders import AdviceResult, EndKind, Refusal, StartResult
from snowdock.jobs.progress import JobProgress, TaskProgress, decode_progress
from snowdock.jobs.takeover import RecordedJobs
from tests.jobs_tools import DONE, FAILED, SETTINGS, SMALL, Bench, filter_by_type, make_accepted_job


class TestDurability(unittest.TestCase):
    def test_start_waits_for_its_record(self) -> None:
        """No start is sent before its placement is recorded."""
        bench = Bench()
        bench.add_worker()
        bench.is_store_paused = True
        bench.submit()
        (batch,) = filter_by_type(bench.effects, Persist)
        self.assertEqual(bench.starts(), [])
        progress = decode_progress(batch.records[0].data)
        self.assertEqual(progress.tasks[0].life, "w")
        bench.feed(Persisted(batch.number))
        self.assertEqual(len(bench.starts()), 1)

    def test_one_batch_at_a_time(self) -> None:
        """Changes made while a batch is in flight are sent with the next one."""
        bench = Bench()
        bench.add_worker()
        bench.is_store_paused = True
        bench.submit()
        (first,) = filter_by_type(bench.effects, Persist)
        bench.submit()
        self.assertEqual(filter_by_type(bench.effects, Persist), [])
        bench.now += 0.01
        bench.feed(Persisted(first.number))
        bench.tick(0.1)
        self.assertEqual(bench.cell.batch_number, 2)

    def test_end_is_acknowledged_after_its_record(self) -> None:
        """An end is acknowledged to its worker, and published, once it is recorded."""
        bench = Bench()
        bench.add_worker()
        job = bench.submit()
        (start,) = bench.starts()
        bench.confirm(start)
        bench.is_store_paused = True
        effects = bench.report("w", ended=[(start.order.task, 1, DONE)])
        self.assertEqual(filter_by_type(effects, PublishStatus), [])
        self.assertTrue(
            all(e.order.last_recorded_end == 0 for e in filter_by_type(effects, SendRenewal))
        )
        (batch,) = filter_by_type(effects, Persist)
        effects = bench.feed(Persisted(batch.number))
        self.assertEqual(
            [(e.job, e.status) for e in filter_by_type(effects, PublishStatus)],
            [(job, JobStatus.COMPLETED)],
        )
        self.assertEqual(filter_by_type(effects, SendRenewal)[-1].order.last_recorded_end, 1)


class TestSilentWorker(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench()
        self.bench.add_worker("w")
        self.bench.submit()
        (start,) = self.bench.starts()
        self.order = start.order
        self.bench.confirm(start)
        self.bench.report("w", running=[(self.order.task, 1, 10.0)])

    def leave_unanswered_for(self, seconds: float) -> list:
        found = []
        end = self.bench.now + seconds
        while self.bench.now < end:
            if "w" in self.bench.renewals:
                found += self.bench.leave_unanswered("w")
            found += self.bench.tick(0.1)
        return found

    def test_lease_of_an_unresponsive_worker_is_not_renewed(self) -> None:
        """Renewals to a worker that does not answer carry no lease, so its leases expire."""
        found = self.leave_unanswered_for(3.0)
        lease_ends = [effect.order.lease_until_ms for effect in filter_by_type(found, SendRenewal)]
        self.assertGreater(len(lease_ends), 3)
        self.assertEqual(set(lease_ends), {0})

    def test_runs_restart_after_the_lease(self) -> None:
        """Runs restart elsewhere once the leases have expired at the slowest clock rate."""
        self.bench.add_worker("v")
        found = self.leave_unanswered_for(9.0)
        again = [effect for effect in filter_by_type(found, SendStart) if effect.life == "v"]
        self.assertEqual([effect.order.run for effect in again], [2])

    def test_runs_do_not_restart_within_the_lease(self) -> None:
        """No run restarts while the leases may still be valid."""
        self.bench.add_worker("v")
        found = self.leave_unanswered_for(3.5)
        self.assertEqual(filter_by_type(found, SendStart), [])

    def test_other_life_ends_all_runs(self) -> None:
        """If another life of the worker answers, the runs of the addressed life have ended."""
        self.bench.add_worker("v")
        event = StartAnswered("w", self.order.task, 1, StartResult(Refusal.OTHER_LIFE))
        found = self.bench.feed(event) + self.bench.tick(0.2)
        self.assertEqual([effect.life for effect in filter_by_type(found, SendStart)], ["v"])


class TestUnansweredStart(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench()
        self.bench.add_worker("w")
        self.bench.submit()
        (self.start,) = self.bench.starts()
        self.order = self.start.order

    def leave_start_unanswered(self) -> list:
        return self.bench.feed(StartAnswered("w", self.order.task, 1, None))

    def test_reported_run_is_adopted(self) -> None:
        """An unanswered start has succeeded if the worker reports the run."""
        self.bench.report("w", running=[(self.order.task, 1, 0.0)])
        self.leave_start_unanswered()
        self.bench.report("w", running=[(self.order.task, 1, 5.0)])
        task = self.bench.cell.find_task(self.order.task)
        self.assertEqual((task.phase, task.run), (Phase.RUNNING, 1))

    def report_missing_run(self) -> list:
        """Report no runs after the lost answer to the start."""
        self.bench.report("w")
        self.leave_start_unanswered()
        self.bench.now += 0.01
        self.bench.report("w")
        return self.bench.report("w")

    def test_missing_run_is_stopped_before_it_restarts(self) -> None:
        """An unreported run may still start, so it is stopped before it restarts elsewhere."""
        found = self.report_missing_run()
        self.assertEqual(len(filter_by_type(found, SendStop)), 1)
        self.assertEqual(filter_by_type(found, SendStart), [])
        self.bench.feed(StopAnswered("w", self.order.task, 1, True))
        self.bench.now += 0.01
        self.bench.all_effects.clear()
        for _ in range(5):
            self.bench.report("w")
            self.bench.tick(0.3)
        self.assertEqual(
            [e.order.run for e in filter_by_type(self.bench.all_effects, SendStart)], [2]
        )

    def test_repeated_stop_keeps_its_first_answer(self) -> None:
        """Repeated stop orders do not reset the time of the first answer."""
        self.report_missing_run()
        self.bench.feed(StopAnswered("w", self.order.task, 1, True))
        stop = next(iter(self.bench.cell.pending_stops.values()))
        first = stop.answered_at
        found = self.bench.tick(4.0)
        self.assertTrue(filter_by_type(found, SendStop))
        self.bench.feed(StopAnswered("w", self.order.task, 1, True))
        self.assertEqual(stop.answered_at, first)


class TestWaiting(unittest.TestCase):
    def test_refused_start_leaves_its_job_waiting(self) -> None:
        """A job stays pending until one of its starts is confirmed."""
        bench = Bench()
        bench.add_worker()
        job = bench.submit()
        (start,) = bench.starts()
        self.assertEqual(bench.cell.jobs[job].status, JobStatus.PENDING)
        order = start.order
        refused = StartResult(Refusal.NO_ROOM, bench.now * 1000)
        bench.feed(StartAnswered("w", order.task, order.run, refused))
        self.assertEqual(bench.cell.jobs[job].status, JobStatus.PENDING)
        bench.tick(1.5)
        bench.confirm(bench.starts(bench.all_effects)[-1])
        self.assertEqual(bench.cell.jobs[job].status, JobStatus.RUNNING)


class TestFailures(unittest.TestCase):
    def test_attempts_are_counted_and_end_the_job(self) -> None:
        """A job fails with the last attempt that its queue permits, not before."""
        bench = Bench(attempts=2)
        bench.add_worker()
        bench.submit()
        for run in (1, 2):
            (start,) = bench.starts()
            self.assertEqual(start.order.run, run)
            bench.confirm(start)
            found = bench.report("w", ended=[(start.order.task, run, FAILED)])
            bench.effects = found + bench.tick(3.0)
        statuses = [e.status for e in filter_by_type(bench.effects, PublishStatus)]
        self.assertEqual(statuses, [JobStatus.FAILED])
        self.assertEqual(bench.starts(), [])

    def test_failure_of_a_lost_run_counts(self) -> None:
        """The failure of a run that was considered lost still counts as an attempt."""
        bench = Bench(attempts=2)
        bench.add_worker("w")
        bench.submit()
        (start,) = bench.starts()
        bench.confirm(start)
        task = bench.cell.find_task(start.order.task)
        task.run, task.life, task.phase = 2, "elsewhere", Phase.RUNNING
        bench.report("w", ended=[(start.order.task, 1, FAILED)])
        self.assertEqual(task.failures, 1)

    def test_gang_run_fails_once(self) -> None:
        """Two failed members of one run count as one failure of the gang."""
        bench = Bench(attempts=2)
        bench.add_worker()
        job = bench.submit(make_gang(3))
        starts = bench.starts()
        for start in starts:
            bench.confirm(start)
        tasks = [start.order.task for start in starts]
        bench.report(
            "w",
            ended=[
                (tasks[0], 1, FAILED),
                (tasks[1], 1, FAILED),
                (tasks[2], 1, EndKind.GANG_BROKEN),
            ],
        )
        self.assertEqual(bench.cell.jobs[job].status, JobStatus.RUNNING)
        self.assertEqual({bench.cell.find_task(task).failures for task in tasks}, {1})


def make_gang(count: int):
    return msgspec.structs.replace(SMALL, count=count, gang=True)


class TestGangs(unittest.TestCase):
    def test_starts_as_a_whole_or_not_at_all(self) -> None:
        """A gang starts none of its members unless there are resources for all."""
        bench = Bench()
        bench.add_worker("w", cpu=4000)
        bench.submit(make_gang(5))
        self.assertEqual(bench.starts(), [])
        bench.add_worker("v", cpu=1000)
        found = bench.effects + bench.tick(0.2)
        self.assertEqual(len(bench.starts(found)), 5)
        self.assertEqual({start.order.run for start in bench.starts(found)}, {1})

    def test_refused_member_stops_the_other_members(self) -> None:
        """If a member is refused, the other members are stopped immediately."""
        bench = Bench()
        bench.add_worker()
        bench.submit(make_gang(3))
        first, *others = bench.starts()
        result = StartResult(Refusal.UNHEALTHY)
        found = bench.feed(StartAnswered("w", first.order.task, 1, result))
        stopped = {effect.order.task for effect in filter_by_type(found, SendStop)}
        self.assertEqual(stopped, {start.order.task for start in others})


class TestPlacement(unittest.TestCase):
    def test_stopping_run_still_takes_room(self) -> None:
        """A run that is being stopped still uses its resources."""
        bench = Bench()
        bench.add_worker("w", cpu=1000)
        job = bench.submit()
        (start,) = bench.starts()
        bench.confirm(start)
        found = bench.feed(JobCancelled(job))
        self.assertEqual(len(filter_by_type(found, SendStop)), 1)
        bench.submit()
        self.assertEqual(bench.starts(bench.effects + bench.tick(0.3)), [])
        bench.report("w", ended=[(start.order.task, 1, EndKind.STOPPED)])
        self.assertEqual(len(bench.starts(bench.effects + bench.tick(0.2))), 1)

    def test_steps_follow_their_predecessors(self) -> None:
        """A step waits for all tasks of its predecessor."""
        bench = Bench()
        bench.add_worker()
        later = msgspec.structs.replace(SMALL, after=(0,))
        bench.submit(msgspec.structs.replace(SMALL, count=2), later)
        first, second = bench.starts()
        bench.confirm(first)
        bench.confirm(second)
        bench.report("w", ended=[(first.order.task, 1, DONE)])
        self.assertEqual(bench.starts(bench.effects + bench.tick(0.2)), [])
        found = bench.report("w", ended=[(second.order.task, 1, DONE)])
        started = bench.starts(found + bench.tick(0.2))
        self.assertEqual([start.order.task.step for start in started], [1])

    def test_draining_worker_gets_nothing_new(self) -> None:
        """Nothing is placed on a draining worker."""
        bench = Bench()
        bench.add_worker("w")
        entry = dataclasses.replace(bench.cell.workers["w"].entry, draining=True)
        bench.feed(WorkerListed(entry))
        bench.submit()
        self.assertEqual(bench.starts(bench.effects + bench.tick(0.5)), [])

    def test_delisted_worker_keeps_its_runs(self) -> None:
        """The removal of a worker's entry does not end its runs."""
        bench = Bench()
        bench.add_worker("w")
        bench.submit()
        (start,) = bench.starts()
        bench.confirm(start)
        bench.feed(WorkerDelisted("w"))
        bench.report("w", running=[(start.order.task, 1, 10.0)])
        self.assertIn("w", bench.renewals)
        self.assertEqual(len(bench.cell.workers["w"].runs), 1)

    def test_nothing_is_placed_on_a_worker_delisted_without_draining(self) -> None:
        """Nothing is placed on a worker whose entry was removed while the store was available."""
        bench = Bench()
        bench.add_worker("w")
        bench.feed(WorkerDelisted("w", may_return=False))
        bench.submit()
        bench.tick(1.0)
        self.assertEqual(bench.starts(bench.all_effects), [])

    def test_entry_that_expired_in_a_store_outage_may_return(self) -> None:
        """A worker whose entry expired in a store outage is used for a grace period only."""
        bench = Bench()
        bench.add_worker("w")
        bench.feed(WorkerDelisted("w", may_return=True))
        bench.submit()
        self.assertEqual(len(bench.starts()), 1)
        bench.now += 3.5
        bench.submit()
        bench.tick(0.2)
        self.assertEqual(len(bench.starts(bench.all_effects)), 1)

    def test_next_attempt_avoids_the_worker_of_a_failed_run(self) -> None:
        """The next attempt after a failed run avoids the worker that it failed on."""
        bench = Bench()
        bench.add_worker("w", cpu=8000)
        bench.submit()
        (start,) = bench.starts()
        bench.confirm(start)
        bench.add_worker("v", cpu=1000)
        found = bench.report("w", ended=[(start.order.task, 1, FAILED)])
        again = bench.starts(found + bench.tick(0.3))
        self.assertEqual([effect.life for effect in again], ["v"])


class TestAdvice(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench(advice=AdviceTerms(10.0, 0.1, 2000.0))
        self.bench.add_worker("w")
        self.bench.add_worker("v")

    def answer(self, asked: AskAdvice, *fit: str) -> list:
        tickets = {life: f"ticket-{life}" for life in fit}
        return self.bench.feed(AdviceAnswered(AdviceResult(asked.request, tickets)))

    def test_start_carries_the_ticket(self) -> None:
        """Only workers with a ticket are used, and the start carries that ticket."""
        self.bench.submit()
        (asked,) = filter_by_type(self.bench.effects, AskAdvice)
        self.assertEqual(set(asked.request.workers), {"w", "v"})
        found = self.answer(asked, "v") + self.bench.tick(0.1)
        (start,) = self.bench.starts(found)
        self.assertEqual((start.life, start.order.ticket), ("v", "ticket-v"))

    def test_pending_requests_are_bounded(self) -> None:
        """At most two requests for each node are pending, however many steps wait."""
        for _ in range(20):
            self.bench.submit()
        self.bench.tick(0.2)
        self.assertEqual(len(self.bench.cell.advice_requests), 4)

    def test_unfit_workers_are_not_asked_about_again(self) -> None:
        """Fitness is remembered; only tickets are renewed."""
        self.bench.submit(msgspec.structs.replace(SMALL, size=Size(4000, 1000)))
        (asked,) = filter_by_type(self.bench.effects, AskAdvice)
        self.bench.cell.workers["w"].used = Size(4000, 0)
        self.answer(asked, "w")
        self.bench.tick(2.5)
        self.bench.cell.workers["w"].used = Size(0, 0)
        (again,) = filter_by_type(self.bench.tick(0.1), AskAdvice)
        self.assertEqual(again.request.workers, ("w",))

    def test_gang_request_size_is_bounded(self) -> None:
        """Requests are limited in size; otherwise tickets would expire before the placement."""
        bench = Bench(advice=AdviceTerms(440.0, 6.0, 1500.0))
        for number in range(90):
            bench.add_worker(f"x{number}")
        bench.cell.advice_node_count = 8
        bench.submit(make_gang(8))
        asked = [effect.request.workers for effect in filter_by_type(bench.effects, AskAdvice)]
        self.assertTrue(all(len(workers) < 45 for workers in asked))
        self.assertGreaterEqual(len(asked[0]), 10)

    def test_gang_asks_about_all_workers_in_parallel(self) -> None:
        """Parallel requests cover all workers, each of them once."""
        bench = Bench(advice=AdviceTerms(440.0, 6.0, 1500.0))
        for number in range(90):
            bench.add_worker(f"x{number}")
        bench.submit(make_gang(8))
        asked = [
            life for e in filter_by_type(bench.effects, AskAdvice) for life in e.request.workers
        ]
        self.assertEqual(len(asked), 90)
        self.assertEqual(len(set(asked)), 90)

    def test_gang_counts_valid_tickets(self) -> None:
        """Only expired tickets of workers known to be fit are requested again."""
        bench = Bench(advice=AdviceTerms(440.0, 6.0, 1500.0))
        for number in range(4):
            bench.add_worker(f"x{number}", cpu=1000)
        bench.submit(make_gang(4))
        (asked,) = filter_by_type(bench.effects, AskAdvice)
        self.assertEqual(len(asked.request.workers), 4)
        bench.cell.workers["x3"].used = Size(1000, 0)
        bench.feed(AdviceAnswered(AdviceResult(asked.request, {f"x{n}": "t" for n in range(4)})))
        step = bench.cell.jobs[asked.request.job].repetitions[0][0]
        step.advice.tickets["x0"] = ("t", 0.0)
        bench.cell.workers["x3"].used = Size(0, 0)
        (again,) = filter_by_type(bench.tick(0.1), AskAdvice)
        self.assertEqual(again.request.workers, ("x0",))

    def test_answer_to_a_request_under_previous_terms(self) -> None:
        """An answer to a request sent before the queue's terms changed is not counted."""
        cell = self.bench.cell
        self.bench.submit(msgspec.structs.replace(SMALL, size=Size(4000, 1000)))
        (asked,) = filter_by_type(self.bench.effects, AskAdvice)
        cell.workers["w"].used = Size(4000, 0)
        (step,) = cell.waiting_steps.values()
        step.advice = Advice(step.advice.terms)
        self.answer(asked)
        self.assertEqual(step.advice.pending_requests, 0)

    def test_failed_request_is_repeated(self) -> None:
        """A request without an answer is repeated after a delay."""
        self.bench.submit()
        (asked,) = filter_by_type(self.bench.effects, AskAdvice)
        self.bench.feed(AdviceFailed(asked.request))
        self.assertEqual(len(filter_by_type(self.bench.tick(0.5), AskAdvice)), 1)


class TestTakeover(unittest.TestCase):
    def make_recorded_jobs(self, job: str, life: str, **fields) -> RecordedJobs:
        task = TaskProgress(0, 0, 0, run=3, life=life, **fields)
        progress = JobProgress(JobStatus.RUNNING, [task])
        return RecordedJobs({job: make_accepted_job()}, set(), {job: progress})

    def restore_bench(self, life: str = "w") -> tuple[Bench, str]:
        bench = Bench(token=9)
        job = "a" * 16
        bench.restore(self.make_recorded_jobs(job, life))
        return bench, job

    def test_running_run_is_adopted(self) -> None:
        """A run that the worker reports continues; nothing is started or stopped."""
        bench, job = self.restore_bench()
        bench.add_worker("w", is_synced=False)
        task = bench.cell.jobs[job].repetitions[0][0].tasks[0]
        found = bench.report("w", running=[(task.id, 3, 50.0)]) + bench.tick(1.0)
        self.assertEqual(filter_by_type(found, SendStart) + filter_by_type(found, SendStop), [])

    def test_statuses_are_published_on_restore(self) -> None:
        """A new leader publishes the statuses of all recorded jobs before any event."""
        bench = Bench(token=9)
        job = "a" * 16
        effects = bench.restore(self.make_recorded_jobs(job, "w"))
        shown = [(e.job, e.status) for e in filter_by_type(effects, PublishStatus)]
        self.assertEqual(shown, [(job, JobStatus.RUNNING)])

    def test_recorded_failure_is_not_counted_again(self) -> None:
        """A recorded failure that the worker reports again is counted once."""
        bench = Bench(token=9, attempts=2)
        job = "a" * 16
        bench.restore(self.make_recorded_jobs(job, "", failed_runs=[3]))
        task = bench.cell.jobs[job].repetitions[0][0].tasks[0]
        bench.add_worker("w", is_synced=False)
        bench.report("w", ended=[(task.id, 3, FAILED)])
        self.assertEqual(bench.cell.jobs[job].status, JobStatus.RUNNING)
        bench.tick(0.3)
        self.assertEqual([start.order.run for start in bench.starts(bench.all_effects)], [4])

    def test_run_that_never_arrived_is_restarted(self) -> None:
        """A run missing from the first report to the new leader is restarted."""
        bench, _ = self.restore_bench()
        bench.add_worker("w", is_synced=False)
        found = bench.report("w") + bench.tick(0.2)
        self.assertEqual([start.order.run for start in bench.starts(found)], [4])

    def test_runs_of_an_unreached_worker(self) -> None:
        """The runs of an unreached worker restart only after all leases have expired."""
        bench, _ = self.restore_bench(life="gone")
        bench.add_worker("w")
        self.assertEqual(bench.starts(bench.tick(9.5)), [])
        self.assertEqual(len(bench.starts(bench.tick(1.0))), 1)

    def test_unconfirmed_placement_stays_pending(self) -> None:
        """A job with a recorded placement stays pending until a worker reports the run."""
        bench = Bench(token=9)
        job = "a" * 16
        progress = JobProgress(JobStatus.PENDING, [TaskProgress(0, 0, 0, run=1, life="w")])
        bench.restore(RecordedJobs({job: make_accepted_job()}, set(), {job: progress}))
        self.assertEqual(bench.cell.jobs[job].status, JobStatus.PENDING)
        bench.add_worker("w", is_synced=False)
        task = bench.cell.jobs[job].repetitions[0][0].tasks[0].id
        bench.report("w", running=[(task, 1, 5.0)])
        self.assertEqual(bench.cell.jobs[job].status, JobStatus.RUNNING)

    def test_cancelled_job_is_stopped_by_the_successor(self) -> None:
        """A reported run of a cancelled job is stopped."""
        bench = Bench(token=9)
        job = "a" * 16
        recorded = self.make_recorded_jobs(job, "w")
        bench.restore(RecordedJobs(recorded.accepted, {job}, recorded.progress))
        task = bench.cell.jobs[job].repetitions[0][0].tasks[0]
        bench.add_worker("w", is_synced=False)
        found = bench.report("w", running=[(task.id, 3, 50.0)]) + bench.tick(0.6)
        self.assertTrue(filter_by_type(found, SendStop))
        self.assertEqual(filter_by_type(found, SendStart), [])

    def test_unrecorded_run_is_stopped(self) -> None:
        """A reported run without a record is stopped, and uses resources until it has ended."""
        bench, job = self.restore_bench(life="elsewhere")
        task = bench.cell.jobs[job].repetitions[0][0].tasks[0]
        bench.add_worker("w", is_synced=False)
        found = bench.report("w", running=[(task.id, 2, 50.0)])
        self.assertEqual([e.order.run for e in filter_by_type(found, SendStop)], [2])
        self.assertEqual(bench.cell.workers["w"].used.cpu, 1000)

    def test_ended_job_does_not_run_again(self) -> None:
        """An ended job is published with its status and does not run again if resubmitted."""
        bench = Bench(token=9)
        bench.add_worker()
        job = "a" * 16
        ended = JobProgress(JobStatus.COMPLETED, [])
        effects = bench.restore(RecordedJobs({}, set(), {job: ended}))
        shown = [(e.job, e.status) for e in filter_by_type(effects, PublishStatus)]
        self.assertEqual(shown, [(job, JobStatus.COMPLETED)])
        found = bench.feed(JobAccepted(job, make_accepted_job())) + bench.tick(1.0)
        self.assertEqual(
            filter_by_type(found, SendStart) + filter_by_type(found, PublishStatus), []
        )
        self.assertEqual([e.names for e in filter_by_type(found, ForgetAccepted)], [(job,)])

    def test_run_of_an_ended_job_blocks_its_worker(self) -> None:
        """A run whose size is unknown blocks its worker until it has ended."""
        bench = Bench(token=9)
        job = "a" * 16
        bench.restore(RecordedJobs({}, set(), {job: JobProgress(JobStatus.COMPLETED, [])}))
        bench.add_worker("w", is_synced=False)
        stray = TaskId(job, 0, 0, 0)
        found = bench.report("w", running=[(stray, 2, 50.0)])
        self.assertEqual([e.order.task for e in filter_by_type(found, SendStop)], [stray])
        bench.submit()
        self.assertEqual(bench.starts(bench.tick(0.5)), [])
        found = bench.report("w", ended=[(stray, 2, EndKind.STOPPED)]) + bench.tick(0.2)
        self.assertEqual(len(bench.starts(found)), 1)

    def test_fenced_leader_steps_down(self) -> None:
        """A refusal from a worker that has seen a higher token makes the leader step down."""
        bench = Bench()
        bench.add_worker()
        bench.submit()
        (start,) = bench.starts()
        result = StartResult(Refusal.FENCED)
        found = bench.feed(StartAnswered("w", start.order.task, 1, result))
        self.assertEqual(len(filter_by_type(found, StepDown)), 1)


class TestSubmissionRecord(unittest.TestCase):
    """A job's submission record is deleted once it is not needed any more."""

    def setUp(self) -> None:
        self.bench = Bench()
        self.bench.add_worker()
        self.job = self.bench.submit()
        (self.start,) = self.bench.starts()
        self.bench.confirm(self.start)

    def forgotten_names(self, effects) -> list[tuple[str, ...]]:
        return [effect.names for effect in filter_by_type(effects, ForgetAccepted)]

    def end_run(self, kind: EndKind) -> list:
        return self.bench.report("w", ended=[(self.start.order.task, 1, kind)])

    def test_not_before_its_end_is_recorded(self) -> None:
        """The submission record is kept until the job's end is recorded."""
        self.bench.is_store_paused = True
        found = self.end_run(DONE) + self.bench.tick(1.0)
        self.assertEqual(self.forgotten_names(found), [])
        self.bench.is_store_paused = False
        found = self.bench.feed(Persisted(self.bench.cell.batch_number))
        self.assertEqual(self.forgotten_names(found), [(self.job,)])

    def test_resubmitted_before_its_end_is_recorded(self) -> None:
        """The record of a resubmitted job is kept until the job's end is recorded."""
        self.bench.is_store_paused = True
        self.end_run(DONE)
        found = self.bench.feed(JobAccepted(self.job, make_accepted_job())) + self.bench.tick(1.0)
        self.assertEqual(self.forgotten_names(found), [])
        self.bench.is_store_paused = False
        found = self.bench.feed(Persisted(self.bench.cell.batch_number)) + self.bench.tick(0.2)
        self.assertIn((self.job,), self.forgotten_names(found))

    def test_not_while_a_run_is_being_stopped(self) -> None:
        """The record is kept while a run is being stopped, as a successor counts its resources."""
        found = self.bench.feed(JobCancelled(self.job)) + self.bench.tick(0.3)
        self.assertEqual(self.forgotten_names(found), [])
        found = self.end_run(EndKind.STOPPED) + self.bench.tick(0.1)
        self.assertEqual(self.forgotten_names(found), [(self.job,)])

    def test_end_of_the_retention_drops_all_records_together(self) -> None:
        """After its retention time a job is dropped with the name of its submission record."""
        self.end_run(DONE)
        self.bench.cell.job_ended_at[self.job] -= SETTINGS.retention_s
        found = self.bench.tick(0.1)
        self.assertEqual(filter_by_type(found, DropJobs), [DropJobs((self.job,), (self.job,))])

    def test_job_submitted_again_after_its_retention_is_not_dropped(self) -> None:
        """A job is dropped at once, so that its identifier may be used again."""
        self.end_run(DONE)
        self.bench.is_store_paused = True
        self.bench.submit()
        self.bench.tick(0.5)
        self.assertTrue(self.bench.cell.batch_records)
        self.bench.cell.job_ended_at[self.job] -= SETTINGS.retention_s
        self.assertEqual(len(filter_by_type(self.bench.tick(0.1), DropJobs)), 1)
        self.bench.feed(JobAccepted(self.job, make_accepted_job()))
        self.bench.is_store_paused = False
        found = self.bench.feed(Persisted(self.bench.cell.batch_number)) + self.bench.tick(0.2)
        self.assertEqual(filter_by_type(found, DropJobs), [])


class TestCancelling(unittest.TestCase):
    def test_cancellation_may_precede_its_job(self) -> None:
        """A cancellation that arrives before its job keeps the job from running."""
        bench = Bench()
        bench.add_worker()
        bench.feed(JobCancelled("a" * 16))
        found = bench.feed(JobAccepted("a" * 16, make_accepted_job())) + bench.tick(0.3)
        self.assertEqual(bench.starts(found), [])
        statuses = [e.status for e in filter_by_type(found, PublishStatus)]
        self.assertEqual(statuses[-1], JobStatus.CANCELLED)


class TestSlowWorkers(unittest.TestCase):
    def test_run_moves_away_from_a_slow_worker(self) -> None:
        """A run without progress is stopped if another worker can run it."""
        bench = Bench()
        bench.add_worker("w")
        bench.submit()
        (start,) = bench.starts()
        bench.confirm(start)
        bench.add_worker("v")
        stops = []
        for _ in range(40):
            stops += filter_by_type(
                bench.report("w", running=[(start.order.task, 1, 1.0)]), SendStop
            )
            stops += filter_by_type(bench.tick(0.3), SendStop)
            if stops:
                break
        self.assertEqual([stop.order.task for stop in stops[:1]], [start.order.task])
        self.assertGreater(bench.cell.workers["w"].slowness, 1.8)

    def test_run_at_the_estimated_speed_stays(self) -> None:
        """A run that progresses as estimated is not moved."""
        bench = Bench()
        bench.add_worker("w")
        bench.submit()
        (start,) = bench.starts()
        bench.confirm(start)
        bench.add_worker("v")
        for percent in (5, 35, 65, 95):
            found = bench.report("w", running=[(start.order.task, 1, percent)])
            self.assertEqual(filter_by_type(found, SendStop), [])
            bench.tick(0.3)
        self.assertLess(bench.cell.workers["w"].slowness, 1.3)


if __name__ == "__main__":
    unittest.main()
