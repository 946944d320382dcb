"""Client of the platform's VM list, which shows the VMs' states with a delay."""

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
    """The list at a version; ``vms`` is None if nothing has changed."""

    version: int
    vms: list[Vm] | None = None


class VmListClient:
    """Reads the VM list, requesting only changes since the last response."""

    def __init__(self, client: HttpClient, url: str) -> None:
        self._client = client
        self._url = url
        self._version = -1

    def read(self) -> list[Vm] | None:
        """Return the list, or None if it is unchanged since the last call.

        Raises
        ------
        PlatformError
            If there is no complete, valid response.
        """
        data = self._client.request("GET", f"{self._url}/vms?since={self._version}")
        answer = decode_json(data, VmList)
        self._version = answer.version
        return answer.vms
