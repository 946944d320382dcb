"""The platform's VM list: which VMs are live and which are leaving, with a lag."""

import msgspec

from ._http import HttpClient
from ._json import decode_json

__all__ = ["Vm", "VmList", "VmListClient"]


class Vm(msgspec.Struct, frozen=True):
    """One VM. ``role`` is ``worker``, ``minion`` or ``entry``; ``group`` names its service."""

    name: str
    role: str
    state: str
    address: str
    hall: str
    rack: str = ""
    group: str = ""


class VmList(msgspec.Struct, frozen=True):
    """The list as it stood at a version; ``vms`` is None where nothing changed."""

    version: int
    vms: list[Vm] | None = None


class VmListClient:
    """Reads the VM list, asking only for what is newer than the last answer."""

    def __init__(self, client: HttpClient, url: str) -> None:
        self._client = client
        self._url = url
        self._version = -1

    def read(self) -> list[Vm] | None:
        """Give the list, or None where it is the same as last time.

        Raises
        ------
        PlatformError
            If there is no whole answer.
        """
        data = self._client.request("GET", f"{self._url}/vms?since={self._version}")
        answer = decode_json(data, VmList)
        self._version = answer.version
        return answer.vms
