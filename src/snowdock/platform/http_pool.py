"""One pool of HTTP connections to one outside address, with typed failures."""

import contextlib
from collections.abc import Mapping

import urllib3

from ..errors import CallUnanswered

__all__ = ["HttpPool", "HttpReply"]

_CONNECT_SECONDS = 1.0
"""Longest wait for a connection: a path within a region answers in a few ms, a lost opening
packet is repeated after about a second."""

_UNSENT = urllib3.exceptions.NewConnectionError | urllib3.exceptions.ConnectTimeoutError
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
        host, _, port = address.rpartition(":")
        self._address = address
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=connections, block=False, retries=False, headers=headers
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
        seconds: float,
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
        timeout = urllib3.Timeout(connect=min(seconds, _CONNECT_SECONDS), read=seconds)
        try:
            return self._pool.urlopen(
                method,
                target,
                body=body,
                headers=headers,
                timeout=timeout,
                retries=False,
                redirect=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            call = f"{method} {self._address}{target[:80]}"
            raise CallUnanswered(f"{call}: {error}", isinstance(error, _UNSENT)) from error

    def close(self) -> None:
        """Close idle connections."""
        with contextlib.suppress(OSError):
            self._pool.close()
