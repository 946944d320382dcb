"""Tests of the table of job losses that is built from logs."""

import unittest

from snowdock.cli.losses import format_losses, sum_losses, trace_jobs

JOB = "a" * 16
ACCEPTED = f"time=10.010 event=job_accepted job={JOB} queue=q ms=10.0 node=n2"
TAKEN = (
    f"time=10.020 event=job_taken subject={JOB} queue=q stretch=2.0 target_s=0.5"
    " lasts=False node=n1"
)


def line(at: float, event: str, **fields: str) -> str:
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    return f"time={at} event={event} subject={JOB} {pairs} node=n1"


class TestLosses(unittest.TestCase):
    def trace(self, *lines: str):
        (way,) = trace_jobs([ACCEPTED, TAKEN, *lines])
        return way

    def test_parts_add_up_to_the_whole(self) -> None:
        """Each interval of a job's time counts for one reason."""
        way = self.trace(
            line(10.52, "advised"),
            line(13.02, "placed"),
            line(14.02, "run_ended", how="failed"),
            line(14.12, "placed"),
            line(15.12, "run_ended", how="done"),
            line(15.13, "job_ended", status="completed"),
        )
        wanted = {
            "put on record": 0.01,
            "no leader knows it": 0.01,
            "advice": 0.5,
            "room": 2.6,
            "failed run": 1.0,
            "work": 1.0,
            "end put on record": 0.01,
        }
        self.assertEqual({key: round(value, 3) for key, value in way.spent.items()}, wanted)
        self.assertAlmostEqual(sum(way.spent.values()), way.ended - way.began)
        self.assertTrue(way.is_lost)
        self.assertEqual(way.main_reason, "room")

    def test_job_within_what_its_work_allows_is_in_time(self) -> None:
        """A second of work allows 2.5 s here, by its stretch of 2 and target of 0.5 s."""
        ends = [line(11.0, "placed"), line(12.0, "run_ended", how="done")]
        self.assertFalse(self.trace(*ends, line(12.4, "job_ended", status="completed")).is_lost)
        self.assertTrue(self.trace(*ends, line(12.6, "job_ended", status="completed")).is_lost)

    def test_lines_left_out_explain_nothing(self) -> None:
        """The time before a job's end counts as not explained if no run's end precedes it."""
        way = self.trace(line(10.1, "placed"), line(13.0, "job_ended", status="completed"))
        self.assertEqual(way.main_reason, "not explained")

    def test_unended_failed_and_cancelled_jobs(self) -> None:
        """Unended and failed jobs are lost; cancelled jobs are not."""
        self.assertTrue(self.trace(line(11.0, "advised")).is_lost)
        failed = self.trace(line(11.0, "job_ended", status="failed"))
        self.assertTrue(failed.is_lost)
        self.assertEqual(failed.main_reason, "attempts used up")
        self.assertFalse(self.trace(line(11.0, "job_ended", status="cancelled")).is_lost)

    def test_job_whose_workers_crashed(self) -> None:
        """The time until a worker's loss is detected counts as a lost run."""
        way = self.trace(
            line(11.0, "placed"),
            line(14.5, "run_lost"),
            line(14.5, "task_given_up"),
            line(14.51, "job_ended", status="failed"),
        )
        self.assertAlmostEqual(way.spent["run lost"], 3.5)
        self.assertEqual(way.main_reason, "workers crashed")
        (queue,) = sum_losses([way])
        self.assertIn("workers crashed           1 jobs", "\n".join(format_losses([queue])))

    def test_job_that_lasts_is_in_time_once_placed(self) -> None:
        """A job whose tasks run until it is cancelled is in time once it is placed."""
        lasts = TAKEN.replace("lasts=False", "lasts=True")
        (waiting,) = trace_jobs([ACCEPTED, lasts, line(11.0, "advised")])
        (placed,) = trace_jobs([ACCEPTED, lasts, line(11.0, "placed")])
        self.assertEqual((waiting.is_lost, placed.is_lost), (True, False))

    def test_table_counts_each_job_once(self) -> None:
        """Each job of a queue counts as in time, late, failed or unended."""
        texts = []
        for number, status in enumerate(("completed", "failed", "")):
            job = f"{number:016x}"
            texts += [ACCEPTED.replace(JOB, job), TAKEN.replace(JOB, job)]
            texts.append(line(10.6, "placed").replace(JOB, job))
            texts.append(line(11.0, "run_ended", how="done").replace(JOB, job))
            if status:
                texts.append(line(11.0, "job_ended", status=status).replace(JOB, job))
        (queue,) = sum_losses(trace_jobs(texts))
        self.assertEqual((queue.jobs, queue.in_time, queue.failed, queue.unended), (3, 1, 1, 1))
        told = format_losses([queue])
        self.assertIn("attempts used up", "\n".join(told))


if __name__ == "__main__":
    unittest.main()
