"""Replay of random walks through the models of charged runs on the real reducer."""

import random
import unittest
from collections.abc import Callable

from snowdock.jobs.events import (
    Persist,
    Persisted,
    StartAnswered,
    StopAnswered,
    WorkerDelisted,
)
from snowdock.jobs.evidence import Evidence
from snowdock.jobs.job_state import Task
from snowdock.jobs.model import JobStatus
from snowdock.jobs.orders import EndKind, Refusal, StartResult
from specs import crash_model, loss_model
from specs.crash_model import Phase, State
from specs.tools import Rules
from tests.jobs_tools import SMALL, LeaderSequence, disconnect_worker, filter_by_type

WALKS = 150
STEPS = 60
_LEASE_EXPIRY_SECONDS = 12.0
"""Time after which runs on workers unknown to a new leader count as lost."""

_NO_SIGN_SECONDS = 16.0
"""Time after which losses without a sign of their workers no longer delay a start."""

_MAX_PAUSE_SECONDS = 31
"""Upper bound of the pause after refused starts, and of the hold."""

_LABEL_WEIGHTS = {"is done": 0.02, "a worker that was cut off answers": 0.05, "is cut off": 4.0}


class Replay:
    """Feeds the transitions of a walk to the reducer."""

    def __init__(self) -> None:
        self.leaders = LeaderSequence(SMALL, workers=0)
        # Batches wait until the walk records them.
        self.leaders.bench.is_store_paused = True
        self.life = ""
        self.is_listed = True
        self._lives_up: set[str] = set()

    @property
    def task(self) -> Task:
        ((step,),) = self.leaders.bench.cell.jobs[self.leaders.job].repetitions.values()
        return step.tasks[0]

    def apply(self, label: str) -> None:
        """Apply the transition with a given label."""
        handler = self.handlers().get(label)
        if handler is not None:
            handler()

    def handlers(self) -> dict[str, Callable[[], object]]:
        """Return the handlers of transitions by label; others concern only the worker."""
        return {
            "is placed": self._place,
            "is on record": self._record,
            # The model keeps run numbers modulo 2, so an older record may count as this run's.
            "is sent": self._record,
            "another leader takes over": self._replace_leader,
            "is answered": lambda: self._answer(is_answered=True),
            "is not answered": lambda: self._answer(is_answered=False),
            "was not there": self._report_absent,
            "another life answers": self._end_life,
            "another life answers, it had drained": self._end_draining_life,
            "its worker is not known": lambda: self._lose_orphan(is_up=False),
            "its worker is not known, cut off": self._lose_orphan,
            "leases are over": lambda: self._disconnect(is_up=False),
            "leases are over, cut off": lambda: self._disconnect(is_up=True),
            "a loss: another life has its id": lambda: self._list_next_life(Evidence.LOSS),
            "an uncertain loss: another life has its id": lambda: self._list_next_life(
                Evidence.UNCERTAIN_LOSS
            ),
            "a worker that was cut off answers": self._heal,
            "no sign of the lost workers": lambda: self.leaders.bench.tick(_NO_SIGN_SECONDS),
            "is told as broken off": lambda: self._report_end(EndKind.GANG_BROKEN),
        }

    def _place(self) -> None:
        if not self.task.life:
            self.leaders.add_worker()
            # Wait for the end of the suspect's isolation, or of a pause after refusals.
            self.leaders.bench.tick(2.0)
            for _ in range(_MAX_PAUSE_SECONDS):
                if self.task.life:
                    break
                self.leaders.bench.tick(1.0)
        self.life = self.task.life
        self.is_listed = True

    def _record(self) -> None:
        bench = self.leaders.bench
        while bench.cell.batch_records:
            batch = [each for each in filter_by_type(bench.all_effects, Persist)][-1]
            bench.recorded |= {record.key: record.data for record in batch.records}
            bench.feed(Persisted(batch.number))

    def _replace_leader(self) -> None:
        self.leaders.replace_leader()
        self.leaders.bench.is_store_paused = True
        self.life = self.task.life
        self.is_listed = False

    def _answer(self, is_answered: bool) -> None:
        (start,) = self.leaders.bench.starts(self.leaders.bench.all_effects)[-1:]
        if is_answered:
            self.leaders.bench.confirm(start)
        else:
            order = start.order
            event = StartAnswered(start.life, order.task, order.run, None)
            self.leaders.bench.feed(event)

    def _list_worker(self, draining: bool = False) -> None:
        if draining or not self.is_listed:
            self.leaders.list_worker(self.life, draining)
        self.is_listed = True

    def _report_absent(self) -> None:
        """Report that the run is not on the worker, and confirm its stop."""
        # The worker drains so that the task is placed again only when the walk places it.
        self._list_worker(draining=True)
        bench = self.leaders.bench
        run = self.task.run
        for _ in range(4):
            bench.report(self.life)
            if not self.task.life:
                return
            bench.tick(0.1)
            bench.feed(StopAnswered(self.life, self.task.id, run, True, None))
        raise AssertionError("the run still counts as placed on the worker")

    def _end_life(self) -> None:
        self._list_worker()
        self.leaders.bench.end_life(self.life)

    def _end_draining_life(self) -> None:
        self._list_worker(draining=True)
        self.leaders.bench.end_life(self.life)

    def _lose_orphan(self, is_up: bool = True) -> None:
        if is_up:
            self._lives_up.add(self.life)
        self.leaders.bench.tick(_LEASE_EXPIRY_SECONDS)

    def _disconnect(self, is_up: bool) -> None:
        if is_up:
            self._lives_up.add(self.life)
        disconnect_worker(self.leaders.bench, self.life)

    def _list_next_life(self, evidence: Evidence) -> None:
        """List the next life under the id of a crashed worker with a charge."""
        life = next(
            charge.life
            for charge in self.task.charges
            if charge.evidence is evidence and charge.life not in self._lives_up
        )
        # It reports nothing, so that the task is placed again only when the walk places it.
        self.leaders.bench.add_worker(f"{life}@1", is_synced=False)

    def _heal(self) -> None:
        """Report from a worker that was cut off, and that drains."""
        life = next(each.life for each in self.task.charges if each.life in self._lives_up)
        self.leaders.list_worker(life, draining=True)
        self.leaders.bench.report(life)

    def _report_end(self, kind: EndKind) -> None:
        self._list_worker(draining=True)
        end = (self.task.id, self.task.run, kind)
        self.leaders.bench.report(self.life, ended=[end])


