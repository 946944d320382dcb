"""The operators' configuration as the store holds it, decoded into types."""

import msgspec

from ..jobs.model import AdviceTerms, Configuration, Limits, Queue, Service
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


class _Configuration(msgspec.Struct):
    version: int
    # What the platform calls routes are queues here.
    routes: list[_Route] = []
    services: list[Service] = []
    limits: Limits = msgspec.field(default_factory=Limits)


def decode_configuration(data: bytes) -> Configuration:
    """Decode a configuration.

    Raises
    ------
    PlatformError
        If it does not fit.
    """
    found = decode_json(data, _Configuration, "the configuration", strict=False)
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
        )
        for route in found.routes
    )
    return Configuration(found.version, queues, tuple(found.services), found.limits)
