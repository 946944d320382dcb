"""Readiness probes and metrics, on separate listeners so that callers cannot block them."""

import os
from collections.abc import Callable, Iterable

import waitress

from ..node.http_models import HttpAnswer, json_answer
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
        self._server = waitress.create_server(
            self,
            listen=f"{ready_address} {host}:{port}",
            threads=_THREADS,
            # `select` is limited to descriptors below 1,024; the leader may have more.
            asyncore_use_poll=True,
            ident=None,
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

    def _answer(self, path: str) -> HttpAnswer:
        if path == READY_PATH:
            ready = self._is_ready()
            return json_answer({"ready": ready}, 200 if ready else 503)
        if path == _METRICS_PATH:
            content, content_type = self._metrics.render()
            return HttpAnswer(200, content, content_type)
        return json_answer({"code": "not_found"}, 404)
