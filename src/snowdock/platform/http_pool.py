"""Pool of HTTP connections to one address; raises typed errors."""

import contextlib
from collections.abc import Mapping

import urllib3

from ..errors import CallUnanswered

__all__ = ["HttpPool", "HttpReply"]

_CONNECT_SECONDS = 1.0
"""Connection timeout: a SYN within a region is answered in a few ms, and a lost one is
retransmitted after about a second."""

_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError
    | urllib3.exceptions.ConnectTimeoutError
    | urllib3.exceptions.ClosedPoolError
)
"""Errors raised before a connection was open: the request was not sent."""

HttpReply = urllib3.BaseHTTPResponse


class HttpPool:
    """Persistent connections to one address, without retries.

    Parameters
    ----------
    address
        IP address and port.
    connections
        Most connections that are kept open; further concurrent calls open temporary ones.
    headers
        Default headers of a call.
    """

    def __init__(
        self, address: str, connections: int, headers: Mapping[str, str] | None = None
    ) -> None:
        self._address = address
        self._connections = connections
        self._headers = headers
        self._pool = self._make_pool()

    def _make_pool(self) -> urllib3.HTTPConnectionPool:
        host, _, port = self._address.rpartition(":")
        return urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=self._connections,
            block=False,
            retries=False,
            headers=self._headers,
        )

    @property
    def address(self) -> str:
        """IP address and port."""
        return self._address

    def call(
        self,
        method: str,
        target: str,
        body: bytes | None,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
    ) -> HttpReply:
        """Send a request and return the response.

        Parameters
        ----------
        method, target, body
            The request; the target is path and query.
        timeout_s
            Timeout for each part of the response, in seconds.
        headers
            Replace the pool's default headers.

        Raises
        ------
        CallUnanswered
            If there is no complete response; the call may have been carried out.
        """
        timeout = urllib3.Timeout(connect=min(timeout_s, _CONNECT_SECONDS), read=timeout_s)
        pool = self._pool
        try:
            return pool.urlopen(
                method,
                target,
                body=body,
                headers=headers,
                timeout=timeout,
                retries=False,
                redirect=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            if isinstance(error, urllib3.exceptions.ReadTimeoutError):
                self._replace_pool(pool)
            call = f"{method} {self._address}{target[:80]}"
            raise CallUnanswered(f"{call}: {error}", isinstance(error, _CONNECT_ERRORS)) from error

    def _replace_pool(self, pool: urllib3.HTTPConnectionPool) -> None:
        """Replace the pool after a read timeout, so that no connection idle by then is reused.

        All of them may be broken without a reset, and each would cost a timeout of its own.
        """
        if self._pool is pool:
            self._pool = self._make_pool()
        with contextlib.suppress(OSError):
            pool.close()

    def close(self) -> None:
        """Close idle connections."""
        with contextlib.suppress(OSError):
            self._pool.close()
