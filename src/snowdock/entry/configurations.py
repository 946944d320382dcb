"""The configuration in force at a node, and how sure it is that there is no newer one.

It is read from the store. Nodes that the store turns away, or that are cut off from it, hear of
newer versions from their peers: heartbeats tell which version is in force, and who hears of an
older one than its own passes its own on. Else callers' keys that were taken away would stay good
at such a node for as long as that lasts, and new ones would be refused there.
"""

from collections.abc import Callable

from ..clocks import steady_seconds
from ..errors import PlatformError
from ..jobs.model import Configuration
from ..logs import log_error, log_event
from ..platform.configuration import CONFIGURATION_KEY, OPERATOR_TOPIC, decode_configuration
from ..platform.store import KeyedRecord, StoreClient
from .messages import Beat, ConfigurationTold
from .tails import Tail
from .topics import PART

__all__ = ["Configurations"]

_WAIT_SECONDS = 1.0
"""How long one read of the configuration waits; a change is to be in force within two seconds
even where the store's answer to a read is lost."""

_PASS_ON_AFTER_SECONDS = 0.5
"""A version is passed on to peers that lack it after so long: most read it themselves at once."""

_PASS_ON_PAUSE_SECONDS = 1.0
"""Pause before it is passed on to the same peer again: it may have been lost, and one may have
100 KB, a sixth of a second on the narrowest links."""


class Configurations:
    """Follows the configuration.

    Parameters
    ----------
    store
        The store.
    tell
        Sends a peer a message that it does not answer.
    took
        Called with each configuration that comes into force.
    """

    def __init__(
        self,
        store: StoreClient,
        tell: Callable[[str, ConfigurationTold], None],
        took: Callable[[Configuration], None],
    ) -> None:
        self._tell = tell
        self._took = took
        self._current: Configuration | None = None
        self._data = b""
        self._took_at = 0.0
        self._confirmed_at = 0.0
        self._passed_on: dict[str, float] = {}
        self._tail = Tail(
            store, OPERATOR_TOPIC, PART, _WAIT_SECONDS, 0.0, self._take_record, self._take_records
        )

    @property
    def current(self) -> Configuration | None:
        """The configuration in force; None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Its version; 0 before the first."""
        return self._current.version if self._current is not None else 0

    @property
    def age_s(self) -> float:
        """For how many seconds it is not known whether there is a newer one."""
        return steady_seconds() - max(self._tail.read_at, self._confirmed_at)

    @property
    def failing_seconds(self) -> float:
        """For how long reads of the store have failed; 0 while they are answered."""
        return self._tail.failing_seconds

    @property
    def is_steady(self) -> bool:
        """Whether reads of the store are answered, and have been for a while."""
        return self._tail.is_steady

    def start(self) -> None:
        """Start reading."""
        self._tail.start()

    def hear(self, beat: Beat) -> None:
        """Take over which version a peer has, and pass the own one on where that is older."""
        now = steady_seconds()
        if beat.configuration == self.version and beat.reaches_store:
            self._confirmed_at = now
        if beat.configuration >= self.version or now - self._took_at < _PASS_ON_AFTER_SECONDS:
            return
        if now - self._passed_on.get(beat.node, 0.0) < _PASS_ON_PAUSE_SECONDS:
            return
        self._passed_on[beat.node] = now
        log_event("configuration_passed_on", peer=beat.node, version=self.version)
        self._tell(beat.node, ConfigurationTold(self._data))

    def take_told(self, data: bytes) -> None:
        """Take over a configuration that a peer has told of."""
        self._take(data, "peer")

    def _take_records(self, records: list[KeyedRecord]) -> None:
        for record in records:
            self._take_record(record)

    def _take_record(self, record: KeyedRecord) -> None:
        if record.key == CONFIGURATION_KEY and record.value is not None:
            self._take(record.value, "store")

    def _take(self, data: bytes, source: str) -> None:
        try:
            found = decode_configuration(data)
        except PlatformError as error:
            log_error("configuration_unusable", error)
            return
        before = self.version
        if found.version <= before:
            return
        self._data = data
        self._took_at = steady_seconds()
        self._passed_on = {}
        self._current = found
        log_event(
            "configuration_in_force",
            version=found.version,
            before=before,
            source=source,
            queues=len(found.queues),
            teams=len(found.teams),
        )
        self._took(found)
