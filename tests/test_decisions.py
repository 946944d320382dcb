"""Tests of placement, preemption, ownership, shares, minion selection and retries."""

import random
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from snowdock.decisions.capacity_index import CapacityIndex
from snowdock.decisions.minion_choice import MinionHealth, choose_minion, record_result
from snowdock.decisions.ownership import find_owner
from snowdock.decisions.placements import Unplaced, place_tasks
from snowdock.decisions.preemption import choose_preemptions
from snowdock.decisions.retries import RetryBudget, backoff_seconds
from snowdock.decisions.shares import MinionView, target_share
from snowdock.declarations import ZERO_SIZE, Declarations, Size, Team, WorkSpec
from snowdock.policies import PolicySet
from snowdock.records import StopRequested, TasksPlaced
from snowdock.state import Configuration, State, Task, TaskState, Work, Worker

NODES = ["a", "b", "c", "d"]


def make_cluster(sizes: list[Size], quota: float = 1000) -> tuple[State, CapacityIndex]:
    team = Team(cpu=quota, memory_gb=10_000, accelerators=1000)
    state = State(configuration=Configuration(1, "", Declarations(teams={"t": team})))
    index = CapacityIndex(random.Random(1))
    for n, size in enumerate(sizes):
        worker = Worker(f"w{n}", "b", size, f"r{n // 2}", f"h{n % 2}", "")
        state.workers[worker.name] = worker
        index.update(worker)
    return state, index


def make_work(kind: str, tasks: int, size: Size) -> Work:
    spec = WorkSpec(kind, "x", "t", tasks, size)
    return Work(1, "k", spec, [Task() for _ in range(tasks)], 0, open_tasks=tasks)


class TestPlace(unittest.TestCase):
    def setUp(self) -> None:
        self.failures: list = []
        self.policies = PolicySet(self.failures.append)

    def place(self, state, index, work):
        return place_tasks(work, state, index, self.policies, ZERO_SIZE)

    @settings(max_examples=100, deadline=None)
    @given(
        st.lists(
            st.builds(Size, st.integers(0, 8), st.integers(0, 8), st.integers(0, 2)),
            min_size=1,
            max_size=30,
        ),
        st.builds(Size, st.integers(1, 4), st.integers(1, 4), st.integers(0, 1)),
        st.integers(1, 6),
    )
    def test_places_tasks_if_any_worker_has_capacity(
        self, sizes: list, size: Size, tasks: int
    ) -> None:
        """Tasks are placed if and only if a worker has capacity, and never beyond it."""
        state, index = make_cluster([Size(s.cpu, s.memory, s.accelerators) for s in sizes])
        result = self.place(state, index, make_work("batch", tasks, size))
        fits = [s for s in sizes if s.holds(size)]
        self.assertEqual(isinstance(result, TasksPlaced), bool(fits))
        for name in state.workers:
            free = index.free(name)
            self.assertTrue(min(free.cpu, free.memory, free.accelerators) >= 0)

    def test_gang_is_placed_completely_or_not_at_all(self) -> None:
        """A gang that does not fit as a whole reserves no capacity."""
        state, index = make_cluster([Size(4, 4)] * 3)
        result = self.place(state, index, make_work("gang", 4, Size(3, 3)))
        self.assertEqual(result, Unplaced("no room for all 4 tasks at once", needs_capacity=True))
        self.assertEqual([index.free(name) for name in state.workers], [Size(4, 4)] * 3)
        result = self.place(state, index, make_work("gang", 3, Size(3, 3)))
        self.assertEqual(len(result.placements), 3)

    def test_service_is_spread(self) -> None:
        """The tasks of a service are spread over workers and data halls."""
        state, index = make_cluster([Size(16, 16)] * 8)
        result = self.place(state, index, make_work("service", 4, Size(1, 1)))
        chosen = [state.workers[p.worker] for p in result.placements]
        self.assertEqual(len({w.name for w in chosen}), 4)
        self.assertEqual(sum(w.hall == "h0" for w in chosen), 2)

    def test_accelerators_are_reserved_for_tasks_that_need_them(self) -> None:
        """Work without accelerators is placed on workers without accelerators first."""
        state, index = make_cluster([Size(4, 4, 8), Size(4, 4, 0)])
        result = self.place(state, index, make_work("batch", 4, Size(1, 1)))
        self.assertNotIn("w0", {p.worker for p in result.placements[:1]})

    def test_unplaced_work_has_a_reason(self) -> None:
        """The reason names the team's quota or a size that exceeds every worker."""
        state, index = make_cluster([Size(4000, 4)], quota=0.001)
        work = make_work("batch", 1, Size(2, 1))
        self.assertEqual(self.place(state, index, work), Unplaced("team t is at its quota"))
        state, index = make_cluster([Size(4, 4)])
        work = make_work("batch", 1, Size(5, 1))
        self.assertEqual(
            self.place(state, index, work), Unplaced("no worker could ever hold one task")
        )

    def test_failing_worker_gets_one_task_at_a_time(self) -> None:
        """A worker with many consecutive failures gets a single task as a probe."""
        state, index = make_cluster([Size(8, 8)])
        state.workers["w0"].failure_streak = 9
        index.update(state.workers["w0"])
        result = self.place(state, index, make_work("batch", 4, Size(1, 1)))
        self.assertEqual(len(result.placements), 1)


