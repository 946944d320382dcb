"""The HTTP listener for callers' requests and its limits."""

import dataclasses
from collections.abc import Callable

from ..http_server import (
    BoundedServer,
    ConnectionLimits,
    budget_bytes,
    create_server,
    max_connections,
)
from ..jobs.model import Limits
from ..node.metrics import Metrics
from ..platform.node_settings import NodeEnvironment
from .leader_queries import MAX_WAITING_LOOKUPS

__all__ = ["apply_limits", "create_listener", "max_callers"]

_THREADS = 20 + MAX_WAITING_LOOKUPS
"""Requests handled at once; most take one append to the store, about 10 ms. Lookups that wait for a
leader leave twenty threads to others."""

_BACKLOG = 1024
"""Length of the accept queue; all callers of a cluster may reconnect at the same time."""

_CALLERS_DESCRIPTOR_SHARE = 0.5
"""Share of a node's file descriptors that callers' connections may use. The rest is for files, the
store, workers and peers, which use two descriptors each: of 4,100 descriptors, it suffices for 700
workers and 97 nodes."""

_MIN_CONNECTIONS = 100
"""Lower bound of the connection limit, even if the node has few descriptors."""

_DEFAULTS = {field.name: field.default for field in dataclasses.fields(ConnectionLimits)}


def create_listener(
    application: Callable, environment: NodeEnvironment, metrics: Metrics
) -> BoundedServer:
    """Open the listener; it serves once its ``run`` method is called.

    Above the node's limit of connections, those that advance least are closed; if there are none to
    close, a new one is answered with 503 and a ``Retry-After``.
    """
    limits = ConnectionLimits(
        connections=min(
            max_callers(environment.max_descriptors), max_connections(environment.memory_mb)
        ),
        budget_bytes=budget_bytes(environment.memory_mb),
        body_timeout_s=environment.body_timeout_s,
    )
    metrics.set("descriptors_limit", "Descriptors this node may open.", environment.max_descriptors)
    metrics.set(
        "callers_limit", "Callers' connections that are served at once.", limits.connections
    )
    address = environment.front_address
    return create_server(application, [address], limits, metrics, "callers", _THREADS, _BACKLOG)


def max_callers(max_descriptors: int) -> int:
    """Return the number of callers' connections that a node serves at once."""
    return max(_MIN_CONNECTIONS, int(max_descriptors * _CALLERS_DESCRIPTOR_SHARE))


def apply_limits(listener: BoundedServer, limits: Limits) -> None:
    """Apply the limits of a configuration; 0 selects the default."""
    stated = {
        "header_bytes": limits.max_header_bytes,
        "body_bytes": limits.max_body_bytes,
        "header_timeout_s": limits.header_timeout_ms / 1000,
        "idle_timeout_s": limits.idle_timeout_ms / 1000,
    }
    chosen = {name: value or _DEFAULTS[name] for name, value in stated.items()}
    listener.set_limits(dataclasses.replace(listener.limits, **chosen))
