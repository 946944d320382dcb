"""One HTTP client for all adapters, with typed failures and a count of bytes."""

import threading

import urllib3

from ..errors import PlatformError

__all__ = ["ByteCounter", "HttpClient"]

_MAX_POOLS = 64
_CONNECTIONS_PER_POOL = 4


class ByteCounter:
    """Counts body bytes that went out and came in."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sent = 0
        self._received = 0

    @property
    def total(self) -> int:
        """Bytes in both directions."""
        return self._sent + self._received

    def add(self, sent: int, received: int) -> None:
        """Count one exchange."""
        with self._lock:
            self._sent += sent
            self._received += received


class HttpClient:
    """An HTTP client that names its node and never retries by itself.

    Parameters
    ----------
    node
        Sent as the user agent.
    timeout
        Seconds for each exchange, unless a call names its own.
    """

    def __init__(self, node: str, timeout: float) -> None:
        self._pool = urllib3.PoolManager(
            num_pools=_MAX_POOLS,
            maxsize=_CONNECTIONS_PER_POOL,
            retries=False,
            headers={"User-Agent": f"snowdock/{node}"},
        )
        self._timeout = timeout
        self.byte_counter = ByteCounter()

    def request(
        self, method: str, url: str, body: bytes | None = None, timeout: float | None = None
    ) -> bytes:
        """Send a request and give back the answer's body.

        Raises
        ------
        PlatformError
            If there is no whole answer with a status of 200. The request may have taken
            effect all the same.
        """
        response = self.request_any_status(method, url, body, timeout)
        if response.status != 200:
            raise PlatformError(f"{method} {url} answered {response.status}")
        return response.data

    def request_any_status(
        self, method: str, url: str, body: bytes | None = None, timeout: float | None = None
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and give back the answer, whatever its status.

        Raises
        ------
        PlatformError
            If there is no whole answer.
        """
        try:
            response = self._pool.request(
                method, url, body=body, timeout=timeout or self._timeout, redirect=False
            )
        except urllib3.exceptions.HTTPError as error:
            raise PlatformError(f"{method} {url}: {error}") from error
        self.byte_counter.add(len(body or b""), len(response.data))
        return response
