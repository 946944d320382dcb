"""A node's settings: one INI file, checked whole before the daemon starts."""

import configparser
import pathlib
from typing import Annotated

import msgspec
from msgspec import Meta

from .declarations import check_section
from .errors import DeclarationError, SettingsErrors

__all__ = [
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
    """Section ``[node]``: who the node is.

    Attributes
    ----------
    name
        The node's name; also the name of its VM in the VM list.
    hall
        The data hall that it stands in.
    api
        IP number and port of its HTTP API; port 0 takes a free one.
    peer
        IP number and port for its peers.
    threads
        HTTP requests that are handled at once.
    max_body_bytes
        The largest request body that is taken.
    seeds
        Peers, separated by commas, that a starting node may ask for the state while the log
        is down.
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
        """The seeds one by one."""
        return [seed.strip() for seed in self.seeds.split(",") if seed.strip()]


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section ``[platform]``: where the platform's services are.

    Attributes
    ----------
    log
        URL of the log stream.
    vms
        URL of the VM list.
    timeout_ms
        The longest wait for an answer of the platform.
    """

    log: Url
    vms: Url
    timeout_ms: Milliseconds = 2000


class TimingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section ``[timing]``: how often things happen.

    Attributes
    ----------
    append_interval_ms
        The shortest time between two appends of this node.
    poll_ms
        How long one read of the log waits for news.
    vms_interval_ms
        Time between two looks at the VM list.
    sync_interval_ms
        Time between two calls to a worker on which nothing changes.
    watch_interval_ms
        The same for a worker with tasks on it.
    heartbeat_ms
        Time between two heartbeats to each peer.
    silence_ms
        A peer that was silent for so long is not chosen to act.
    verdict_ms
        The longest wait of a caller for a record's verdict.
    drain_ms
        The longest time that a planned stop waits for requests in flight.
    snapshot_entries
        Log entries between two snapshots.
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


class SecuritySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section ``[security]``: who may talk to the node.

    Attributes
    ----------
    tokens_file
        File with the bearer tokens of operators and callers; without one all may do all.
    peer_public_key
        The cluster's public key, the same on all nodes, as ``snowdock keys`` prints it.
    peer_secret_key
        The cluster's secret key; with both, a peer that does not hold them is not heard.
    """

    tokens_file: str = ""
    peer_public_key: Annotated[str, Meta(pattern=r"^$|^\S{40}$")] = ""
    peer_secret_key: Annotated[str, Meta(pattern=r"^$|^\S{40}$")] = ""


class Settings(msgspec.Struct, frozen=True):
    """All settings of one node."""

    node: NodeSettings
    platform: PlatformSettings
    timing: TimingSettings = TimingSettings()
    security: SecuritySettings = SecuritySettings()


_SECTIONS = {
    "node": NodeSettings,
    "platform": PlatformSettings,
    "timing": TimingSettings,
    "security": SecuritySettings,
}


def read_settings(path: str) -> Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path
        The INI file.

    Returns
    -------
    Settings
        The checked settings.

    Raises
    ------
    SettingsErrors
        With one `DeclarationError` for each mistake.
    """
    errors: list[Exception] = []
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(pathlib.Path(path).read_text(encoding="utf-8"), source=path)
    except (OSError, UnicodeDecodeError, configparser.Error) as problem:
        text = str(problem).replace("\n", " ")
        raise SettingsErrors(
            "the settings have mistakes", [DeclarationError(path, "", "", text)]
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
        raise SettingsErrors("the settings have mistakes", errors)
    return Settings(**sections)
