"""What the actors of one node know of each other."""

import dataclasses
from collections.abc import Callable

import pykka

from ..settings import Settings
from ..state import Member

__all__ = ["NodeContext"]


def _ignore(*_: object) -> None:
    """Do nothing; stands where no part has been set yet."""


@dataclasses.dataclass(slots=True)
class NodeContext:
    """One node's identity and the references of its actors.

    Attributes
    ----------
    settings, incarnation, api_address
        Who the node is; the incarnation is new with each start of the process.
    writer, reader, state, driver, router, watcher
        The actors.
    peers_changed
        Called with the members whenever they change.
    fail
        Called when an actor that nothing can replace has failed.
    applied_offset
        How far the node has acted on the log.
    digest
        The newest offset at which the state was digested, and the digest.
    reads_log, appends_to_log
        Whether the last read, and the last append, were answered.
    idle_slots
        Idle slots of this node by minion group, told to peers.
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
        """Whether this node can both read and append."""
        return self.reads_log and self.appends_to_log
