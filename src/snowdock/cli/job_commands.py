"""Commands about jobs on a platform: explaining one from logs, and emulating a day."""

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
"""How long an emulated day goes on after its last job, so that all can end."""


class ExplainCommand(Command):
    """Tells a job's story from the nodes' logs, and what decided its end."""

    name = "explain"
    description = "Tells the story of one job from the nodes' logs."
    arguments = [  # noqa: RUF012
        argument("job", "The job's identifier."),
        argument("logs", "Log files of all nodes; standard input if none.", True, True),
    ]

    def handle(self) -> int:
        """Read the logs and tell the story."""
        with fileinput.input(self.argument("logs"), encoding="utf-8", errors="replace") as lines:
            timeline = build_timeline(self.argument("job"), lines)
        for line in format_timeline(timeline):
            self.line(line)
        return 0 if timeline.lines else 1


class LossesCommand(Command):
    """Tells which jobs did not end well in time, and what they waited for."""

    name = "losses"
    description = "Sums up from the nodes' logs where jobs lost their time."
    arguments = [  # noqa: RUF012
        argument("logs", "Log files of all nodes; standard input if none.", True, True),
    ]

    def handle(self) -> int:
        """Read the logs and print a table of losses, and one of the room in use over time."""
        with fileinput.input(self.argument("logs"), encoding="utf-8", errors="replace") as lines:
            texts = list(lines)
        for line in format_losses(sum_losses(trace_jobs(texts))):
            self.line(line)
        for line in format_room(read_room_samples(texts)):
            self.line(line)
        return 0


class SimulateCommand(Command):
    """Plays drawn days against the real decisions in virtual time."""

    name = "simulate"
    description = "Plays days of drawn jobs against the real decisions, without any network."
    options = [  # noqa: RUF012
        option("seed", None, "The first day's seed.", flag=False, default="1"),
        option("days", None, "How many days.", flag=False, default="1"),
        option("seconds", None, "How long jobs come.", flag=False, default="30"),
        option("load", None, "How much more than usual comes.", flag=False, default="1.0"),
    ]

    def handle(self) -> int:
        """Play the days and print a table for each."""
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
