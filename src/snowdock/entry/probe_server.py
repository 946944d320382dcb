"""Readiness probes and metrics, on separate listeners so that callers cannot block them."""

import os
from collections.abc import Callable, Iterable

from ..http_server import ConnectionLimits, create_server
from ..node.http_models import HttpResponse, json_response
from ..node.metrics import Metrics
from ..platform.job_bodies import READY_PATH
from ..threads import ServiceThread

__all__ = ["METRICS_PORT", "ProbeServer"]

METRICS_PORT = 9464
"""Default port of the metrics; the deployment file has the same number."""

METRICS_PORT_VARIABLE = "SNOWDOCK_METRICS_PORT"
"""Environment variable that overrides the port."""

_METRICS_PATH = "/metrics"
_THREADS = 2
"""Requests handled at once: one probe and one scrape of the metrics."""

_LIMITS = ConnectionLimits(
    connections=50,
    budget_bytes=2_000_000,
    header_bytes=8192,
    body_bytes=1024,
    header_timeout_s=5.0,
    body_timeout_s=5.0,
    idle_timeout_s=60.0,
)
"""Limits of each of the two listeners. A prober and a few collectors connect, and their requests
have no body; the budget is for metrics that are not read yet, of some 100 KB each."""


class ProbeServer:
    """The WSGI application for the load balancer's probes and the operators' metrics.

    Parameters
    ----------
    ready_address
        IP address and port of the readiness probes.
    is_ready
        Checks whether the node accepts new connections.
    metrics
        The node's metrics.
    """

    def __init__(self, ready_address: str, is_ready: Callable[[], bool], metrics: Metrics) -> None:
        self._is_ready = is_ready
        self._metrics = metrics
        host = ready_address.rpartition(":")[0]
        port = os.environ.get(METRICS_PORT_VARIABLE, METRICS_PORT)
        self._server = create_server(
            self, [ready_address, f"{host}:{port}"], _LIMITS, metrics, "probes", _THREADS
        )

    def start(self) -> None:
        """Start serving on a thread."""
        ServiceThread(self._server.run, "probes").start()

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Handle one request."""
        answer = self._answer(environ.get("PATH_INFO", ""))
        phrase = "OK" if answer.status == 200 else "Unavailable"
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
        ]
        start_response(f"{answer.status} {phrase}", headers)
        return [answer.body]

    def _answer(self, path: str) -> HttpResponse:
        if path == READY_PATH:
            ready = self._is_ready()
            return json_response({"ready": ready}, 200 if ready else 503)
        if path == _METRICS_PATH:
            content, content_type = self._metrics.render()
            return HttpResponse(200, content, content_type)
        return json_response({"code": "not_found"}, 404)
