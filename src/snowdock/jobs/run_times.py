"""Model of run times by queue: the ratio of real to estimated time, and its tail.

A run counts as in the tail of its queue if it takes more than three times as long as its estimate,
its queue's mean ratio and its machine's lasting speed explain. The tail matters once one run in a
hundred is in it: estimates that are off by 90 % don't reach this far.
"""

import dataclasses
import math

__all__ = ["TAIL_FACTOR", "QueueTimes"]

TAIL_FACTOR = 3.0
"""Ratio from which a run is in the tail. Estimates off by 90 % and speeds that differ by 50 % give
ratios of up to 2.8 around the mean."""

_LOG_TAIL_FACTOR = math.log(TAIL_FACTOR)

_MIN_WEIGHT = 0.005
"""Minimum weight of one run: the last 200 runs count."""

_MIN_RUNS = 100
_MIN_TAIL_SHARE = 0.01
"""Number of runs, and share of them in the tail, from which the tail matters."""


@dataclasses.dataclass(slots=True)
class QueueTimes:
    """Run times of one queue, from whole runs that succeeded.

    Attributes
    ----------
    runs
        Number of runs learned from.
    mean_log_ratio
        Mean logarithm of real to estimated time on a machine of normal speed.
    tail_share
        Share of runs in the tail.
    mean_log_tail
        Mean logarithm of the ratio of runs in the tail, relative to the queue's mean.
    """

    runs: int = 0
    mean_log_ratio: float = 0.0
    tail_share: float = 0.0
    mean_log_tail: float = _LOG_TAIL_FACTOR

    @property
    def has_tail(self) -> bool:
        """Whether the tail matters."""
        return self.runs >= _MIN_RUNS and self.tail_share >= _MIN_TAIL_SHARE

    def observe(self, log_ratio: float, machine_log_slowness: float) -> float:
        """Learn from a run, and return its log ratio relative to the mean before, limited."""
        if not self.runs:
            self.mean_log_ratio = log_ratio
        difference = log_ratio - self.mean_log_ratio
        deviation = max(-_LOG_TAIL_FACTOR, min(_LOG_TAIL_FACTOR, difference))
        excess = difference - machine_log_slowness
        self.runs += 1
        weight = max(_MIN_WEIGHT, 1 / self.runs)
        self.mean_log_ratio += weight * (deviation - machine_log_slowness)
        is_tail = excess > _LOG_TAIL_FACTOR
        self.tail_share += weight * (is_tail - self.tail_share)
        if is_tail:
            self.mean_log_tail += max(weight, 0.1) * (excess - self.mean_log_tail)
        return deviation
