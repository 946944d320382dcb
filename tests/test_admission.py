"""Tests of admission decisions, return times, the token bucket and the caller history."""

import dataclasses
import unittest

from hypothesis import given
from hypothesis import strategies as st

from snowdock.admission.caller_history import MAX_CALLERS, CallerHistory, caller_key
from snowdock.admission.decision import (
    Admitted,
    Caller,
    Demand,
    LoadView,
    Reason,
    Refused,
    TeamUse,
    decide,
    find_allowance,
)
from snowdock.admission.retry_planner import RetryPlanner
from snowdock.admission.token_bucket import TokenBucket
from snowdock.declarations import Size

JOB = Demand("a", Size(4000, 1000), critical_path_s=2.0, objective_s=5.0)
CALM = LoadView(100.0, Size(16_000, 64_000), 0.5, True, 100.0, 200.0)
EVEN = {name: TeamUse(0.25, 500.0) for name in "abcd"}
HOT = {**EVEN, "a": TeamUse(0.25, 2000.0)}


def reason(view: LoadView, job: Demand = JOB, age_s: float = 0.0, **caller) -> Reason | None:
    decision = decide(job, Caller(100.0 - age_s, **caller), view, 100.0)
    return decision.reason if isinstance(decision, Refused) else None


def loaded(wait_s: float, teams=EVEN, **changes) -> LoadView:
    return dataclasses.replace(CALM, predicted_wait_s=wait_s, teams=teams, **changes)


class TestDecision(unittest.TestCase):
    def test_each_reason_has_its_condition(self) -> None:
        """Guards against a refusal for a condition that does not hold."""
        self.assertIsNone(reason(CALM))
        huge = dataclasses.replace(JOB, largest_task=Size(17_000, 1000))
        self.assertEqual(reason(CALM, huge), Reason.UNPLACEABLE)
        self.assertEqual(reason(loaded(12.0), age_s=2.0), Reason.TOO_LATE)
        self.assertIsNone(reason(loaded(12.0), age_s=0.9))
        self.assertEqual(reason(loaded(13.5)), Reason.OVERLOADED)
        self.assertEqual(reason(loaded(4.0, HOT)), Reason.BEYOND_SHARE)
        for name in "bc":
            self.assertIsNone(reason(loaded(4.0, HOT), dataclasses.replace(JOB, team=name)))
        decision = decide(JOB, Caller(100.0), loaded(4.0, HOT), 100.0)
        self.assertEqual(decision.status, 429)
        self.assertAlmostEqual(decision.retry_after_s, 1125 / 2000 * 3500 / 100)

    def test_without_overload_no_share_counts(self) -> None:
        """Guards against idle capacity that is closed to a team beyond its share."""
        self.assertIsNone(reason(loaded(2.9, HOT)))

    def test_unreliable_predictions_refuse_nothing(self) -> None:
        """Guards against refusals because of a wait that is not known."""
        for view in (loaded(99.0, HOT, is_reliable=False), loaded(None, HOT)):
            self.assertIsNone(reason(view, age_s=2.9))

    def test_job_without_objective_is_not_refused_for_its_wait(self) -> None:
        """Guards against refusing a queue without a target, which has no useful time."""
        self.assertIsNone(reason(loaded(99.0, HOT), dataclasses.replace(JOB, objective_s=None)))

    def test_caller_in_doubt_is_never_refused(self) -> None:
        """Guards against a 503 for a job that was accepted with an answer that was lost."""
        for view in (loaded(99.0, HOT), LoadView(bucket_wait_s=9.0)):
            self.assertIsNone(reason(view, is_in_doubt=True))

    def test_old_or_missing_summary_leaves_the_bucket(self) -> None:
        """Guards against decisions by a summary that is too old."""
        for made_at in (None, 96.9):
            view = loaded(99.0, HOT, made_at=made_at)
            self.assertEqual(decide(JOB, Caller(100.0), view, 100.0), Admitted(by_bucket=True))
            empty = dataclasses.replace(view, bucket_wait_s=1.5)
            self.assertEqual(reason(empty), Reason.NO_SUMMARY)

    def test_team_without_weight_is_refused_first(self) -> None:
        """Guards against a division by a weight of 0, and against refusing all other teams."""
        teams = {"a": TeamUse(0.0, 900.0), "b": TeamUse(0.5, 200.0)}
        self.assertEqual(reason(loaded(4.0, teams)), Reason.BEYOND_SHARE)
        self.assertIsNone(reason(loaded(4.0, teams), dataclasses.replace(JOB, team="b")))
        self.assertIsNone(reason(loaded(4.0, {"a": TeamUse(0.0, 900.0)})))
        self.assertIsNone(reason(loaded(4.0, teams), dataclasses.replace(JOB, team="new")))

    @given(st.lists(st.tuples(st.floats(0, 1), st.floats(0, 1e5)), max_size=8), st.floats(0, 1e5))
    def test_allowance_fills_the_room(self, teams, room) -> None:
        """Guards against an allowance that leaves room or exceeds it."""
        uses = [TeamUse(max(share, 1e-6), core_s) for share, core_s in teams]
        limit = find_allowance(uses, room)
        granted = sum(min(use.core_s, use.share * limit) for use in uses)
        total = sum(use.core_s for use in uses)
        self.assertAlmostEqual(granted, min(total, room), delta=1e-6 * (1 + total))


