"""A node's settings: an INI file that is validated completely before the daemon starts."""

import configparser
import pathlib
from typing import Annotated

import msgspec
from msgspec import Meta

from .declarations import check_section
from .errors import DeclarationError, SettingsErrors

__all__ = [
    "ClientSettings",
    "NodeSettings",
    "PlatformSettings",
    "SecuritySettings",
    "Settings",
    "TimingSettings",
    "read_settings",
]

Address = Annotated[str, Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]
Url = Annotated[str, Meta(pattern=r"^http://[^\s]+$")]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000)]


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section ``[node]``: the node's identity and addresses.

    Attributes
    ----------
    name
        The node's name; also the name of its VM in the VM list.
    hall
        The data hall that its VM is in.
    api
        IP address and port of its HTTP API; port 0 selects a free port.
    peer
        IP address and port for its peers.
    threads
        Number of HTTP requests that are handled concurrently.
    max_body_bytes
        The largest request body that is accepted.
    seeds
        Comma-separated addresses of peers from which a starting node requests the state while
        the log is unavailable.
    """

    name: Name
    hall: Name
    api: Address
    peer: Address
    threads: Annotated[int, Meta(ge=2, le=512)] = 48
    max_body_bytes: Annotated[int, Meta(ge=1024, le=64_000_000)] = 4_000_000
    seeds: Annotated[str, Meta(pattern=r"^$|^[0-9.:, ]+$")] = ""

    @property
    def seed_addresses(self) -> list[str]:
        """The addresses in ``seeds``."""
        return [seed.strip() for seed in self.seeds.split(",") if seed.strip()]


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section ``[platform]``: how to reach the platform's services.

    Attributes
    ----------
    log
        URL of the log stream.
    vms
        URL of the VM list.
    timeout_ms
        Time limit of a request to the platform.
    """

    log: Url
    vms: Url
    timeout_ms: Milliseconds = 2000


class TimingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section ``[timing]``: intervals and time limits.

    Attributes
    ----------
    append_interval_ms
        The shortest time between two appends of this node.
    poll_ms
        How long one read of the log waits for new entries.
    vms_interval_ms
        Time between two reads of the VM list.
    sync_interval_ms
        Time between two calls to a worker without tasks or changes.
    watch_interval_ms
        Time between two calls to a worker with tasks.
    heartbeat_ms
        Time between two heartbeats to each peer.
    silence_ms
        A peer that sent no heartbeat for this time is not chosen to act.
    verdict_ms
        How long a caller waits for the verdict on a record.
    drain_ms
        How long a planned stop waits for requests in flight.
    snapshot_entries
        Number of log entries between two snapshots.
    """

    append_interval_ms: Milliseconds = 50
    poll_ms: Milliseconds = 10_000
    vms_interval_ms: Milliseconds = 1000
    sync_interval_ms: Milliseconds = 10_000
    watch_interval_ms: Milliseconds = 10_000
    heartbeat_ms: Milliseconds = 1000
    silence_ms: Milliseconds = 4000
    verdict_ms: Milliseconds = 5000
    drain_ms: Milliseconds = 30_000
    snapshot_entries: Annotated[int, Meta(ge=10, le=1_000_000)] = 20_000


class ClientSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section ``[clients]``: what the clients of the API may make the node keep.

    Attributes
    ----------
    memory_mb
        Memory of the VM. An eighth of it is for requests that are not answered yet, a quarter for
        connections.
    max_connections
        Connections that are served at once.
    max_header_bytes
        The largest head of a request that is accepted.
    header_timeout_ms
        Time from the first byte of a request to the end of its head.
    body_timeout_ms
        Time from the end of a request's head to that of its body, and for reading an answer.
    idle_timeout_ms
        Time without any bytes after which a connection is closed.
    """

    memory_mb: Annotated[int, Meta(ge=64, le=1_000_000)] = 300
    max_connections: Annotated[int, Meta(ge=10, le=100_000)] = 1000
    max_header_bytes: Annotated[int, Meta(ge=1024, le=1_000_000)] = 65_536
    header_timeout_ms: Milliseconds = 10_000
    body_timeout_ms: Milliseconds = 30_000
    idle_timeout_ms: Milliseconds = 60_000


class SecuritySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section ``[security]``: authentication of callers, operators and peers.

    Attributes
    ----------
    tokens_file
        File with the bearer tokens of operators and callers; without it all requests are allowed.
    peer_public_key
        The cluster's public key, the same on all nodes, as ``snowdock keys`` prints it.
    peer_secret_key
        The cluster's secret key; if both keys are set, peers without them are rejected.
    """

    tokens_file: str = ""
    peer_public_key: Annotated[str, Meta(pattern=r"^$|^\S{40}$")] = ""
    peer_secret_key: Annotated[str, Meta(pattern=r"^$|^\S{40}$")] = ""


class Settings(msgspec.Struct, frozen=True):
    """All settings of one node."""

    node: NodeSettings
    platform: PlatformSettings
    timing: TimingSettings = TimingSettings()
    clients: ClientSettings = ClientSettings()
    security: SecuritySettings = SecuritySettings()


_SECTIONS = {
    "node": NodeSettings,
    "platform": PlatformSettings,
    "timing": TimingSettings,
    "clients": ClientSettings,
    "security": SecuritySettings,
}


def read_settings(path: str) -> Settings:
    """Read and validate a settings file.

    Parameters
    ----------
    path
        The INI file.

    Returns
    -------
    Settings
        The validated settings.

    Raises
    ------
    SettingsErrors
        With a `DeclarationError` for each error.
    """
    errors: list[Exception] = []
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(pathlib.Path(path).read_text(encoding="utf-8"), source=path)
    except (OSError, UnicodeDecodeError, configparser.Error) as problem:
        text = str(problem).replace("\n", " ")
        raise SettingsErrors(
            "the settings have errors", [DeclarationError(path, "", "", text)]
        ) from problem
    sections = {}
    for section in parser.sections():
        if section not in _SECTIONS:
            errors.append(DeclarationError(path, section, "", "unknown section"))
    for section, model in _SECTIONS.items():
        values = parser[section] if parser.has_section(section) else {}
        sections[section], problems = check_section(
            model, values, lambda key, problem, s=section: DeclarationError(path, s, key, problem)
        )
        errors.extend(problems)
    if errors:
        raise SettingsErrors("the settings have errors", errors)
    return Settings(**sections)
