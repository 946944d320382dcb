"""Minions: forwards callers' requests and tells what surely did not run."""

import dataclasses
import enum

import urllib3

__all__ = ["ForwardOutcome", "ForwardResult", "MinionClient", "MinionResponse"]

_REQUEST_ID_HEADER = "X-Request-Id"
_NOT_RUN_HEADER = "X-Not-Run"
_MAX_POOLS = 2048
_RETURNED_HEADERS = ("content-type",)


class ForwardOutcome(enum.Enum):
    """What is known of a request after one try.

    ``NOT_RUN`` is said only where no byte was sent or the minion refused expressly.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class MinionResponse:
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardResult:
    """The end of one try; ``answer`` is there only for ``RAN``."""

    outcome: ForwardOutcome
    response: MinionResponse | None = None
    reason: str = ""


class MinionClient:
    """Forwards requests; how many go at once is bounded by the slots that its caller holds."""

    def __init__(self, node: str, connections: int) -> None:
        self._user_agent = f"snowdock/{node}"
        self._pool = urllib3.PoolManager(num_pools=_MAX_POOLS, maxsize=connections, retries=False)

    def forward(
        self,
        address: str,
        method: str,
        path: str,
        request_id: str,
        headers: dict[str, str],
        body: bytes,
        timeout: float,
    ) -> ForwardResult:
        """Send a request to a minion once.

        A connection on which anything went wrong is closed, so that a late answer can reach
        nobody else.
        """
        sent_headers = {**headers, "User-Agent": self._user_agent, _REQUEST_ID_HEADER: request_id}
        try:
            response = self._pool.request(
                method,
                f"{address}{path}",
                body=body or None,
                headers=sent_headers,
                timeout=urllib3.Timeout(total=timeout),
                redirect=False,
            )
        except urllib3.exceptions.NewConnectionError as error:
            return ForwardResult(ForwardOutcome.NOT_RUN, reason=str(error))
        except urllib3.exceptions.ConnectTimeoutError as error:
            return ForwardResult(ForwardOutcome.NOT_RUN, reason=str(error))
        except urllib3.exceptions.HTTPError as error:
            return ForwardResult(ForwardOutcome.UNKNOWN, reason=str(error))
        return _classify_response(response, request_id)


def _classify_response(response: urllib3.BaseHTTPResponse, request_id: str) -> ForwardResult:
    if response.headers.get(_NOT_RUN_HEADER) == "true":
        return ForwardResult(ForwardOutcome.NOT_RUN, reason="the minion refused")
    echoed_id = response.headers.get(_REQUEST_ID_HEADER, request_id)
    if echoed_id != request_id:
        return ForwardResult(
            ForwardOutcome.UNKNOWN, reason=f"answer to another request {echoed_id}"
        )
    headers = {k: v for k, v in response.headers.items() if k.lower() in _RETURNED_HEADERS}
    return ForwardResult(
        ForwardOutcome.RAN, MinionResponse(response.status, headers, bytes(response.data))
    )
