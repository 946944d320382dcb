"""Client that forwards callers' requests to minions and detects requests that did not run."""

import dataclasses
import enum

import urllib3

__all__ = ["Exchange", "ExchangeResult", "MinionAnswer", "MinionClient"]

_REQUEST_ID = "X-Request-Id"
_NOT_RUN = "X-Not-Run"
_POOLS = 2048
_PASSED_BACK = ("content-type",)


class ExchangeResult(enum.Enum):
    """Whether a minion ran a request.

    ``NOT_RUN`` is used only if no byte was sent or the minion refused explicitly.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class MinionAnswer:
    """A complete response."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Result of forwarding a request once; ``response`` is set only for ``RAN``."""

    result: ExchangeResult
    answer: MinionAnswer | None = None
    reason: str = ""


class MinionClient:
    """Forwards requests; concurrency is limited by the slots that the calling code holds."""

    def __init__(self, node: str, connections: int) -> None:
        self._agent = f"snowdock/{node}"
        self._pool = urllib3.PoolManager(num_pools=_POOLS, maxsize=connections, retries=False)

    def forward(
        self,
        address: str,
        method: str,
        path: str,
        request_id: str,
        headers: dict[str, str],
        body: bytes,
        timeout: float,
    ) -> Exchange:
        """Send a request to a minion once.

        A connection is closed after any error, so that a late response can't be returned for
        another request.
        """
        sent = {**headers, "User-Agent": self._agent, _REQUEST_ID: request_id}
        try:
            response = self._pool.request(
                method,
                f"{address}{path}",
                body=body or None,
                headers=sent,
                timeout=urllib3.Timeout(total=timeout),
                redirect=False,
            )
        except urllib3.exceptions.NewConnectionError as error:
            return Exchange(ExchangeResult.NOT_RUN, reason=str(error))
        except urllib3.exceptions.ConnectTimeoutError as error:
            return Exchange(ExchangeResult.NOT_RUN, reason=str(error))
        except urllib3.exceptions.HTTPError as error:
            return Exchange(ExchangeResult.UNKNOWN, reason=str(error))
        return _judge(response, request_id)


def _judge(response: urllib3.BaseHTTPResponse, request_id: str) -> Exchange:
    if response.headers.get(_NOT_RUN) == "true":
        return Exchange(ExchangeResult.NOT_RUN, reason="the minion refused the request")
    echoed = response.headers.get(_REQUEST_ID, request_id)
    if echoed != request_id:
        return Exchange(ExchangeResult.UNKNOWN, reason=f"response to another request: {echoed}")
    headers = {k: v for k, v in response.headers.items() if k.lower() in _PASSED_BACK}
    return Exchange(
        ExchangeResult.RAN, MinionAnswer(response.status, headers, bytes(response.data))
    )
