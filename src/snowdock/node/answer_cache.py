"""Cache of the outcomes of not-repeatable requests, for callers that retry."""

import collections
import threading

from .peer_messages import CallOutcome

__all__ = ["AnswerCache"]

_MAX_CACHED_BYTES = 8 * 1024 * 1024


class AnswerCache:
    """A thread-safe cache of outcomes, bounded in bytes; the oldest are evicted first."""

    def __init__(self) -> None:
        self._outcomes: collections.OrderedDict[str, CallOutcome] = collections.OrderedDict()
        self._bytes = 0
        self._lock = threading.Lock()

    def store(self, request_id: str, outcome: CallOutcome) -> None:
        """Store the outcome of a request."""
        with self._lock:
            self._outcomes[request_id] = outcome
            self._bytes += len(outcome.body)
            while self._bytes > _MAX_CACHED_BYTES and len(self._outcomes) > 1:
                _, evicted = self._outcomes.popitem(last=False)
                self._bytes -= len(evicted.body)

    def find(self, request_id: str) -> CallOutcome | None:
        """Return the outcome of a request, or None if it is not cached."""
        with self._lock:
            return self._outcomes.get(request_id)
