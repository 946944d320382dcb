"""Tests that replay load through the decision code, without a network.

The model is a pool that works off jobs by priority and age. Each test also replays its load with
all jobs admitted, and fails if that meets the same bounds.
"""

import collections
import dataclasses
import math
import random
import unittest
from collections.abc import Callable

from snowdock.admission.decision import Admitted, Caller, Reason, Refused, decide
from snowdock.admission.inputs import make_demand, make_view
from snowdock.admission.retry_planner import RetryPlanner
from snowdock.declarations import Size
from snowdock.jobs.load_summary import LoadSummary, QueueLoad, ServiceLoad, TeamLoad
from snowdock.jobs.model import JobSpec, Queue, StepSpec
from snowdock.jobs.progress import AcceptedJob

CORES = 1000
SUMMARY_SECONDS = 1.0
WORKER = Size(16_000, 65_536)

URGENT = Queue("urgent", "", "/", "pool", 0, stretch=1.5, target_latency_ms=254)
WIDE = Queue("wide", "", "/", "pool", 2, stretch=4.0, target_latency_ms=3006)
STEPS = {
    "urgent": StepSpec(3, Size(2500, 100), 800),
    "wide": StepSpec(25, Size(1700, 100), 3400),
}


def work(queue: Queue) -> float:
    step = STEPS[queue.name]
    return step.count * step.size.cpu * step.estimate_ms / 1e6


@dataclasses.dataclass
class Waiting:
    at: float
    queue: Queue
    team: str
    core_s: float


class Pool:
    """Works off jobs at a rate, and admits new ones by a summary that is up to a second old."""

    def __init__(self, teams: int, admits_all: bool) -> None:
        self.teams = [f"team-{n}" for n in range(teams)]
        self.admits_all = admits_all
        self.rate = float(CORES)
        self.now = 0.0
        self.waiting: list[Waiting] = []
        self.started: dict[str, collections.deque] = collections.defaultdict(
            lambda: collections.deque(maxlen=20)
        )
        self.summary = LoadSummary()
        self.summary_at = -math.inf
        self.refusals: collections.Counter[tuple[str, str, Reason]] = collections.Counter()
        self.longest_prediction: dict[tuple[str, str], float] = collections.defaultdict(float)
        self.waits: list[tuple[Queue, float]] = []

    def submit(self, queue: Queue, team: str) -> None:
        spec = JobSpec(queue.name, "", (STEPS[queue.name],))
        accepted = AcceptedJob(spec, 0, "pool", queue.priority, 1, team)
        view = make_view(self.summary, self.summary_at, accepted, 0.0)
        kind = (team, queue.name)
        self.longest_prediction[kind] = max(
            self.longest_prediction[kind], view.predicted_wait_s or 0.0
        )
        decision = decide(make_demand(accepted, queue), Caller(self.now), view, self.now)
        if isinstance(decision, Refused):
            self.refusals[team, queue.name, decision.reason] += 1
        if self.admits_all or isinstance(decision, Admitted):
            self.waiting.append(Waiting(self.now, queue, team, work(queue)))

    def tick(self, seconds: float) -> None:
        self.now += seconds
        room = self.rate * seconds
        done: collections.Counter[str] = collections.Counter()
        self.waiting.sort(key=lambda job: (job.queue.priority, job.at))
        for job in list(self.waiting):
            used = min(room, job.core_s)
            job.core_s -= used
            done[job.queue.name] += used
            room -= used
            if job.core_s > 1e-9:
                break
            self.waiting.remove(job)
            self.waits.append((job.queue, self.now - job.at))
        for name in STEPS:
            self.started[name].append(done[name] / seconds)
        if self.now - self.summary_at >= SUMMARY_SECONDS:
            self.summary, self.summary_at = self.make_summary(), self.now

    def make_summary(self) -> LoadSummary:
        by_queue: collections.Counter[str] = collections.Counter()
        by_team: collections.Counter[str] = collections.Counter()
        for job in self.waiting:
            by_queue[job.queue.name] += job.core_s
            by_team[job.team] += job.core_s
        capacity = Size(int(self.rate * 1000), 10**9)
        service = ServiceLoad("pool", capacity, Size(0, 0), WORKER, self.rate)
        queues = tuple(
            QueueLoad(
                name,
                "pool",
                waiting_core_s=by_queue[name],
                preceding_core_s=by_queue[name],
                started_rate=sum(self.started[name]) / max(1, len(self.started[name])),
            )
            for name in STEPS
        )
        shares = 1 / len(self.teams)
        loads = tuple(TeamLoad(t, shares, waiting_core_s=by_team[t]) for t in self.teams)
        return LoadSummary(1, 1, self.now, True, (service,), queues, loads)

    def useless(self) -> int:
        """Return the number of jobs that ended or would end after three times their objective."""
        waits = self.waits + [(job.queue, self.now - job.at) for job in self.waiting]
        return sum(
            wait > 3 * (q.stretch * c + q.target_latency_ms / 1000) - c
            for q, wait in waits
            if (c := STEPS[q.name].estimate_ms / 1000)
        )

    def run(self, seconds: float, loads: Callable[[float], dict[tuple[Queue, str], float]]) -> None:
        """Run with the offered load by queue and team, as shares of the pool's first capacity."""
        draw = random.Random(7)
        start = self.now
        while self.now - start < seconds:
            for (queue, team), share in loads(self.now - start).items():
                jobs_per_tick = share * CORES * 0.1 / work(queue)
                for _ in range(int(jobs_per_tick + draw.random())):
                    self.submit(queue, team)
            self.tick(0.1)


