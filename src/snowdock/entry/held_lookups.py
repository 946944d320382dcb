"""Lookups of peers that wait until the leader on this node has loaded all jobs."""

import concurrent.futures
import threading
import time
from collections.abc import Callable
from typing import TypeVar

from ..clocks import steady_seconds

__all__ = ["HeldLookups"]

_MAX_HELD = 2000
"""Lookups that are held at the same time; further ones are answered at once."""

_MAX_HOLD_SECONDS = 2.0
"""How long a lookup is held; nobody waits longer for its answer."""

_POLL_SECONDS = 0.02
"""Interval between checks whether the leader still loads."""

Answer = TypeVar("Answer")


class HeldLookups:
    """Answers lookups in order, once a leader has loaded or after a time limit.

    One thread waits for all of them, however many there are.

    Parameters
    ----------
    is_loading
        Returns whether this node has been elected and its leader still loads the jobs on record.
    """

    def __init__(self, is_loading: Callable[[], bool]) -> None:
        self._is_loading = is_loading
        self._held_count = 0
        self._lock = threading.Lock()
        self._pool = concurrent.futures.ThreadPoolExecutor(1, "held-lookups")

    def hold(self, answer: Callable[[], Answer]) -> Answer | concurrent.futures.Future[Answer]:
        """Return an answer, or a future of it while the leader loads."""
        if not self._is_loading() or self._held_count >= _MAX_HELD:
            return answer()
        future = self._pool.submit(self._answer_when_loaded, answer, steady_seconds())
        with self._lock:
            self._held_count += 1
        future.add_done_callback(lambda _: self._release())
        return future

    def _release(self) -> None:
        with self._lock:
            self._held_count -= 1

    def _answer_when_loaded(self, answer: Callable[[], Answer], held_at: float) -> Answer:
        while self._is_loading() and steady_seconds() - held_at < _MAX_HOLD_SECONDS:
            time.sleep(_POLL_SECONDS)
        return answer()
