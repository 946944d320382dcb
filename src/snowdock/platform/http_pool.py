"""One pool of HTTP connections to one outside address, with typed failures."""

import contextlib
from collections.abc import Mapping

import urllib3

from ..errors import CallUnanswered

__all__ = ["HttpPool", "HttpReply"]

_CONNECT_SECONDS = 1.0
"""Longest wait for a connection: a path within a region answers in a few ms, a lost opening
packet is repeated after about a second."""

_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError
    | urllib3.exceptions.ConnectTimeoutError
    | urllib3.exceptions.ClosedPoolError
)
"""Failures before there was a connection: nothing can have been done."""

HttpReply = urllib3.BaseHTTPResponse


class HttpPool:
    """Connections to one address, kept open between calls and never retried.

    Parameters
    ----------
    address
        IP number and port.
    connections
        Calls that may run at the same time; more of them open connections of their own.
    headers
        Sent with each call.
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
        """IP number and port."""
        return self._address

    def call(
        self,
        method: str,
        target: str,
        body: bytes | None,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
    ) -> HttpReply:
        """Make one call.

        Parameters
        ----------
        method, target, body
            What is sent; the target is path and query.
        seconds
            The longest wait for each part of the answer.
        headers
            Sent in place of the pool's own.

        Raises
        ------
        CallUnanswered
            If there is no whole answer; the call may have been carried out.
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
        """Use no connection again that was idle when one has gone silent.

        All of them may have, without a reset; each would cost a time-out of its own.
        """
        if self._pool is pool:
            self._pool = self._make_pool()
        with contextlib.suppress(OSError):
            pool.close()

    def close(self) -> None:
        """Close idle connections."""
        with contextlib.suppress(OSError):
            self._pool.close()
