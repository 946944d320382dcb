"""The settings, identity and actor references shared by the actors of one node."""

import dataclasses
from collections.abc import Callable

import pykka

from ..settings import Settings
from ..state import Member

__all__ = ["NodeContext"]


def _ignore(*_: object) -> None:
    """Do nothing; the default of callbacks that are not set yet."""


@dataclasses.dataclass(slots=True)
class NodeContext:
    """The settings, identity and actor references of one node.

    Attributes
    ----------
    settings, incarnation, api_address
        Identify the node; each start of the process has a new incarnation.
    writer, reader, state, driver, router, watcher
        The actors.
    on_members_changed
        Called with the members whenever they change.
    on_fatal_error
        Called when the node has to stop at once.
    applied_offset
        The last log offset that the node has applied.
    latest_digest
        The offset and the value of the latest digest of the state.
    reads_log, appends_to_log
        Whether the last read and the last append succeeded.
    idle_slots
        Idle slots of this node by minion group, sent to peers in heartbeats.
    """

    settings: Settings
    incarnation: str
    api_address: str = ""
    writer: pykka.ActorRef | None = None
    reader: pykka.ActorRef | None = None
    state: pykka.ActorRef | None = None
    driver: pykka.ActorRef | None = None
    router: pykka.ActorRef | None = None
    watcher: pykka.ActorRef | None = None
    on_members_changed: Callable[[dict[str, Member]], None] = _ignore
    on_fatal_error: Callable[[], None] = _ignore
    applied_offset: int = -1
    latest_digest: tuple[int, str] = (-1, "")
    reads_log: bool = True
    appends_to_log: bool = True
    idle_slots: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def reaches_log(self) -> bool:
        """Whether the last read and the last append both succeeded."""
        return self.reads_log and self.appends_to_log
