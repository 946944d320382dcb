"""The listener for callers' requests, and the bounds on what it reads."""

from collections.abc import Callable

import waitress
from waitress.server import BaseWSGIServer

from ..jobs.model import Limits
from ..platform.node_settings import NodeEnvironment

__all__ = ["bound_front", "make_front"]

_THREADS = 20
"""Requests handled at once; each holds its thread for one append, some 10 ms."""

_BACKLOG = 1024
"""Connections that wait to be accepted: callers of a whole cluster may come back at once."""

_RESERVED_DESCRIPTORS = 600
"""Descriptors for files, workers, peers and the store; the rest may be callers' connections."""

_LEAST_CONNECTIONS = 100
"""Callers' connections at once, however few descriptors the node has."""

_CLEANUP_SECONDS = 5
"""Time between looks for idle connections."""

_IDLE_SECONDS = 60
"""How long a connection may be idle before it is closed."""

_MAX_BODY_BYTES = 1_000_000
"""The longest body where the configuration tells none."""

_MAX_HEADER_BYTES = 65_536
"""The longest header where the configuration tells none."""


def make_front(application: Callable, environment: NodeEnvironment) -> BaseWSGIServer:
    """Open the listener; it serves once its ``run`` is called."""
    return waitress.create_server(
        application,
        listen=environment.front_address,
        threads=_THREADS,
        backlog=_BACKLOG,
        connection_limit=max(
            _LEAST_CONNECTIONS, environment.max_descriptors - _RESERVED_DESCRIPTORS
        ),
        cleanup_interval=_CLEANUP_SECONDS,
        channel_timeout=_IDLE_SECONDS,
        max_request_body_size=_MAX_BODY_BYTES,
        max_request_header_size=_MAX_HEADER_BYTES,
        clear_untrusted_proxy_headers=True,
        ident=None,
    )


def bound_front(front: BaseWSGIServer, limits: Limits) -> None:
    """Put the limits of a configuration in force for new connections."""
    front.adj.max_request_header_size = limits.max_header_bytes or _MAX_HEADER_BYTES
    front.adj.max_request_body_size = limits.max_body_bytes or _MAX_BODY_BYTES
