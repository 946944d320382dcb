"""Decoding of the operators' configuration from its JSON form in the store."""

from typing import Annotated

import msgspec
from msgspec import Meta

from ..declarations import Size
from ..jobs.model import (
    AdviceTerms,
    Configuration,
    DurationMs,
    Limits,
    Priority,
    Queue,
    Service,
    SettingCount,
)
from ..teams import UNBOUNDED, Team, TeamRegistry, digest_key
from ._json import decode_json

__all__ = ["CONFIGURATION_KEY", "OPERATOR_TOPIC", "decode_configuration"]

OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"

_Factor = Annotated[float, Meta(ge=-1e9, le=1e9)]
"""A factor or weight, of which products and sums stay finite."""


class _Route(msgspec.Struct):
    name: str
    service: str
    host: str = ""
    path_prefix: str = "/"
    timeout_ms: DurationMs = 0
    target_latency_ms: DurationMs = 0
    priority: Priority = 0
    max_attempts: SettingCount = 1
    stretch: _Factor = 1.0
    advice: AdviceTerms | None = None
    public: bool = False


class _Amounts(msgspec.Struct):
    cpu: SettingCount = 0
    mem_mb: SettingCount = 0
    gpu: SettingCount = 0


class _Tenant(msgspec.Struct):
    # The platform also sends an undocumented priority, which is ignored.
    name: str
    api_keys: list[str] = []
    weight: _Factor = 1.0
    max_count: _Amounts = msgspec.field(default_factory=_Amounts)


class _Configuration(msgspec.Struct):
    version: SettingCount
    # Called queues elsewhere in this project.
    routes: list[_Route] = []
    services: list[Service] = []
    # Called teams elsewhere in this project. Without a list, no API keys are checked.
    tenants: list[_Tenant] | None = None
    limits: Limits = msgspec.field(default_factory=Limits)


def decode_configuration(data: bytes) -> Configuration:
    """Decode a configuration.

    Raises
    ------
    PlatformError
        If the configuration is malformed.
    """
    decoded = decode_json(data, _Configuration, "configuration")
    queues = tuple(
        Queue(
            name=route.name,
            host=route.host.lower(),
            path_prefix=route.path_prefix,
            service=route.service,
            priority=route.priority,
            max_attempts=max(1, route.max_attempts),
            stretch=route.stretch,
            target_latency_ms=route.target_latency_ms,
            timeout_ms=route.timeout_ms,
            advice=route.advice,
            is_public=route.public or decoded.tenants is None,
        )
        for route in decoded.routes
    )
    teams = TeamRegistry(_decode_team(tenant) for tenant in decoded.tenants or ())
    return Configuration(decoded.version, queues, tuple(decoded.services), decoded.limits, teams)


def _decode_team(tenant: _Tenant) -> Team:
    max_count = tenant.max_count
    return Team(
        name=tenant.name,
        weight=max(0.0, tenant.weight),
        # 0 means unlimited.
        quota=Size(
            *(amount or UNBOUNDED for amount in (max_count.cpu, max_count.mem_mb, max_count.gpu))
        ),
        key_digests=frozenset(digest_key(key.encode()) for key in tenant.api_keys),
    )
