"""The configuration in force at a node, and for how long it is not confirmed as the newest.

The configuration is read from the store. Nodes that cannot reach the store receive newer versions
from their peers: heartbeats carry the version in force, and a node that receives an older version
than its own sends its configuration to that peer. Without this, revoked keys would stay valid and
new keys would be refused at a node without the store.
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
"""How long one read waits for a change. Changes take effect within two seconds, even if the
store's answer to one read is lost."""

_PASS_ON_AFTER_SECONDS = 0.5
"""Delay before a version is sent to peers that lack it; most peers read it from the store."""

_PASS_ON_PAUSE_SECONDS = 1.0
"""Pause before a version is sent to the same peer again, in case the message was lost. A
configuration may have 100 KB."""


class Configurations:
    """Keeps the newest configuration known from the store and from peers.

    Parameters
    ----------
    store
        The store.
    send
        Sends a peer a message that has no answer.
    on_change
        Called with each configuration that takes effect.
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
        """The version of the configuration in force; 0 before the first."""
        return self._current.version if self._current is not None else 0

    @property
    def age_s(self) -> float:
        """Seconds since the configuration was last confirmed as the newest."""
        return steady_seconds() - max(self._tail.read_at, self._confirmed_at)

    @property
    def failing_seconds(self) -> float:
        """Seconds for which reads of the store have failed; 0 while they succeed."""
        return self._tail.failing_seconds

    @property
    def is_steady(self) -> bool:
        """Whether reads of the store succeed, and have done so for a while."""
        return self._tail.is_steady

    def start(self) -> None:
        """Start reading the configuration from the store."""
        self._tail.start()

    def hear(self, beat: Beat) -> None:
        """Compare a peer's version with the own one; send the peer the own one if newer."""
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
        """Apply a configuration that a peer has sent, if it is newer."""
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
