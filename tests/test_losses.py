"""Tests of the table that tells from logs where jobs lost their time."""

import unittest

from snowdock.cli.losses import format_losses, sum_losses, trace_jobs

JOB = "a" * 16
JOB_ACCEPTED = f"time=10.010 event=job_accepted job={JOB} queue=q ms=10.0 node=n2"
JOB_TAKEN = (
    f"time=10.020 event=job_taken subject={JOB} queue=q stretch=2.0 target_s=0.5"
    " lasts=False node=n1"
)


def line(time: float, event: str, **fields: str) -> str:
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    return f"time={time} event={event} subject={JOB} {pairs} node=n1"


class TestLosses(unittest.TestCase):
    def trace(self, *lines: str):
        (trace,) = trace_jobs([JOB_ACCEPTED, JOB_TAKEN, *lines])
        return trace

    def test_reasons_add_up_to_the_total(self) -> None:
        """Each part of a job's time counts for one reason."""
        trace = self.trace(
            line(10.52, "advised"),
            line(13.02, "placed"),
            line(14.02, "run_ended", how="failed"),
            line(14.12, "placed"),
            line(15.12, "run_ended", how="done"),
            line(15.13, "job_ended", status="completed"),
        )
        expected = {
            "put on record": 0.01,
            "no leader knows it": 0.01,
            "advice": 0.5,
            "room": 2.6,
            "failed run": 1.0,
            "work": 1.0,
            "end put on record": 0.01,
        }
        self.assertEqual(
            {key: round(value, 3) for key, value in trace.seconds_by_reason.items()}, expected
        )
        self.assertAlmostEqual(
            sum(trace.seconds_by_reason.values()), trace.ended_at - trace.started_at
        )
        self.assertTrue(trace.is_lost)
        self.assertEqual(trace.main_reason, "room")

    def test_job_within_its_allowed_time(self) -> None:
        """Twice a second of work and half a second more, here."""
        ends = [line(11.0, "placed"), line(12.0, "run_ended", how="done")]
        self.assertFalse(self.trace(*ends, line(12.4, "job_ended", status="completed")).is_lost)
        self.assertTrue(self.trace(*ends, line(12.6, "job_ended", status="completed")).is_lost)

    def test_time_without_lines_is_not_explained(self) -> None:
        """Time before an end that follows no run's end counts as not explained."""
        trace = self.trace(line(10.1, "placed"), line(13.0, "job_ended", status="completed"))
        self.assertEqual(trace.main_reason, "not explained")

    def test_unended_failed_and_cancelled_jobs(self) -> None:
        """What has not ended, or has failed, is lost; what was cancelled is not."""
        self.assertTrue(self.trace(line(11.0, "advised")).is_lost)
        failed = self.trace(line(11.0, "job_ended", status="failed"))
        self.assertTrue(failed.is_lost)
        self.assertEqual(failed.main_reason, "attempts used up")
        self.assertFalse(self.trace(line(11.0, "job_ended", status="cancelled")).is_lost)

    def test_job_whose_workers_crashed(self) -> None:
        """Time until a worker is known to be gone is that of a lost run, and so is its end."""
        trace = self.trace(
            line(11.0, "placed"),
            line(14.5, "run_lost"),
            line(14.5, "task_given_up"),
            line(14.51, "job_ended", status="failed"),
        )
        self.assertAlmostEqual(trace.seconds_by_reason["run lost"], 3.5)
        self.assertEqual(trace.main_reason, "workers crashed")
        (queue,) = sum_losses([trace])
        self.assertIn("workers crashed           1 jobs", "\n".join(format_losses([queue])))

    def test_long_running_job_is_in_time_once_placed(self) -> None:
        """Its tasks run until it is cancelled."""
        lasts = JOB_TAKEN.replace("lasts=False", "lasts=True")
        (waiting,) = trace_jobs([JOB_ACCEPTED, lasts, line(11.0, "advised")])
        (placed,) = trace_jobs([JOB_ACCEPTED, lasts, line(11.0, "placed")])
        self.assertEqual((waiting.is_lost, placed.is_lost), (True, False))

    def test_table_counts_each_job_once(self) -> None:
        """Jobs in time, late, failed and unended add up to all jobs of a queue."""
        texts = []
        for number, status in enumerate(("completed", "failed", "")):
            job = f"{number:016x}"
            texts += [JOB_ACCEPTED.replace(JOB, job), JOB_TAKEN.replace(JOB, job)]
            texts.append(line(10.6, "placed").replace(JOB, job))
            texts.append(line(11.0, "run_ended", how="done").replace(JOB, job))
            if status:
                texts.append(line(11.0, "job_ended", status=status).replace(JOB, job))
        (queue,) = sum_losses(trace_jobs(texts))
        self.assertEqual((queue.jobs, queue.in_time, queue.failed, queue.unfinished), (3, 1, 1, 1))
        rows = format_losses([queue])
        self.assertIn("attempts used up", "\n".join(rows))


if __name__ == "__main__":
    unittest.main()
