"""Rates, recent waits and prediction errors that the load summary is based on.

Kept by the leader only with the contract `pressure`. A new leader starts without any.
"""

import collections
import dataclasses
import math
import statistics

from .load_summary import LoadSummary

__all__ = ["LoadHistory", "QueueHistory", "WaitPrediction", "is_accurate", "prediction_ratio"]

_RATE_SECONDS = 2.0
"""Time over which rates are smoothed: a wide gang arrives or ends about twice in a second, and the
shortest bursts last for 4 s."""

_RECENT_WAIT_SECONDS = 1.0
_MAX_RECENT_WAITS = 100
"""Age and number of the waits that count as recent, per queue. In a trial with a burst, the median
of 1 s predicted 0.87 of the waits accurately, that of 2 s 0.83, and that of 5 s 0.81."""

_MIN_RECENT_WAITS = 5
_MAX_WAIT_AGE_SECONDS = 10.0
"""If fewer waits are recent, this many of the newest count, up to this age: some queues have only
about two jobs in a second."""

_PREDICTIONS = 50
"""Number of predictions by which their reliability is judged."""

_MIN_PREDICTIONS = 20
"""Number of predictions without which none is reliable; fewer could all be right by chance."""

_MIN_ACCURATE_SHARE = 0.9
_MAX_ERROR_FACTOR = 2.0
_MAX_ERROR_SECONDS = 0.25
"""A prediction is accurate within this factor or time, and predictions are reliable if this share
of the recent ones was accurate."""


@dataclasses.dataclass(slots=True)
class WaitPrediction:
    """The wait predicted for a job at its acceptance, kept until its first placement.

    Attributes
    ----------
    predicted_s
        The predicted wait.
    accepted_at
        Time of the acceptance, in steady-clock seconds.
    is_judged
        Whether the prediction already counts as inaccurate, as the wait has exceeded it.
    """

    predicted_s: float
    accepted_at: float
    is_judged: bool = False


def is_accurate(predicted_s: float, observed_s: float) -> bool:
    """Check whether a predicted wait was near enough to the observed one."""
    if abs(predicted_s - observed_s) <= _MAX_ERROR_SECONDS:
        return True
    shorter, longer = sorted((predicted_s, observed_s))
    return longer <= _MAX_ERROR_FACTOR * shorter


def prediction_ratio(predicted_s: float, observed_s: float) -> float:
    """Return the observed wait as a multiple of the predicted one.

    Waits below the tolerated error count as that long: their ratio says nothing.
    """
    return max(observed_s, _MAX_ERROR_SECONDS) / max(predicted_s, _MAX_ERROR_SECONDS)


class _Rate:
    """An exponentially smoothed rate of amounts."""

    def __init__(self) -> None:
        self.per_second = 0.0
        self._amount = 0.0
        self._seconds = 0.0

    def add(self, amount: float) -> None:
        self._amount += amount

    def update(self, seconds: float) -> None:
        """Include the amounts that were added in the last seconds."""
        if seconds <= 0:
            return
        # The first intervals are averaged evenly, or a new leader's rates would be too low.
        self._seconds += seconds
        weight = max(seconds / self._seconds, 1 - math.exp(-seconds / _RATE_SECONDS))
        self.per_second += weight * (self._amount / seconds - self.per_second)
        self._amount = 0.0


class QueueHistory:
    """Recent arrivals, starts and waits of one queue."""

    def __init__(self) -> None:
        self.accepted = _Rate()
        self.started = _Rate()
        self._waits: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=_MAX_RECENT_WAITS
        )

    def add_wait(self, seconds: float, now: float) -> None:
        """Add the wait of a job that was placed for the first time."""
        self._waits.append((now, seconds))

    def recent_wait_s(self, now: float) -> float:
        """Return the median of the recent waits; 0 if there are none."""
        while self._waits and self._waits[0][0] < now - _MAX_WAIT_AGE_SECONDS:
            self._waits.popleft()
        newest_first = enumerate(reversed(self._waits))
        waits = [
            wait
            for number, (at, wait) in newest_first
            if number < _MIN_RECENT_WAITS or at >= now - _RECENT_WAIT_SECONDS
        ]
        return statistics.median(waits) if waits else 0.0


class LoadHistory:
    """What a leader keeps to summarize its load.

    Attributes
    ----------
    summary
        The newest summary; None before the first.
    summarized_at, logged_at
        Times of the newest summary and of the last log line on a prediction, in steady-clock
        seconds.
    held_back_teams
        Teams with work that waits at their quota or behind that of other teams.
    """

    def __init__(self, now: float) -> None:
        self.summary: LoadSummary | None = None
        self.summarized_at = now
        self.logged_at = -math.inf
        self.held_back_teams: frozenset[str] = frozenset()
        self.queues: collections.defaultdict[str, QueueHistory] = collections.defaultdict(
            QueueHistory
        )
        self.completed: collections.defaultdict[str, _Rate] = collections.defaultdict(_Rate)
        self._accurate: collections.deque[bool] = collections.deque(maxlen=_PREDICTIONS)

    @property
    def is_reliable(self) -> bool:
        """Whether enough of the recent predictions were accurate."""
        count = len(self._accurate)
        return count >= _MIN_PREDICTIONS and sum(self._accurate) >= _MIN_ACCURATE_SHARE * count

    def update_rates(self, now: float) -> None:
        """Update all rates with what happened since the newest summary."""
        seconds = now - self.summarized_at
        self.summarized_at = now
        for queue in self.queues.values():
            queue.accepted.update(seconds)
            queue.started.update(seconds)
        for rate in self.completed.values():
            rate.update(seconds)

    def judge_placement(self, prediction: WaitPrediction, now: float) -> float:
        """Compare a prediction with the wait until now, at the first placement; return the wait."""
        observed_s = now - prediction.accepted_at
        if not prediction.is_judged:
            self._accurate.append(is_accurate(prediction.predicted_s, observed_s))
        return observed_s

    def judge_waiting(self, prediction: WaitPrediction, now: float) -> None:
        """Count a prediction as inaccurate once its job waits for longer than it allows.

        If predictions were judged at placements only, they would count as reliable for as long as a
        sudden overload keeps the jobs waiting for which they were wrong.
        """
        waited_s = now - prediction.accepted_at
        if prediction.is_judged or waited_s <= prediction.predicted_s:
            return
        if not is_accurate(prediction.predicted_s, waited_s):
            prediction.is_judged = True
            self._accurate.append(False)