class TestFailingWorks(unittest.TestCase):
    """Works that always fail must not stop the placement of other works."""

    def failing_cluster(self, workers: int) -> tuple[State, CapacityIndex]:
        state, index = make_cluster([Size(8, 8)] * workers)
        for worker in state.workers.values():
            worker.failure_streak = 9
            worker.attempts = {"1.0.1": Size(1, 1)}
            worker.used = Size(1, 1)
            index.update(worker)
        return state, index

    def test_majority_of_workers_is_never_on_probation(self) -> None:
        """If more than half of the workers fail, they get further tasks all the same."""
        state, index = self.failing_cluster(4)
        found = place_tasks(
            make_work("batch", 4, Size(2, 2)), state, index, PolicySet([].append), ZERO_SIZE
        )
        self.assertEqual(len(found.placements), 4)

    def test_failing_worker_is_closed_while_a_service_runs_there(self) -> None:
        """A failing worker gets further tasks once one has run there for ten seconds."""
        now = 100.0
        index = CapacityIndex(random.Random(1), lambda: now)
        worker = Worker("w0", "b", Size(8, 8), "r", "h", "a", failure_streak=5)
        for name in ("w1", "w2"):
            index.update(Worker(name, "b", Size(1, 1), "r", "h", "a"))
        worker.attempts = {"1.0.1": Size(1, 1)}
        index.update(worker)
        self.assertEqual(index.candidates(Size(2, 2)), [])
        now += 9.0
        worker.attempts = {"1.0.1": Size(1, 1), "2.0.1": Size(1, 1)}
        index.update(worker)
        self.assertEqual(index.candidates(Size(2, 2)), [])
        now += 1.0
        self.assertEqual(index.candidates(Size(2, 2)), ["w0"])
        worker.failure_streak = 6
        index.update(worker)
        self.assertEqual(index.candidates(Size(2, 2)), [], "a failure begins a new probation")
        now += 10.0
        del worker.attempts["1.0.1"]
        index.update(worker)
        self.assertEqual(index.candidates(Size(2, 2)), [], "another task is the probe")
        now += 10.0
        self.assertEqual(index.candidates(Size(2, 2)), ["w0"])

    def test_minority_of_failing_workers_is_probed(self) -> None:
        """If most workers succeed, a failing one gets one task at a time."""
        state, index = self.failing_cluster(4)
        for name in ("w1", "w2", "w3"):
            state.workers[name].failure_streak = 0
            index.update(state.workers[name])
        found = place_tasks(
            make_work("batch", 12, Size(2, 2)), state, index, PolicySet([].append), ZERO_SIZE
        )
        self.assertNotIn("w0", {placed.worker for placed in found.placements})