class TestTokenBucket(unittest.TestCase):
    def test_rate_is_limited_and_never_zero(self) -> None:
        """Guards against a bucket that lets a burst through, or that refuses everything."""
        bucket, admitted = TokenBucket(20.0, 60.0, 0.0), 0
        for tick in range(1000):
            if not bucket.wait_s(tick / 100):
                bucket.spend(1.0, tick / 100)
                admitted += 1
        self.assertAlmostEqual(admitted, 60 + 200, delta=2)

    def test_one_gang_does_not_keep_small_jobs_out(self) -> None:
        """Guards against a debt of several seconds, and against a clock that steps back."""
        bucket = TokenBucket(50.0, 150.0, 10.0)
        bucket.spend(5000.0, 10.0)
        self.assertAlmostEqual(bucket.wait_s(9.0), 1.0)
        self.assertEqual(bucket.wait_s(11.1), 0.0)
        bucket.set_rate(0.0, 0.0, 11.1)
        self.assertEqual(bucket.wait_s(11.1), float("inf"))


class TestRetryPlanner(unittest.TestCase):
    def test_earlier_callers_return_first(self) -> None:
        """Guards against a caller that is overtaken by one that was refused first now."""
        planner = RetryPlanner()
        for number in range(30):
            planner.plan(bytes([number]), 50.0 + number / 100, 1.0, 60.0, 10.0, 0.5, 51.0)
        newest = planner.plan(b"new", 51.0, 1.0, 60.0, 10.0, 0.5, 51.0)
        oldest = planner.plan(b"old", 49.0, 1.0, 60.0, 10.0, 0.5, 51.0)
        self.assertEqual((oldest, newest), (1, 4))

    def test_spread_ends_when_the_caller_gives_up(self) -> None:
        """Guards against a spread that makes a caller return by its own, earlier schedule."""
        planner = RetryPlanner()
        for number in range(99):
            planner.plan(b"%d" % number, 50.0, 1.0, 3.0, 1.0, 0.5, 50.0)
        self.assertEqual(planner.plan(b"x", 51.0, 1.0, 2.3, 1.0, 0.5, 51.0), 2)
        self.assertEqual(planner.plan(b"y", 51.0, 7.4, 2.3, 1.0, 0.5, 51.0), 8)
        self.assertEqual(planner.plan(b"z", 51.0, float("inf"), 2.3, 1.0, 0.5, 51.0), 60)

    def test_number_of_planned_callers_is_bounded(self) -> None:
        """Guards against memory that grows with the number of refusals."""
        planner = RetryPlanner()
        for number in range(5000):
            planner.plan(b"%d" % number, number, 1.0, 3.0, 10.0, 0.5, 0.0)
        self.assertEqual(len(planner), 4096)
        planner.plan(b"later", 5000, 1.0, 3.0, 10.0, 0.5, 100.0)
        self.assertEqual(len(planner), 1)


class TestCallerHistory(unittest.TestCase):
    def test_first_attempt_and_doubt_are_kept(self) -> None:
        """Guards against a later attempt that hides the first one or an unknown outcome."""
        history = CallerHistory()
        history.record(b"k", 10.0, True, 10.5)
        history.record(b"k", 11.0, False, 11.5)
        found = history.find(b"k", 12.0)
        self.assertEqual((found.first_seen, found.is_in_doubt), (10.0, True))
        self.assertIsNone(history.find(b"k", 41.0))

    def test_full_history_drops_the_oldest_but_doubts_last(self) -> None:
        """Guards against unbounded memory, and against refusing a job that may be accepted."""
        history = CallerHistory()
        history.record(b"doubt", 0.0, True, 0.0)
        for number in range(MAX_CALLERS + 100):
            history.record(b"%d" % number, 1.0, False, 1.0)
        self.assertEqual(len(history), MAX_CALLERS)
        self.assertTrue(history.find(b"doubt", 1.0).is_in_doubt)
        self.assertIsNone(history.find(b"0", 1.0))

    def test_exchange_by_way_of_a_leader(self) -> None:
        """Guards against entries that are lost or passed back and forth without end."""
        node, leader, other = CallerHistory(), CallerHistory(), CallerHistory()
        key = caller_key("0123456789abcdef@team")
        node.record(key, 100.0, True, 100.2)
        leader.merge(node.list_changed(100.0, 100.3, 64, own=True), 5000.0)
        entries = leader.list_changed(4999.0, 5000.1, 64, own=False)
        other.merge(entries, 7.0)
        self.assertAlmostEqual(other.find(key, 7.0).first_seen, 6.6, places=2)
        node.merge(entries, 100.5)
        self.assertEqual(node.list_changed(100.3, 100.6, 64, own=True), [])
        self.assertEqual(other.list_changed(0.0, 7.0, 64, own=True), [])

    def test_exchange_is_bounded(self) -> None:
        """Guards against heartbeats that grow with the number of refusals."""
        history = CallerHistory()
        for number in range(200):
            history.record(b"%d" % number, 1.0, False, 1.0)
        found = history.list_changed(0.0, 1.0, 64, own=True)
        self.assertEqual((len(found), found[0].key), (64, b"199"))


if __name__ == "__main__":
    unittest.main()
