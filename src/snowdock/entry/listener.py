"""The listener for callers' requests, and the bounds on what it reads."""

from collections.abc import Callable, Iterable

import waitress
from waitress.server import BaseWSGIServer

from ..errors import Overloaded
from ..jobs.model import Limits
from ..logs import log_event
from ..node.http_models import problem_answer
from ..node.metrics import Metrics
from ..platform.node_settings import NodeEnvironment

__all__ = ["apply_limits", "create_listener", "max_callers"]

_THREADS = 20
"""Requests handled at once; each holds its thread for one append, some 10 ms."""

_BACKLOG = 1024
"""Connections that wait to be accepted: callers of a whole cluster may come back at once."""

_CALLERS_DESCRIPTOR_SHARE = 0.5
"""Share of a node's descriptors that callers' connections may take. The other half is for files,
workers and peers (two each) and the store: of 4,100, enough for 700 workers and 97 nodes."""

_EXTRA_CONNECTIONS = 100
"""Connections beyond that share which are still accepted, to be refused in words; more than those
wait in the backlog."""

_MIN_CONNECTIONS = 100
"""Callers' connections at once, however few descriptors the node has."""

_CLEANUP_INTERVAL_SECONDS = 5
"""Time between looks for idle connections."""

_IDLE_TIMEOUT_SECONDS = 60
"""How long a connection may be idle before it is closed."""

_DEFAULT_MAX_BODY_BYTES = 1_000_000
"""The longest body where the configuration tells none."""

_DEFAULT_MAX_HEADER_BYTES = 65_536
"""The longest header where the configuration tells none."""


def create_listener(
    application: Callable, environment: NodeEnvironment, metrics: Metrics
) -> BaseWSGIServer:
    """Open the listener; it serves once its ``run`` is called.

    Callers beyond the node's share of descriptors are refused, and told to come back.
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
        # `select` takes no descriptor above 1,023, and a leader of 270 workers has more.
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
    """Give how many callers' connections a node serves at once."""
    return max(_MIN_CONNECTIONS, int(max_descriptors * _CALLERS_DESCRIPTOR_SHARE))


def _limit_connections(
    max_connections: int, count_open: Callable[[], int], application: Callable, metrics: Metrics
) -> Callable:
    """Wrap an application so that requests on connections beyond a number are refused."""

    def handle(environ: dict, start_response: Callable) -> Iterable[bytes]:
        connections = count_open()
        metrics.set("callers_connected", "Callers' connections that are open.", connections)
        if connections <= max_connections:
            return application(environ, start_response)
        error = Overloaded(f"{connections} connections are open, {max_connections} are served")
        log_event("connection_refused", connections=connections, most=max_connections)
        answer = problem_answer(error)
        headers = {"Content-Type": answer.content_type, **answer.headers}
        start_response(f"{answer.status} Service Unavailable", list(headers.items()))
        # Without a length, waitress closes the connection behind the answer.
        return iter([answer.body])

    return handle


def apply_limits(listener: BaseWSGIServer, limits: Limits) -> None:
    """Put the limits of a configuration in force for new connections."""
    listener.adj.max_request_header_size = limits.max_header_bytes or _DEFAULT_MAX_HEADER_BYTES
    listener.adj.max_request_body_size = limits.max_body_bytes or _DEFAULT_MAX_BODY_BYTES
