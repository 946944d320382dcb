"""The operators' configuration as the store holds it, decoded into types."""

import msgspec

from ..declarations import Size
from ..jobs.model import AdviceTerms, Configuration, Limits, Queue, Service
from ..teams import UNBOUNDED, Team, TeamRegistry, digest_key
from ._json import decode_json

__all__ = ["CONFIGURATION_KEY", "OPERATOR_TOPIC", "decode_configuration"]

OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"


class _Route(msgspec.Struct):
    name: str
    service: str
    host: str = ""
    path_prefix: str = "/"
    timeout_ms: float = 0
    target_latency_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: AdviceTerms | None = None
    public: bool = False


class _Amounts(msgspec.Struct):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Tenant(msgspec.Struct):
    # It also has a priority that no page explains; it decides nothing here.
    name: str
    api_keys: list[str] = []
    weight: float = 1.0
    max_count: _Amounts = msgspec.field(default_factory=_Amounts)


class _Configuration(msgspec.Struct):
    version: int
    # What the platform calls routes are queues here.
    routes: list[_Route] = []
    services: list[Service] = []
    # What the platform calls tenants are teams here.
    # Without any such list, there are no keys.
    tenants: list[_Tenant] | None = None
    limits: Limits = msgspec.field(default_factory=Limits)


def decode_configuration(data: bytes) -> Configuration:
    """Decode a configuration.

    Raises
    ------
    PlatformError
        If it does not fit.
    """
    decoded = decode_json(data, _Configuration, "the configuration")
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
        # A 0 stands for no bound.
        quota=Size(
            *(amount or UNBOUNDED for amount in (max_count.cpu, max_count.mem_mb, max_count.gpu))
        ),
        key_digests=frozenset(digest_key(key.encode()) for key in tenant.api_keys),
    )
