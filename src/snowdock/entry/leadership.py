"""Start and stop of the leader on one node, as it is elected and deposed."""

import queue
import threading
import time
from collections.abc import Callable

from ..jobs.model import Configuration
from ..logs import log_error, log_event
from ..node.metrics import Metrics
from ..threads import ServiceThread
from .election import Election
from .leader import LeaderContext
from .leader_handle import LeaderHandle
from .takeover import start_leader

__all__ = ["Leadership"]

_CONFIGURATION_POLL_SECONDS = 0.02
"""Interval between checks for the first configuration."""


class Leadership:
    """Starts and stops the leader on this node, one at a time.

    Parameters
    ----------
    election
        The election, with the epoch in which this node leads.
    configuration
        Returns the configuration in force, or None before the first.
    make_context
        Returns the context of the leader of an epoch.
    metrics
        Counts elections and depositions.
    """

    def __init__(
        self,
        election: Election,
        configuration: Callable[[], Configuration | None],
        make_context: Callable[[int], LeaderContext],
        metrics: Metrics,
    ) -> None:
        self._election = election
        self._configuration = configuration
        self._make_context = make_context
        self._metrics = metrics
        self._handle: LeaderHandle | None = None
        self._last_epoch = 0
        self._lock = threading.Lock()
        self._epochs: queue.SimpleQueue[int] = queue.SimpleQueue()
        self._thread = ServiceThread(self._run, "leadership")

    @property
    def handle(self) -> LeaderHandle | None:
        """The leader on this node; None if there is none."""
        return self._handle

    @property
    def is_loading(self) -> bool:
        """Whether this node has been elected, and its leader still loads the jobs on record."""
        return self._handle is None and bool(self._election.own_epoch)

    def start(self) -> None:
        """Start the thread that starts leaders."""
        self._thread.start()

    def begin(self, epoch: int) -> None:
        """Start a leader for an epoch in which this node was elected.

        An epoch serves one leader only. Neither workers nor the store could tell a second one from
        the late orders and appends of the first, so the node has to claim another epoch.
        """
        if epoch <= self._last_epoch:
            self._election.step_down(f"this node has led in epoch {epoch} before")
            return
        self._last_epoch = epoch
        kind = "soon_after_another" if self._election.turnover else "usual"
        self._metrics.count("leaderships_total", "Elections that this node won.", kind=kind)
        self._epochs.put(epoch)

    def depose(self, reason: str) -> None:
        """Stop the leader because this node is no longer elected."""
        handle = self._detach_handle()
        log_event("deposed", reason=reason)
        self._metrics.count("depositions_total", "Leaderships of this node that ended.")
        if handle is not None:
            handle.stop()

    def stop(self) -> None:
        """Stop the leader, if there is one, for a planned stop."""
        handle = self._detach_handle()
        if handle is not None:
            handle.stop()

    def leads_in(self, epoch: int) -> bool:
        """Check whether this node leads in an epoch."""
        return self._election.own_epoch == epoch

    def _detach_handle(self) -> LeaderHandle | None:
        with self._lock:
            handle, self._handle = self._handle, None
        return handle

    def _run(self) -> None:
        """Start a leader for each epoch in the queue, one at a time."""
        while True:
            epoch = self._epochs.get()
            try:
                self._start_leader(epoch)
            except Exception as error:
                # Step down, or this node would stay elected without a working leader.
                log_error("leading_failed", error, epoch=epoch)
                self._election.step_down(f"the leader could not start: {error}")

    def _start_leader(self, epoch: int) -> None:
        while self._configuration() is None and self.leads_in(epoch):
            time.sleep(_CONFIGURATION_POLL_SECONDS)
        handle = start_leader(self._make_context(epoch), lambda: self.leads_in(epoch))
        if handle is None:
            return
        with self._lock:
            if self.leads_in(epoch):
                self._handle = handle
                # Covers a configuration that changed after the leader was started.
                handle.configure(self._configuration())
                return
        handle.stop()
