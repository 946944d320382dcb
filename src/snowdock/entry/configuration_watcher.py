"""The configuration in force at a node, and for how long it is not confirmed as the newest.

The configuration is read from the store. Nodes that cannot reach the store receive newer versions
from their peers: heartbeats carry the version in force, and a node sends its configuration to a
peer whose heartbeat reports an older version. Without this, revoked keys would stay valid and
new keys would be refused at a node without the store.
"""

from collections.abc import Callable

from ..clocks import steady_seconds
from ..errors import PlatformError
from ..jobs.model import Configuration
from ..logs import log_error, log_event
from ..platform.configuration import CONFIGURATION_KEY, OPERATOR_TOPIC, decode_configuration
from ..platform.store import KeyedRecord, StoreClient
from .messages import ConfigurationNotice, Heartbeat
from .tails import Tail, handle_each
from .topics import DEFAULT_PARTITION

__all__ = ["ConfigurationWatcher"]

_READ_WAIT_SECONDS = 1.0
"""How long one read waits for a change. Changes take effect within two seconds, even if the
store's answer to one read is lost."""

_FORWARD_DELAY_SECONDS = 0.5
"""Delay before a version is sent to peers that lack it; most peers read it from the store."""

_FORWARD_INTERVAL_SECONDS = 1.0
"""Pause before a version is sent to the same peer again, in case the message was lost. A
configuration may have 100 KB, a sixth of a second on the narrowest links."""


class ConfigurationWatcher:
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
        send: Callable[[str, ConfigurationNotice], None],
        on_change: Callable[[Configuration], None],
    ) -> None:
        self._send = send
        self._on_change = on_change
        self._current: Configuration | None = None
        self._encoded = b""
        self._changed_at = 0.0
        self._confirmed_at = 0.0
        self._forwarded_at: dict[str, float] = {}
        self._tail = Tail(
            store,
            OPERATOR_TOPIC,
            DEFAULT_PARTITION,
            _READ_WAIT_SECONDS,
            0.0,
            self._handle_record,
            self._handle_records,
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
    def is_store_stable(self) -> bool:
        """Whether reads of the store succeed, and have done so for a while."""
        return self._tail.is_stable

    def start(self) -> None:
        """Start reading the configuration from the store."""
        self._tail.start()

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Send this node's configuration to a peer whose heartbeat reports an older version."""
        now = steady_seconds()
        if heartbeat.configuration == self.version and heartbeat.reaches_store:
            self._confirmed_at = now
        if (
            heartbeat.configuration >= self.version
            or now - self._changed_at < _FORWARD_DELAY_SECONDS
        ):
            return
        if now - self._forwarded_at.get(heartbeat.node, 0.0) < _FORWARD_INTERVAL_SECONDS:
            return
        self._forwarded_at[heartbeat.node] = now
        log_event("configuration_passed_on", peer=heartbeat.node, version=self.version)
        self._send(heartbeat.node, ConfigurationNotice(self._encoded))

    def apply_from_peer(self, data: bytes) -> None:
        """Apply a configuration that a peer has sent, if it is newer."""
        self._apply(data, "peer")

    def _handle_records(self, records: list[KeyedRecord]) -> None:
        handle_each(records, self._handle_record)

    def _handle_record(self, record: KeyedRecord) -> None:
        if record.key == CONFIGURATION_KEY and record.value is not None:
            self._apply(record.value, "store")

    def _apply(self, data: bytes, source: str) -> None:
        try:
            configuration = decode_configuration(data)
        except PlatformError as error:
            log_error("configuration_unusable", error)
            return
        previous_version = self.version
        if configuration.version <= previous_version:
            return
        self._encoded = data
        self._changed_at = steady_seconds()
        self._forwarded_at = {}
        self._current = configuration
        log_event(
            "configuration_in_force",
            version=configuration.version,
            before=previous_version,
            source=source,
            queues=len(configuration.queues),
            teams=len(configuration.teams),
        )
        self._on_change(configuration)
