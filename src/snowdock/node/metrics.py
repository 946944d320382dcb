"""Prometheus metrics of a node, based on aioprometheus.

Only the synchronous functions of aioprometheus are used, since a node has no event loop.
"""

import threading
import time

import aioprometheus
from aioprometheus.collectors import Registry

__all__ = ["Metrics"]

_TIME_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0]

_RATIO_BUCKETS = [0.1, 0.25, 0.5, 0.8, 1.25, 2.0, 4.0, 10.0]

_QUANTILE_ERRORS = ((0.5, 0.02), (0.9, 0.01), (0.99, 0.001))


class Metrics:
    """The metrics of one node.

    A lock makes updates thread-safe, since aioprometheus does not update values atomically.
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self._lock = threading.Lock()
        self._metrics: dict[str, aioprometheus.Collector] = {}

    def _ensure_metric(self, kind: type, name: str, doc: str, **options):
        if name not in self._metrics:
            self._metrics[name] = kind(f"snowdock_{name}", doc, registry=self._registry, **options)
        return self._metrics[name]

    def count(self, name: str, doc: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        with self._lock:
            self._ensure_metric(aioprometheus.Counter, name, doc).add(labels, amount)

    def set(self, name: str, doc: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        with self._lock:
            self._ensure_metric(aioprometheus.Gauge, name, doc).set(labels, value)

    def observe(self, name: str, doc: str, value: float, **labels: str) -> None:
        """Record a value in a summary with the quantiles 0.5, 0.9 and 0.99."""
        with self._lock:
            found = self._ensure_metric(
                aioprometheus.Summary, name, doc, invariants=_QUANTILE_ERRORS
            )
            found.observe(labels, value)

    def time(self, name: str, doc: str, seconds: float, **labels: str) -> None:
        """Record a duration in a histogram."""
        with self._lock:
            found = self._ensure_metric(
                aioprometheus.Histogram, name, doc, buckets=_TIME_BUCKETS_SECONDS
            )
            found.observe(labels, seconds)

    def ratio(self, name: str, doc: str, value: float, **labels: str) -> None:
        """Record a ratio in a histogram whose buckets are centred on 1."""
        with self._lock:
            found = self._ensure_metric(aioprometheus.Histogram, name, doc, buckets=_RATIO_BUCKETS)
            found.observe(labels, value)

    def render(self) -> tuple[bytes, str]:
        """Return all metrics in the text format, and its content type."""
        with self._lock:
            self._ensure_metric(
                aioprometheus.Gauge,
                "process_cpu_seconds",
                "Processor time of this process in seconds.",
            ).set({}, time.process_time())
            content, headers = aioprometheus.render(self._registry, ["text/plain"])
        return content, headers["Content-Type"]