def replay_flood(admits_all: bool) -> Pool:
    pool = Pool(4, admits_all)
    usual = {(WIDE, team): 0.2 for team in pool.teams} | {(URGENT, pool.teams[0]): 0.02}
    pool.run(80, lambda at: usual | ({(WIDE, "team-3"): 1.2} if 10 <= at < 60 else {}))
    return pool


class TestFlood(unittest.TestCase):
    def test_only_the_flooding_team_is_refused(self) -> None:
        """Guards against other teams that are refused, or kept waiting, because of one team."""
        pool, open_pool = replay_flood(False), replay_flood(True)
        self.assertEqual({team for team, _, _ in pool.refusals}, {"team-3"})
        self.assertEqual({why for _, _, why in pool.refusals}, {Reason.BEYOND_SHARE})
        slack_s = 3 * 3.4 + 3.006
        for team in pool.teams[:3]:
            # A second passes until refusals take effect, in which load of 0.8 arrives too many.
            self.assertLess(pool.longest_prediction[team, "wide"], slack_s + 2.0)
            self.assertGreater(open_pool.longest_prediction[team, "wide"], 2 * slack_s)


class TestWideBurst(unittest.TestCase):
    @staticmethod
    def replay(admits_all: bool) -> Pool:
        pool = Pool(4, admits_all)
        loads = {(URGENT, t): 0.05 for t in pool.teams} | {(WIDE, t): 0.75 for t in pool.teams}
        pool.run(90, lambda at: loads)
        pool.run(60, lambda at: {(URGENT, t): 0.05 for t in pool.teams})
        return pool

    def test_urgent_work_is_admitted(self) -> None:
        """Guards against small urgent jobs that pay for wide ones, and against useless answers."""
        pool, open_pool = self.replay(False), self.replay(True)
        self.assertEqual({queue for _, queue, _ in pool.refusals}, {"wide"})
        self.assertLess(max(w for q, w in pool.waits if q is URGENT), 0.654)
        # Work that arrives in the second before a summary is admitted by the one before it.
        useful_s = 3 * (4 * 3.4 + 3.006) - 3.4
        self.assertLess(max(w for q, w in pool.waits if q is WIDE), useful_s + 3.0)
        self.assertLess(pool.useless() * 8, open_pool.useless())


class TestLostCapacity(unittest.TestCase):
    @staticmethod
    def replay(admits_all: bool) -> Pool:
        pool = Pool(4, admits_all)
        loads = {(WIDE, t): 0.24 for t in pool.teams}
        pool.run(30, lambda at: loads)
        pool.rate = 0.8 * CORES
        pool.run(300, lambda at: loads)
        return pool

    def test_a_fifth_of_the_workers_lost(self) -> None:
        """Guards against refusals beyond the lost capacity, and against useless answers."""
        pool, open_pool = self.replay(False), self.replay(True)
        submitted = len(pool.waits) + len(pool.waiting) + pool.refusals.total()
        self.assertLess(pool.refusals.total(), 0.2 * submitted)
        self.assertEqual(pool.useless(), 0)
        self.assertGreater(open_pool.useless(), 30)


class TestReturns(unittest.TestCase):
    @staticmethod
    def replay(told: Callable[[bytes, float, float], int]) -> tuple[list, int]:
        """Return the returns as (time, first attempt), and the number of tries.

        100 callers are refused within 0.3 s and return as measured; 40 a second are admitted
        from then on. A caller tries five times, and gives up after 3 s.
        """
        due = [(n * 0.003, n * 0.003, n, 1) for n in range(100)]
        returns, tries, tokens, last = [], 0, 0.0, 0.0
        while due:
            due.sort()
            now, first, caller, attempt = due.pop(0)
            tries += 1
            tokens, last = min(40.0, tokens + (now - last) * 40), now
            if attempt > 1:
                returns.append((now, first))
                if tokens >= 1:
                    tokens -= 1
                    continue
            seconds = told(b"%d" % caller, first, now)
            own_s = (1.05, 0.75, 0.6, 0.5)[min(attempt, 4) - 1]
            back = now + (seconds + 0.05 if now + seconds < first + 3 else own_s)
            if attempt < 5 and back < first + 3:
                due.append((back, first, caller, attempt + 1))
        return returns, tries

    def test_refused_callers_return_spread_and_in_order(self) -> None:
        """Guards against callers that all return in the same second, and are refused again."""
        planner, draw = RetryPlanner(), random.Random(3)

        def plan(key: bytes, first: float, now: float) -> int:
            remaining_s = first + 3 - now
            return planner.plan(key, first, 1.0, remaining_s, 40.0, draw.random(), now)

        returns, tries = self.replay(plan)
        _, constant_tries = self.replay(lambda key, first, now: 1)
        self.assertLess(tries, 100 * 2.3)
        self.assertGreater(constant_tries, 100 * 2.3)
        half = len(returns) // 2
        early, late = returns[:half], returns[half:]
        self.assertLess(sum(f for _, f in early) / half, sum(f for _, f in late) / len(late))
        busiest = max(sum(s <= at < s + 0.5 for at, _ in returns) for s, _ in returns)
        self.assertLess(busiest, 75)


if __name__ == "__main__":
    unittest.main()
