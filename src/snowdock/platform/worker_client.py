"""Workers: one call renews, starts, stops and reports everything on one VM."""

import msgspec

from ._http import HttpClient
from ._json import decode_json

__all__ = ["AttemptReport", "StartOrder", "StopOrder", "SyncOrder", "SyncReport", "WorkerClient"]


class StartOrder(msgspec.Struct, frozen=True):
    """Start an attempt, once; refused after ``not_after_ms`` or where there is no room."""

    attempt: str
    cpu: int
    memory: int
    accelerators: int
    run_ms: int
    not_after_ms: int


class StopOrder(msgspec.Struct, frozen=True):
    """End an attempt; ``how`` is ``checkpoint`` or ``stop``."""

    attempt: str
    how: str


class SyncOrder(msgspec.Struct, frozen=True):
    """All that a node wants of a worker at one time.

    The worker refuses the whole order after ``not_after_ms``, so that one delayed on its way
    neither starts nor renews anything, and where ``boot`` is not its own: then the sender
    knows too little of it.
    """

    boot: str
    lease_ms: int
    not_after_ms: int
    renew: list[str]
    start: list[StartOrder]
    stop: list[StopOrder]
    forget: list[str]


class AttemptReport(msgspec.Struct, frozen=True):
    """What a worker tells of one attempt: ``running``, or an outcome."""

    state: str
    cpu: int = 0
    memory: int = 0


class SyncReport(msgspec.Struct, frozen=True):
    """A worker's answer; ``boot`` names the start of its VM.

    ``attempts`` leaves out what was named to be renewed and still runs: most calls change
    nothing, and saying so for each task would be most of their bytes.
    """

    worker: str
    boot: str
    cpu: int
    memory: int
    accelerators: int
    attempts: dict[str, AttemptReport] = {}


class WorkerClient:
    """Talks to workers by address."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def status(self, address: str) -> SyncReport:
        """Ask for a worker's boot, capacity and attempts.

        Raises
        ------
        PlatformError
            If there is no whole answer.
        """
        return decode_json(self._client.request("GET", f"{address}/status"), SyncReport)

    def sync(self, address: str, order: SyncOrder) -> SyncReport:
        """Give orders and get the state of every attempt that is not just running on.

        Raises
        ------
        PlatformError
            If there is no whole answer; the order may have been carried out.
        """
        body = msgspec.json.encode(order)
        return decode_json(self._client.request("POST", f"{address}/sync", body), SyncReport)
