"""HTTP client of the adapters; raises typed errors and counts bytes."""

import threading

import urllib3

from ..errors import PlatformError

__all__ = ["ByteCounter", "HttpClient"]

_MAX_POOLS = 64
_CONNECTIONS_PER_POOL = 4


class ByteCounter:
    """Count of body bytes sent and received; safe to use from several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sent = 0
        self._received = 0

    @property
    def total(self) -> int:
        """Sum of the bytes sent and received."""
        return self._sent + self._received

    def add(self, sent: int, received: int) -> None:
        """Add the body bytes of one request and its response."""
        with self._lock:
            self._sent += sent
            self._received += received


class HttpClient:
    """HTTP client that sends its node's name as the user agent and never retries.

    Parameters
    ----------
    node
        Name of the node, part of the user agent.
    timeout
        Default timeout of a request, in seconds.
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
        """Send a request and return the response's body.

        Raises
        ------
        PlatformError
            If there is no complete response with status 200. The request may have taken effect
            even so.
        """
        response = self.request_any_status(method, url, body, timeout)
        if response.status != 200:
            raise PlatformError(f"{method} {url} returned status {response.status}")
        return response.data

    def request_any_status(
        self, method: str, url: str, body: bytes | None = None, timeout: float | None = None
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and return the response, whatever its status.

        Raises
        ------
        PlatformError
            If there is no complete response.
        """
        try:
            response = self._pool.request(
                method, url, body=body, timeout=timeout or self._timeout, redirect=False
            )
        except urllib3.exceptions.HTTPError as error:
            raise PlatformError(f"{method} {url}: {error}") from error
        self.byte_counter.add(len(body or b""), len(response.data))
        return response