class LossReplay(Replay):
    """Feeds a walk of a task that works on workers that do not crash."""

    def handlers(self) -> dict[str, Callable[[], object]]:
        return super().handlers() | {
            "is reported": self._report_running,
            "is refused as malformed": self._refuse,
            "its worker leaves": self._leave,
            "is done": lambda: self._report_end(EndKind.DONE),
        }

    def _report_running(self) -> None:
        self._list_worker()
        running = [(self.task.id, self.task.run, 1.0)]
        self.leaders.bench.report(self.life, running=running)

    def _refuse(self) -> None:
        (start,) = self.leaders.bench.starts(self.leaders.bench.all_effects)[-1:]
        result = StartResult(Refusal.MALFORMED, self.leaders.bench.now * 1000)
        # The worker drains so that the task is placed again only when the walk places it.
        self._list_worker(draining=True)
        order = start.order
        self.leaders.bench.feed(StartAnswered(start.life, order.task, order.run, result))

    def _leave(self) -> None:
        """Have the worker shut down without draining, some seconds after the start."""
        bench = self.leaders.bench
        for _ in range(6):
            self._report_running()
            bench.tick(0.5)
        bench.feed(WorkerDelisted(self.life, may_return=False))
        self._report_running()
        bench.end_life(self.life)


def count_charges(task: Task) -> tuple[int, int, int, int]:
    """Return the numbers of crashes, possible crashes, losses and early ends."""
    kinds = [charge.evidence for charge in task.charges]
    return (
        kinds.count(Evidence.CRASH),
        kinds.count(Evidence.POSSIBLE_CRASH),
        kinds.count(Evidence.LOSS) + kinds.count(Evidence.UNCERTAIN_LOSS),
        kinds.count(Evidence.EARLY_END),
    )


def _expected_counts(state: State) -> tuple[int, int, int, int]:
    charges = state.charges
    return charges.crashes, charges.possible, charges.unresolved, charges.early_ends


class TestReplay(unittest.TestCase):
    def test_walks(self) -> None:
        """After each transition, the reducer's charges and the job's failure match the model."""
        model = crash_model.Model(crash_model.Bounds(takeovers=4, partitions=4), Rules(""))
        given_up = 0
        for seed in range(WALKS):
            with self.subTest(seed=seed):
                given_up += self.walk(model, random.Random(seed))
        self.assertGreater(given_up, WALKS // 10)

    def walk(self, model: crash_model.Model, rng: random.Random) -> bool:
        """Replay one walk; return whether the task was given up."""
        state, replay, labels = State(), Replay(), []
        for _ in range(STEPS):
            steps = model.transitions(state)
            if not steps:
                break
            label, after = rng.choice(steps)
            labels.append(label)
            replay.apply(label)
            state = after
            task = replay.task
            self.assertEqual(count_charges(task), _expected_counts(state), labels)
            is_given_up = state.phase is Phase.GIVEN_UP
            self.assertEqual(replay.leaders.status is JobStatus.FAILED, is_given_up, labels)
            if is_given_up:
                return True
        return False

    def test_walks_without_crashes(self) -> None:
        """A task that works is charged as in the model, and its job is never shown as failed."""
        model = loss_model.Model(loss_model.Bounds(takeovers=4, troubles=12), Rules(""))
        most_losses = 0
        for seed in range(WALKS):
            with self.subTest(seed=seed):
                most_losses = max(most_losses, self.walk_without_crashes(model, seed))
        self.assertGreaterEqual(most_losses, loss_model.MAX_LOSSES)

    def walk_without_crashes(self, model: loss_model.Model, seed: int) -> int:
        """Replay one walk; return the largest number of losses in it."""
        rng = random.Random(seed)
        state, replay, labels, most_losses = loss_model.State(), LossReplay(), [], 0
        for _ in range(STEPS):
            steps = model.transitions(state)
            if not steps:
                break
            # Most runs do not end well, so that losses add up.
            weights = [_LABEL_WEIGHTS.get(label, 1.0) for label, _ in steps]
            ((label, state),) = rng.choices(steps, weights)
            labels.append(label)
            replay.apply(label)
            # Runs that ended early only delay a start.
            self.assertEqual(count_charges(replay.task)[:3], (0, 0, state.losses), labels)
            self.assertIsNot(replay.leaders.status, JobStatus.FAILED, labels)
            most_losses = max(most_losses, state.losses)
        return most_losses


if __name__ == "__main__":
    unittest.main()
