"""Lasting speeds of machines, learned from complete runs and kept while a worker idles.

A machine is identified by its address, which it keeps across lives and replacements of its worker.
The slowness of a finished run is the ratio of its time to its estimate, relative to that of other
runs of its queue. The medians of these over periods of two seconds are kept for each machine. A
slowness counts as lasting once four periods show it, which a slowdown of 6 s does not reach.
"""

import collections
import dataclasses
import math
import statistics

from .cell import Cell
from .job_state import Phase, Task
from .run_times import QueueTimes
from .workers import Worker

__all__ = [
    "MachineSpeed",
    "is_slow",
    "lasting_slowness",
    "learn_from_end",
    "update_unevenness",
]

_PERIOD_SECONDS = 2.0
_MAX_PERIODS = 9
_MIN_PERIODS = 4
"""In at most three periods, most runs fall into a slowdown of 6 s. With nine periods in use, a
lasting change is followed in 8 to 10 s."""

_MIN_RUN_SECONDS = 0.25
"""Shorter runs are not learned from, since calls and reports take a large part of their time."""

_UNEVEN_FACTOR = 1.5
"""Lasting speeds matter from this factor between slow and fast machines on: sound workers of one
kind differ by up to this much for moments, and speeds within 15 % must not change any decision."""

_EVEN_FACTOR = 1.35
"""Factor below which they no longer matter; lower, so that decisions don't alternate."""

_MIN_MACHINES = 8
"""Minimum number of machines with a known speed from which unevenness is concluded."""

_UPDATE_SECONDS = 0.5
_MAX_MACHINES = 4_096
"""Maximum number of machines remembered; beyond it, those without a worker are dropped."""


@dataclasses.dataclass(slots=True)
class MachineSpeed:
    """What is known of one machine's lasting speed.

    Attributes
    ----------
    log_slowness
        The logarithm of its lasting slowness; 0 while unknown.
    is_known
        Whether enough periods were observed.
    periods
        Median log slowness of the runs that ended in each of the last periods with any.
    period_began_at, observed
        Start of the current period, and its observations.
    """

    log_slowness: float = 0.0
    is_known: bool = False
    periods: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_PERIODS)
    )
    period_began_at: float = -math.inf
    observed: list[float] = dataclasses.field(default_factory=list)

    def observe(self, log_slowness: float, now: float) -> None:
        """Add the slowness of a run that ended now."""
        if now - self.period_began_at >= _PERIOD_SECONDS:
            if self.observed:
                middle = (
                    statistics.median_low(self.observed),
                    statistics.median_high(self.observed),
                )
                self.periods.append(min(middle, key=abs))
                self._update()
                self.observed.clear()
            self.period_began_at = now
        self.observed.append(log_slowness)

    def _update(self) -> None:
        if len(self.periods) < _MIN_PERIODS:
            return
        ordered = sorted(self.periods)
        bounds = ordered[_MIN_PERIODS - 1], ordered[-_MIN_PERIODS]
        # The value nearest to normal speed between the fourth-lowest and the fourth-highest.
        self.log_slowness = max(min(bounds), min(max(bounds), 0.0))
        self.is_known = True


def learn_from_end(cell: Cell, worker: Worker, task: Task, now: float) -> None:
    """Learn a machine's speed from a run that just succeeded there.

    Members of gangs run at the pace of the slowest, and runs with accelerators at that of the
    accelerator. A run that resumed, or that another leader started, has no known length.
    """
    spec = task.step.spec
    seconds = now - task.phase_since
    if (
        task.phase is not Phase.RUNNING
        or not task.is_whole_run
        or seconds < _MIN_RUN_SECONDS
        or spec.estimate_ms <= 0
        or spec.gang
        or spec.long_running
        or spec.size.accelerators
    ):
        return
    machine = cell.machine_speeds.get(worker.entry.address)
    if machine is None:
        machine = cell.machine_speeds[worker.entry.address] = MachineSpeed()
    times = cell.queue_times.get(task.step.job.queue)
    if times is None:
        times = cell.queue_times[task.step.job.queue] = QueueTimes()
    log_ratio = math.log(1000 * seconds / spec.estimate_ms)
    machine.observe(times.observe(log_ratio, machine.log_slowness), now)


def lasting_slowness(cell: Cell, worker: Worker) -> float:
    """Return the logarithm of a worker's lasting slowness; 0 in an even pool."""
    if not cell.is_uneven:
        return 0.0
    machine = cell.machine_speeds.get(worker.entry.address)
    return machine.log_slowness if machine is not None else 0.0


def is_slow(cell: Cell, worker: Worker) -> bool:
    """Check whether a worker is nearer to the slow machines of an uneven pool."""
    middle = (cell.fast_log_slowness + cell.slow_log_slowness) / 2
    return cell.is_uneven and lasting_slowness(cell, worker) > middle


def update_unevenness(cell: Cell, now: float) -> None:
    """Determine whether lasting speeds differ enough to matter, if the interval has passed."""
    if now - cell.unevenness_updated_at < _UPDATE_SECONDS:
        return
    cell.unevenness_updated_at = now
    if len(cell.machine_speeds) > _MAX_MACHINES:
        addresses = {worker.entry.address for worker in cell.workers.values()}
        cell.machine_speeds = {
            address: speed for address, speed in cell.machine_speeds.items() if address in addresses
        }
    known = sorted(each.log_slowness for each in cell.machine_speeds.values() if each.is_known)
    tenth = len(known) // 10
    if known:
        cell.fast_log_slowness, cell.slow_log_slowness = known[tenth], known[-1 - tenth]
    factor = _EVEN_FACTOR if cell.is_uneven else _UNEVEN_FACTOR
    spread = cell.slow_log_slowness - cell.fast_log_slowness
    is_uneven = len(known) >= _MIN_MACHINES and spread >= math.log(factor)
    if is_uneven is not cell.is_uneven:
        cell.is_uneven = is_uneven
        cell.log_decision(
            "speeds_uneven" if is_uneven else "speeds_even",
            "pool",
            known=len(known),
            slow=math.exp(cell.slow_log_slowness),
            fast=math.exp(cell.fast_log_slowness),
        )
