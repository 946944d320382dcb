"""Talks to any node of the cluster; goes on to the next where one does not answer."""

import os

import msgspec
import urllib3

from ..errors import SnowdockError
from ..node.http_models import Problem

__all__ = ["NODES_VARIABLE", "ApiClient", "ApiError", "NoNodeAvailable"]

NODES_VARIABLE = "SNOWDOCK_NODES"
TOKEN_VARIABLE = "SNOWDOCK_TOKEN"
_REQUEST_TIMEOUT_SECONDS = 10.0


class NoNodeAvailable(SnowdockError):
    """None of the named nodes answered."""

    code = "no_node_answers"


class ApiError(SnowdockError):
    """A node answered with a failure."""

    def __init__(self, status: int, problem: Problem) -> None:
        super().__init__(problem.message)
        self.code = problem.code
        self.status = status
        self.details = problem.details


class ApiClient:
    """Sends requests to the first node that answers.

    Parameters
    ----------
    nodes
        Addresses such as ``127.0.0.1:7400``, separated by commas.
    """

    def __init__(self, nodes: str) -> None:
        self._addresses = [node.strip() for node in nodes.split(",") if node.strip()]
        token = os.environ.get(TOKEN_VARIABLE)
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._headers = headers
        self._pool = urllib3.PoolManager(retries=False)

    @classmethod
    def from_environment(cls, nodes: str | None) -> "ApiClient":
        """Take the nodes from an option, or from ``SNOWDOCK_NODES``."""
        return cls(nodes or os.environ.get(NODES_VARIABLE, "127.0.0.1:7400"))

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        is_repeatable: bool = True,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and give the answer, whatever its status.

        Where ``may_repeat`` is false, another node is tried only if no byte was sent.

        Raises
        ------
        NoNodeAnswers
            If no node answered.
        """
        failures = []
        for node in self._addresses:
            try:
                return self._pool.request(
                    method,
                    f"http://{node}{path}",
                    body=body or None,
                    headers={**self._headers, **(headers or {})},
                    timeout=_REQUEST_TIMEOUT_SECONDS,
                )
            except urllib3.exceptions.NewConnectionError as error:
                failures.append(f"{node}: {type(error).__name__}")
            except urllib3.exceptions.HTTPError as error:
                failures.append(f"{node}: {type(error).__name__}")
                if not is_repeatable:
                    break
        raise NoNodeAvailable(f"no node answers ({'; '.join(failures)})")

    def read(self, path: str, model: type):
        """Read a model from the API.

        Raises
        ------
        ApiFailure
            If the node answered with a failure.
        NoNodeAnswers
            If no node answered.
        """
        return self._decode(self.send("GET", path), model)

    def post(self, path: str, body: bytes, content_type: str, model: type, key: str = "") -> object:
        """Send a change; one with a key, or made from a version, may be sent twice.

        Raises
        ------
        ApiFailure
            If the node answered with a failure.
        NoNodeAnswers
            If no node answered.
        """
        headers = {"Content-Type": content_type}
        if key:
            headers["Snowdock-Key"] = key
        return self._decode(self.send("POST", path, body, headers), model)

    @staticmethod
    def _decode(response: urllib3.BaseHTTPResponse, model: type):
        if response.status >= 400:
            raise ApiError(response.status, _read_problem(response))
        return msgspec.json.decode(response.data, type=model)


def _read_problem(response: urllib3.BaseHTTPResponse) -> Problem:
    try:
        return msgspec.json.decode(response.data, type=Problem)
    except msgspec.MsgspecError:
        return Problem("unreadable", f"the node answered {response.status} without saying why")
