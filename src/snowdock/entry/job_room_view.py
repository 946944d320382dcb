"""The newest statement of a leader about its room for open jobs that a node knows."""

import threading

from ..clocks import steady_seconds
from ..jobs.job_room import JobRoom

__all__ = ["JobRoomView"]

_MAX_AGE_SECONDS = 3.0
"""An older statement is not used: the leader carries what is accepted beyond its room as well."""


class JobRoomView:
    """Holder of the newest statement; thread-safe.

    A statement of this node's own leader counts as long as no later leader is known.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._epoch = 0
        self._room: JobRoom | None = None
        self._arrived_at = 0.0

    def receive(self, epoch: int, room: JobRoom | None) -> None:
        """Take the statement of the leader of an epoch; 0 for a node that does not lead."""
        if not epoch:
            return
        with self._lock:
            if epoch < self._epoch:
                return
            if epoch > self._epoch:
                self._epoch, self._room = epoch, None
            if room is not None:
                self._room = room
                self._arrived_at = steady_seconds()

    def read(self) -> JobRoom | None:
        """Return the newest statement, or None if there is none or it is too old."""
        with self._lock:
            if steady_seconds() - self._arrived_at > _MAX_AGE_SECONDS:
                return None
            return self._room

    def data_for(self, epoch: int) -> JobRoom | None:
        """Return the statement of this node as the leader of an epoch; None if it has made none."""
        with self._lock:
            return self._room if epoch and epoch == self._epoch else None
