"""Which nodes seem able to act, as heard from their heartbeats."""

from collections.abc import Callable, Mapping

from ..clocks import steady_seconds
from ..decisions import ownership
from ..state import Member, MemberState

__all__ = ["ActiveNodes"]


class ActiveNodes:
    """Tells which node should act on a thing; wrong hints cost time, never a promise.

    What is told changes only with `refresh`, after which its caller takes over or gives up
    things. If it changed by itself, a thing that came up in between two changes could be
    nobody's for good: a work was once never placed in that way.

    Parameters
    ----------
    name
        This node.
    silence_seconds
        A peer that was silent for so long does not seem alive.
    reaches_log
        Tells whether this node reaches the log itself.
    """

    def __init__(
        self, name: str, silence_timeout_s: float, reaches_log: Callable[[], bool]
    ) -> None:
        self._name = name
        self._silence_timeout_s = silence_timeout_s
        self._reaches_log = reaches_log
        self._last_heartbeats: dict[str, tuple[float, bool]] = {}
        self._active: tuple[str, ...] = ()

    @property
    def active(self) -> tuple[str, ...]:
        """The members that seemed able to act at the last `refresh`."""
        return self._active

    def record_heartbeat(self, node: str, reaches_log: bool) -> None:
        """Note a peer's heartbeat."""
        self._last_heartbeats[node] = (steady_seconds(), reaches_log)

    def refresh(self, members: Mapping[str, Member]) -> bool:
        """Work out anew which members seem able to act; tell whether that changed.

        They are alive, not on their way out, and reach the log. Where none reaches the log,
        all that are alive count: running work still has to be looked after.
        """
        oldest_allowed = steady_seconds() - self._silence_timeout_s
        alive, with_log = [], []
        for member in members.values():
            last_heartbeat_at, reaches_log = self._last_heartbeats.get(member.name, (0.0, False))
            if member.name == self._name:
                last_heartbeat_at, reaches_log = oldest_allowed + 1, self._reaches_log()
            if member.state == MemberState.LIVE and last_heartbeat_at > oldest_allowed:
                alive.append(member.name)
                if reaches_log:
                    with_log.append(member.name)
        previous, self._active = self._active, tuple(with_log or alive)
        return self._active != previous

    def owns(self, key: str) -> bool:
        """Tell whether this node should act on a thing."""
        return ownership.find_owner(key, self._active) == self._name
