"""The bytes that connections keep, and whose turn it is to be read."""

import threading

__all__ = ["Budget", "ReadTurns"]


class Budget:
    """The sum of the bytes that all connections of a server keep.

    Worker threads release bytes while the I/O thread adds some, hence the lock.
    """

    def __init__(self) -> None:
        self._kept: dict[int, int] = {}
        self._total = 0
        self._lock = threading.Lock()

    @property
    def total(self) -> int:
        """Bytes that all connections keep."""
        return self._total

    def set(self, connection: int, kept: int) -> None:
        """Set the bytes that a connection keeps, by its identifier; 0 forgets it."""
        with self._lock:
            self._total += kept - self._kept.get(connection, 0)
            if kept:
                self._kept[connection] = kept
            else:
                self._kept.pop(connection, None)


class ReadTurns:
    """Gives connections with long requests turns, so that short ones wait for few of them.

    Parameters
    ----------
    per_round
        Long requests that are read in one round of the I/O thread.
    """

    def __init__(self, per_round: int) -> None:
        self._per_round = per_round
        self._round = 0
        self._last_turn = 0

    def begin_round(self) -> None:
        """Start the next round."""
        self._round += 1

    def reserve(self) -> int:
        """Return the round in which a connection that was just read is read again."""
        self._last_turn = max(self._last_turn, self._round * self._per_round) + 1
        return self._last_turn // self._per_round + 1

    def is_due(self, turn: int) -> bool:
        """Return whether a connection with this turn may be read."""
        return turn <= self._round
