"""The external service that tells which workers may run a step."""

import msgspec

from ..errors import PlatformError, StoreRefused
from ..jobs.lives import worker_id_of
from ..jobs.orders import AdviceRequest, AdviceResult
from ._json import decode_json
from .http_pool import HttpPool

__all__ = ["AdviceClient"]


class _Answer(msgspec.Struct):
    # Rows of worker and ticket.
    good: list[tuple[str, str]] = []


class AdviceClient:
    """Asks the advice service; it handles one call of this node at a time."""

    def __init__(self, address: str) -> None:
        headers = {"Content-Type": "application/json"}
        self._http = HttpPool(address, 1, headers) if address else None

    def request_advice(self, request: AdviceRequest, timeout_s: float) -> AdviceResult:
        """Ask which of some workers may run a step.

        Raises
        ------
        StoreRefused
            If the service turned the call away.
        CallUnanswered, PlatformError
            If there is no usable answer.
        """
        if self._http is None:
            raise PlatformError("the settings name no advice service")
        step = f"{request.job}.{request.repetition}.{request.step}"
        # The service knows workers by their ids.
        lives = {worker_id_of(life): life for life in request.workers}
        body = msgspec.json.encode({"step": step, "workers": list(lives)})
        reply = self._http.call("POST", "/v1/advise", body, timeout_s)
        if reply.status in (429, 503):
            raise StoreRefused(f"the advice service answered {reply.status}")
        if reply.status != 200:
            raise PlatformError(f"the advice service answered {reply.status}")
        answer = decode_json(reply.data, _Answer, "advice")
        good = {lives[worker]: ticket for worker, ticket in answer.good if worker in lives}
        return AdviceResult(request, good)
