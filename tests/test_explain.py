"""Tests of the job timelines that are built from logs."""

import unittest

from snowdock.cli.explain import build_timeline, format_timeline, parse_line

JOB = "a" * 16
TASK = f'task="[\\"{JOB}\\",0,0,0]"'
JOB_TAKEN = f"time=10.000 event=job_taken level=info subject={JOB} queue=q steps=1 node=n1"


def ended(status: str, time: float = 12.0) -> str:
    return f"time={time} event=job_ended subject={JOB} status={status} seconds=2.000 node=n1"


def run_ended(how: str, worker: str, time: float) -> str:
    return f"time={time} event=run_ended subject={JOB} run=1 how={how} worker={worker} node=n1"


class TestTimelines(unittest.TestCase):
    def test_lines_are_read(self) -> None:
        """Quoted values are unquoted, and text before the time is skipped."""
        line = parse_line('  3.1 n1 time=2.5 event=x reason="a \\"b\\" c" node=n1')
        self.assertEqual((line.time, line.event, line.node), (2.5, "x", "n1"))
        self.assertEqual(line.fields["reason"], 'a "b" c')
        for text in ("", "no time", "time=x event=y"):
            self.assertIsNone(parse_line(text))

    def test_refused_job(self) -> None:
        """A refusal is explained by the dependency that its node lost shortly before."""
        timeline = build_timeline(
            JOB,
            [
                "time=8.0 event=dependency_lost dependency=store reason=timeout node=n2",
                "time=8.5 event=dependency_lost dependency=store reason=other node=n3",
                f'time=9.0 event=request_refused path=/q/{JOB} reason="log down" node=n2',
            ],
        )
        self.assertIn("refused by n2: log down; dependency_lost there 1.0 s before", timeline.cause)
        self.assertEqual([line.node for line in timeline.related], ["n2"])

    def test_refusal_is_traced_to_an_earlier_loss(self) -> None:
        """A loss after a refusal does not explain the refusal; the last loss before it does."""
        lost = "event=dependency_lost dependency=store node=n2 reason"
        timeline = build_timeline(
            JOB,
            [
                f'time=10.0 event=request_refused path=/q/{JOB} reason="log down" node=n2',
                f'time=9.8 event=request_refused path=/q/{JOB} reason="log down" node=n2',
                f"time=10.5 {lost}=later",
                f"time=9.5 {lost}=before",
                f"time=9.0 {lost}=earlier",
                f"time=11.0 event=record_given_up job={JOB} node=n2",
            ],
        )
        self.assertIn("dependency_lost there 0.5 s before: before", timeline.cause)

    def test_job_that_starved(self) -> None:
        """The cause lists why workers were excluded at the job's longest wait."""
        starved = f"event=job_starves subject={JOB} step=0 node=n1"
        timeline = build_timeline(
            JOB,
            [
                JOB_TAKEN,
                f"time=11.1 {starved} waiting_s=1.1 open=0 aside=2 ticket=22",
                f"time=12.1 {starved} waiting_s=2.1 open=0 aside=23 on_trial=1",
                ended("completed", 13.0),
            ],
        )
        self.assertIn("beside free room for 2.1 s, the workers being: 0 open", timeline.cause)
        self.assertIn("23 aside, 1 on_trial", timeline.cause)

    def test_internal_error_is_named(self) -> None:
        """A response with status 500 is explained by the exception that the node logged."""
        timeline = build_timeline(
            JOB,
            [
                f'time=10.0 event=request_refused path=/q/{JOB} reason="log down" node=n2',
                f'time=11.0 event=request_failed path=/q/{JOB} problem="ValueError: x" node=n3',
            ],
        )
        self.assertIn("a fault of snowdock on n3: ValueError: x", timeline.cause)

    def test_failed_job(self) -> None:
        """The cause of a failed job names the workers of its failed runs."""
        lines = [JOB_TAKEN, run_ended("failed", "w1", 11.0), run_ended("failed", "w2", 11.5)]
        timeline = build_timeline(JOB, [*lines, ended("failed")])
        self.assertIn("2 runs failed, on 2 workers (w1, w2)", timeline.cause)

    def test_given_up_job(self) -> None:
        """The cause of a job given up after crashes names the workers lost under its task."""
        cause = self.given_up_timeline([]).cause
        self.assertIn("given up: 2 workers surely crashed under it and 3 may have", cause)
        self.assertIn("1 runs were lost, which does not count (w1, w2, w3)", cause)

    def test_returned_worker_is_not_named(self) -> None:
        """A worker whose crash was taken back after it reconnected is not named."""
        back = f"time=14.05 event=charge_taken_back subject={JOB} {TASK} worker=w2 node=n1"
        self.assertIn("does not count (w1, w3)", self.given_up_timeline([back]).cause)

    @staticmethod
    def given_up_timeline(more: list[str]):
        charged = [
            f"time={11 + n} event=task_charged subject={JOB} {TASK} worker=w{n} node=n1"
            for n in (1, 2, 3)
        ]
        counts = "crashes=2 possible_crashes=3 losses=1 early_ends=0"
        given_up = f"time=14.1 event=task_given_up subject={JOB} {TASK} {counts} node=n1"
        return build_timeline(JOB, [JOB_TAKEN, *charged, *more, given_up, ended("failed", 14.2)])

    def test_late_job(self) -> None:
        """The cause of a late job names its longest wait."""
        placed = f"time=11.8 event=placed subject={JOB} node=n1"
        timeline = build_timeline(JOB, [ended("completed"), placed, JOB_TAKEN])
        self.assertIn("1.80 s, was from job_taken to placed", timeline.cause)
        self.assertIn("cause:", format_timeline(timeline)[-1])

    def test_unknown_and_unfinished(self) -> None:
        """The cause says when a job has no lines or has not ended."""
        self.assertIn("no log names it", build_timeline(JOB, []).cause)
        self.assertIn("it has not ended", build_timeline(JOB, [JOB_TAKEN]).cause)


if __name__ == "__main__":
    unittest.main()
