"""The leaderships of one node: begun when it is elected, ended when it is deposed or stops."""

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
"""Time between looks for the first configuration, which one read of the store brings."""


class Leadership:
    """Starts and stops the leader, one at a time.

    Parameters
    ----------
    election
        Tells in which epoch this node leads.
    configuration
        Gives the configuration in force, or None before the first.
    make_context
        Gives what the leader of an epoch needs of its node.
    connect_peers
        Connects to all peers that were heard of.
    metrics
        Counts depositions.
    """

    def __init__(
        self,
        election: Election,
        configuration: Callable[[], Configuration | None],
        make_context: Callable[[int], LeaderContext],
        connect_peers: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        self._election = election
        self._configuration = configuration
        self._make_context = make_context
        self._connect_peers = connect_peers
        self._metrics = metrics
        self._handle: LeaderHandle | None = None
        self._lock = threading.Lock()
        self._epochs: queue.SimpleQueue[int] = queue.SimpleQueue()
        self._thread = ServiceThread(self._run, "leadership")

    @property
    def handle(self) -> LeaderHandle | None:
        """The leader on this node; None where this node does not lead."""
        return self._handle

    def start(self) -> None:
        """Start waiting for elections."""
        self._thread.start()

    def begin(self, epoch: int) -> None:
        """Lead in an epoch that this node was elected for."""
        kind = "soon_after_another" if self._election.turnover else "usual"
        self._metrics.count("leaderships_total", "Elections that this node won.", kind=kind)
        self._epochs.put(epoch)

    def depose(self, reason: str) -> None:
        """End the leadership: another node leads."""
        handle = self._detach_handle()
        log_event("deposed", reason=reason)
        self._metrics.count("depositions_total", "Leaderships of this node that ended.")
        if handle is not None:
            handle.stop()

    def stop(self) -> None:
        """End the leadership, if there is one, for a planned stop."""
        handle = self._detach_handle()
        if handle is not None:
            handle.stop()

    def leads_in(self, epoch: int) -> bool:
        """Tell whether this node leads in an epoch."""
        return self._election.own_epoch == epoch

    def _detach_handle(self) -> LeaderHandle | None:
        with self._lock:
            handle, self._handle = self._handle, None
        return handle

    def _run(self) -> None:
        """Start leading when elected; one leadership at a time."""
        while True:
            epoch = self._epochs.get()
            try:
                self._start_leader(epoch)
            except Exception as error:
                # Else this node would hold the leadership and do nothing with it.
                log_error("leading_failed", error, epoch=epoch)
                self._election.step_down(f"the leader could not start: {error}")

    def _start_leader(self, epoch: int) -> None:
        # Those that took this node for the leader already have been heard before.
        self._connect_peers()
        while self._configuration() is None and self.leads_in(epoch):
            time.sleep(_CONFIGURATION_POLL_SECONDS)
        handle = start_leader(self._make_context(epoch), lambda: self.leads_in(epoch))
        if handle is None:
            return
        with self._lock:
            if self.leads_in(epoch):
                self._handle = handle
                # A change between the leader's start and now would else be missed.
                handle.configure(self._configuration())
                return
        handle.stop()
