"""Client of the workers' sync API: one call renews, starts, stops and reports a VM's attempts."""

import msgspec

from ._http import HttpClient
from ._json import decode_json

__all__ = ["AttemptReport", "StartOrder", "StopOrder", "SyncOrder", "SyncReport", "WorkerClient"]


class StartOrder(msgspec.Struct, frozen=True):
    """Order to start an attempt once; refused after ``not_after_ms`` or without enough room."""

    attempt: str
    cpu: int
    memory: int
    accelerators: int
    run_ms: int
    not_after_ms: int


class StopOrder(msgspec.Struct, frozen=True):
    """Order to end an attempt; ``how`` is ``checkpoint`` or ``stop``."""

    attempt: str
    how: str


class SyncOrder(msgspec.Struct, frozen=True):
    """All orders of a node to a worker in one call.

    The worker refuses the whole call after ``not_after_ms``, so that a delayed call neither starts
    nor renews anything. It also refuses a call whose ``boot`` isn't its own, as the sender's view
    of the worker is then outdated.
    """

    boot: str
    lease_ms: int
    not_after_ms: int
    renew: list[str]
    start: list[StartOrder]
    stop: list[StopOrder]
    forget: list[str]


class AttemptReport(msgspec.Struct, frozen=True):
    """State of one attempt: ``running``, or an outcome."""

    state: str
    cpu: int = 0
    memory: int = 0


class SyncReport(msgspec.Struct, frozen=True):
    """A worker's response; ``boot`` identifies the start of its VM.

    ``attempts`` omits attempts that were renewed and still run, which keeps most responses short.
    """

    worker: str
    boot: str
    cpu: int
    memory: int
    accelerators: int
    attempts: dict[str, AttemptReport] = {}


class WorkerClient:
    """Client of all workers, called by address."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def status(self, address: str) -> SyncReport:
        """Return a worker's boot, capacity and attempts.

        Raises
        ------
        PlatformError
            If there is no complete, valid response.
        """
        return decode_json(self._client.request("GET", f"{address}/status"), SyncReport)

    def sync(self, address: str, order: SyncOrder) -> SyncReport:
        """Send orders and return the state of every attempt but those renewed and still running.

        Raises
        ------
        PlatformError
            If there is no complete, valid response; the orders may have been carried out.
        """
        body = msgspec.json.encode(order)
        return decode_json(self._client.request("POST", f"{address}/sync", body), SyncReport)