class TestPreemption(unittest.TestCase):
    def setUp(self) -> None:
        self.failures: list = []
        self.state, _ = make_cluster([Size(4, 4)] * 2)
        self.urgent = make_work("batch", 1, Size(3, 3))
        self.urgent.spec = msgspec.structs.replace(self.urgent.spec, priority=90)

    def add_running_attempt(self, number: int, worker: str, size: Size, **fields) -> None:
        spec = msgspec.structs.replace(WorkSpec("batch", "v", "t", 1, size), **fields)
        task = Task(TaskState.RUNNING, 1, worker)
        self.state.works[number] = Work(number, f"k{number}", spec, [task], 0, open_tasks=1)
        found = self.state.workers[worker]
        found.attempts = {**found.attempts, f"{number}.0.1": size}
        found.used = found.used.plus(size)

    def choose_preemptions(self) -> list:
        policies = PolicySet(self.failures.append)
        return choose_preemptions(self.urgent, self.state, policies, random.Random(1))

    def test_fewest_lowest_priority_attempts_are_preempted(self) -> None:
        """The fewest attempts of lowest priority are stopped by checkpoint."""
        for number, priority in ((11, 10), (12, 20)):
            self.add_running_attempt(number, "w0", Size(2, 2), priority=priority)
        self.add_running_attempt(13, "w1", Size(4, 4), priority=95)
        self.assertEqual(
            self.choose_preemptions(),
            [StopRequested(11, 0, 1, "checkpoint"), StopRequested(12, 0, 1, "checkpoint")],
        )

    def test_non_preemptible_and_higher_priority_work_stays(self) -> None:
        """Non-preemptible work and work of equal priority are not preempted."""
        self.add_running_attempt(11, "w0", Size(4, 4), priority=0, preemptible=False)
        self.add_running_attempt(12, "w1", Size(4, 4), priority=90)
        self.assertEqual(self.choose_preemptions(), [])

    def test_stopping_attempts_are_counted(self) -> None:
        """No attempt is preempted on a worker whose stopping attempts free enough capacity."""
        self.add_running_attempt(11, "w0", Size(4, 4), priority=1)
        self.add_running_attempt(12, "w1", Size(4, 4), priority=99)
        self.state.works[11].tasks[0].stopping = True
        self.assertEqual(self.choose_preemptions(), [])


class TestOwnership(unittest.TestCase):
    @given(st.text(max_size=20), st.permutations(NODES))
    def test_owner_is_consistent_and_stable(self, key: str, nodes: list) -> None:
        """The order of nodes does not matter, and only keys of a removed node change owner."""
        first = find_owner(key, nodes)
        self.assertEqual(first, find_owner(key, NODES))
        left = [node for node in NODES if node != "a"]
        if first != "a":
            self.assertEqual(find_owner(key, left), first)

    @given(st.text(max_size=20), st.integers(0, 64), st.integers(1, 4))
    def test_targets_add_up(self, minion: str, slots: int, count: int) -> None:
        """The targets of all nodes add up to the minion's slots."""
        nodes = NODES[:count]
        total = sum(target_share(minion, slots, node, nodes) for node in NODES)
        self.assertEqual(total, slots)


class TestMinionChoice(unittest.TestCase):
    @staticmethod
    def view(name: str, hall: str) -> MinionView:
        return MinionView(name, "g", hall, "", 8, 8, 0, True)

    def test_minion_in_own_hall_is_preferred(self) -> None:
        """A minion in the node's data hall is preferred to one with more idle slots."""
        near, far = self.view("n", "h1"), self.view("f", "h2")
        candidates = [(near, 1, MinionHealth()), (far, 8, MinionHealth())]
        self.assertEqual(choose_minion(candidates, "h1", "", 0.0), near)

    def test_failing_minion_is_excluded_and_probed(self) -> None:
        """After consecutive failures a minion is excluded, then gets one probe request."""
        health = MinionHealth()
        for _ in range(3):
            record_result(health, True, 0.0)
        minion = self.view("n", "h1")
        self.assertIsNone(choose_minion([(minion, 8, health)], "h1", "", 0.0))
        self.assertEqual(choose_minion([(minion, 8, health)], "h1", "", 60.0), minion)
        health.is_probing = True
        self.assertIsNone(choose_minion([(minion, 8, health)], "h1", "", 60.0))
        record_result(health, False, 60.0)
        self.assertEqual(choose_minion([(minion, 8, health)], "h1", "", 60.0), minion)


class TestRetries(unittest.TestCase):
    def test_budget_is_spent_and_earned(self) -> None:
        """Retries are refused once the budget is spent, until successes refill it."""
        budget = RetryBudget()
        while budget.try_spend():
            pass
        for _ in range(9):
            budget.record_success()
        self.assertFalse(budget.try_spend())
        for _ in range(2):
            budget.record_success()
        self.assertTrue(budget.try_spend())

    @given(st.integers(1, 50), st.floats(0, 1))
    def test_backoff_is_bounded(self, tries: int, jitter: float) -> None:
        """The delay is never negative or above its maximum."""
        self.assertTrue(0 <= backoff_seconds(tries, jitter) <= 1)
