"""Minions: forwards callers' requests and tells what surely did not run."""

import dataclasses
import enum

import urllib3

__all__ = ["Exchange", "ExchangeResult", "MinionAnswer", "MinionClient"]

_REQUEST_ID = "X-Request-Id"
_NOT_RUN = "X-Not-Run"
_POOLS = 2048
_PASSED_BACK = ("content-type",)


class ExchangeResult(enum.Enum):
    """What is known of a request after one try.

    ``NOT_RUN`` is said only where no byte was sent or the minion refused expressly.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class MinionAnswer:
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """The end of one try; ``answer`` is there only for ``RAN``."""

    result: ExchangeResult
    answer: MinionAnswer | None = None
    reason: str = ""


class MinionClient:
    """Forwards requests; how many go at once is bounded by the slots that its caller holds."""

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

        A connection on which anything went wrong is closed, so that a late answer can reach
        nobody else.
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
        return Exchange(ExchangeResult.NOT_RUN, reason="the minion refused")
    echoed = response.headers.get(_REQUEST_ID, request_id)
    if echoed != request_id:
        return Exchange(ExchangeResult.UNKNOWN, reason=f"answer to another request {echoed}")
    headers = {k: v for k, v in response.headers.items() if k.lower() in _PASSED_BACK}
    return Exchange(
        ExchangeResult.RAN, MinionAnswer(response.status, headers, bytes(response.data))
    )
