"""The HTTP listener for callers' requests and its limits."""

from collections.abc import Callable, Iterable

import waitress
from waitress.server import BaseWSGIServer

from ..errors import Overloaded
from ..jobs.model import Limits
from ..logs import log_event
from ..node.http_models import problem_response
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

_EXTRA_CONNECTIONS = 100
"""Connections above the limit that are still accepted, to be answered with an error. Further ones
wait in the accept queue."""

_MIN_CONNECTIONS = 100
"""Lower bound of the connection limit, even if the node has few descriptors."""

_CLEANUP_INTERVAL_SECONDS = 5
"""Time between checks for idle connections."""

_IDLE_TIMEOUT_SECONDS = 60
"""How long a connection may be idle before it is closed."""

_DEFAULT_MAX_BODY_BYTES = 1_000_000
"""Largest request body if the configuration sets no limit."""

_DEFAULT_MAX_HEADER_BYTES = 65_536
"""Largest request header if the configuration sets no limit."""


def create_listener(
    application: Callable, environment: NodeEnvironment, metrics: Metrics
) -> BaseWSGIServer:
    """Open the listener; it serves once its ``run`` method is called.

    Requests on connections above the node's limit are answered with 503 and a ``Retry-After``.
    """
    max_connections = max_callers(environment.max_descriptors)
    metrics.set("descriptors_limit", "Descriptors this node may open.", environment.max_descriptors)
    metrics.set("callers_limit", "Callers' connections that are served at once.", max_connections)

    def count_open() -> int:
        return len(listener.active_channels)

    listener = waitress.create_server(
        _limit_connections(max_connections, count_open, application, metrics),
        listen=environment.front_address,
        threads=_THREADS,
        backlog=_BACKLOG,
        connection_limit=max_connections + _EXTRA_CONNECTIONS,
        # `select` is limited to descriptors below 1,024; the leader may have more.
        asyncore_use_poll=True,
        cleanup_interval=_CLEANUP_INTERVAL_SECONDS,
        channel_timeout=_IDLE_TIMEOUT_SECONDS,
        max_request_body_size=_DEFAULT_MAX_BODY_BYTES,
        max_request_header_size=_DEFAULT_MAX_HEADER_BYTES,
        clear_untrusted_proxy_headers=True,
        ident=None,
    )
    return listener


def max_callers(max_descriptors: int) -> int:
    """Return the number of callers' connections that a node serves at once."""
    return max(_MIN_CONNECTIONS, int(max_descriptors * _CALLERS_DESCRIPTOR_SHARE))


def _limit_connections(
    max_connections: int, count_open: Callable[[], int], application: Callable, metrics: Metrics
) -> Callable:
    """Wrap a WSGI application so that it refuses requests above a number of connections."""

    def handle(environ: dict, start_response: Callable) -> Iterable[bytes]:
        connections = count_open()
        metrics.set("callers_connected", "Callers' connections that are open.", connections)
        if connections <= max_connections:
            return application(environ, start_response)
        error = Overloaded(f"{connections} connections are open, {max_connections} are allowed")
        log_event("connection_refused", connections=connections, most=max_connections)
        answer = problem_response(error)
        headers = {"Content-Type": answer.content_type, **answer.headers}
        start_response(f"{answer.status} Service Unavailable", list(headers.items()))
        # Without a Content-Length, waitress closes the connection after the answer.
        return iter([answer.body])

    return handle


def apply_limits(listener: BaseWSGIServer, limits: Limits) -> None:
    """Apply the limits of a configuration to new connections."""
    listener.adj.max_request_header_size = limits.max_header_bytes or _DEFAULT_MAX_HEADER_BYTES
    listener.adj.max_request_body_size = limits.max_body_bytes or _DEFAULT_MAX_BODY_BYTES
