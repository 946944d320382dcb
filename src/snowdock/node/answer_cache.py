"""Answers of not-repeatable requests, kept for callers that ask again."""

import collections
import threading

from .peer_messages import CallOutcome

__all__ = ["AnswerCache"]

_MAX_CACHED_BYTES = 8 * 1024 * 1024


class AnswerCache:
    """The newest answers, bounded in bytes; the oldest go first."""

    def __init__(self) -> None:
        self._answers: collections.OrderedDict[str, CallOutcome] = collections.OrderedDict()
        self._bytes = 0
        self._lock = threading.Lock()

    def store(self, request_id: str, outcome: CallOutcome) -> None:
        """Keep an answer."""
        with self._lock:
            self._answers[request_id] = outcome
            self._bytes += len(outcome.body)
            while self._bytes > _MAX_CACHED_BYTES and len(self._answers) > 1:
                _, dropped = self._answers.popitem(last=False)
                self._bytes -= len(dropped.body)

    def find(self, request_id: str) -> CallOutcome | None:
        """Give the kept answer, if it is still there."""
        with self._lock:
            return self._answers.get(request_id)
