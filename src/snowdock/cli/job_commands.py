"""Commands for jobs on a platform: explain jobs from logs, and simulate days."""

import fileinput

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ..emulator import (
    Emulator,
    EmulatorOptions,
    WorkloadOptions,
    draw_workload,
    format_report,
    make_report,
)
from ..emulator.workload import default_mixes
from .explain import build_timeline, format_timeline
from .losses import format_losses, sum_losses, trace_jobs
from .room_table import format_room, read_room_samples

__all__ = ["JOB_COMMANDS"]

_SETTLE_SECONDS = 40.0
"""How long a simulated day continues after its last arrival, so that all jobs can end."""


class ExplainCommand(Command):
    """Explain a job's outcome from the nodes' logs."""

    name = "explain"
    description = "Show the timeline of one job from the nodes' logs, and the cause of its outcome."
    arguments = [  # noqa: RUF012
        argument("job", "The job's identifier."),
        argument("logs", "Log files of all nodes; standard input if none.", True, True),
    ]

    def handle(self) -> int:
        """Read the logs and print the job's timeline."""
        with fileinput.input(self.argument("logs"), encoding="utf-8", errors="replace") as lines:
            timeline = build_timeline(self.argument("job"), lines)
        for line in format_timeline(timeline):
            self.line(line)
        return 0 if timeline.lines else 1


class LossesCommand(Command):
    """Summarize the jobs that failed or were late, and what they waited for."""

    name = "losses"
    description = "Summarize from the nodes' logs what jobs spent their time on."
    arguments = [  # noqa: RUF012
        argument("logs", "Log files of all nodes; standard input if none.", True, True),
    ]

    def handle(self) -> int:
        """Read the logs and print the tables of losses and of the room in use over time."""
        with fileinput.input(self.argument("logs"), encoding="utf-8", errors="replace") as lines:
            texts = list(lines)
        for line in format_losses(sum_losses(trace_jobs(texts))):
            self.line(line)
        for line in format_room(read_room_samples(texts)):
            self.line(line)
        return 0


class SimulateCommand(Command):
    """Simulate random days of jobs with the real scheduler in virtual time."""

    name = "simulate"
    description = "Simulate days of random jobs with the real scheduler, without a network."
    options = [  # noqa: RUF012
        option("seed", None, "The first day's seed.", flag=False, default="1"),
        option("days", None, "Number of days.", flag=False, default="1"),
        option("seconds", None, "Seconds during which jobs arrive.", flag=False, default="30"),
        option("load", None, "Factor of the usual arrival rate.", flag=False, default="1.0"),
    ]

    def handle(self) -> int:
        """Simulate the days and print a report for each."""
        seconds = float(self.option("seconds"))
        workload = WorkloadOptions(seconds, float(self.option("load")), default_mixes())
        violations = 0
        for seed in range(int(self.option("seed")), int(self.option("seed")) + self._days()):
            jobs = draw_workload(seed, workload)
            emulator = Emulator(seed, EmulatorOptions(workload), jobs)
            emulator.run_until(seconds + _SETTLE_SECONDS)
            report = make_report(emulator, jobs)
            violations += report.violations
            self.line(f"day {seed}")
            self.line(format_report(report))
        return 1 if violations else 0

    def _days(self) -> int:
        return int(self.option("days"))


JOB_COMMANDS = (ExplainCommand, LossesCommand, SimulateCommand)
