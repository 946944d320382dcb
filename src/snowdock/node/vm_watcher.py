"""The actor that compares the VM list with the shared state and records the differences."""

import time

import pykka

from ..decisions import ownership
from ..declarations import Size
from ..errors import PlatformError
from ..leases import earliest_loss_ms
from ..logs import log_error
from ..platform.vms import Vm, VmListClient
from ..platform.worker_client import WorkerClient
from ..records import (
    MinionGone,
    MinionLeaving,
    MinionSeen,
    NodeGone,
    Record,
    WorkerGone,
    WorkerLeaving,
    WorkerSeen,
)
from ..state import State, VmState
from .context import NodeContext
from .messages import Propose, Query, Tick
from .throttle import ProposalThrottle

__all__ = ["VmWatcher"]

_LEAVING = "leaving"
_REPROPOSE_SECONDS = 30.0


class VmWatcher(pykka.ThreadingActor):
    """Reads the VM list while this node is the one to do so.

    The list lags. A VM that is missing from it after it was seen is taken as ended; its
    leases are waited for all the same.
    """

    def __init__(self, context: NodeContext, vms: VmListClient, workers: WorkerClient) -> None:
        super().__init__()
        self._context = context
        self._vm_list = vms
        self._workers = workers
        self._vms: dict[str, Vm] | None = None
        self._missing_since_ms: dict[str, int] = {}
        self._throttle = ProposalThrottle(_REPROPOSE_SECONDS)
        self._failing = False

    def on_receive(self, message: object) -> None:
        """Look at the list when a `Tick` says that it is time."""
        if not isinstance(message, Tick):
            raise TypeError(type(message).__name__)
        name = self._context.settings.node.name
        is_responsible = self._context.state.ask(
            Query(
                lambda parts: parts.ready and ownership.find_owner("vm-list", parts.active) == name
            )
        )
        if not is_responsible:
            return
        try:
            changed = self._vm_list.read()
        except PlatformError as error:
            if not self._failing:
                log_error("vm_list_failed", error)
            self._failing = True
            return
        self._failing = False
        if changed is not None:
            self._vms = {vm.name: vm for vm in changed}
        if self._vms is not None:
            self._compare(self._vms)

    def _compare(self, vms: dict[str, Vm]) -> None:
        records = self._context.state.ask(
            Query(lambda parts: self._find_differences(parts.state, vms))
        )
        seen = [vm for vm in records if isinstance(vm, Vm)]
        records = [record for record in records if not isinstance(record, Vm)]
        for vm in seen:
            record = self._query_worker(vm)
            if record is not None:
                records.append(record)
        new_records = tuple(record for record in records if self._throttle.try_pass(record))
        if new_records:
            self._context.writer.tell(Propose(new_records))

    def _query_worker(self, vm: Vm) -> WorkerSeen | None:
        try:
            answer = self._workers.status(vm.address)
        except PlatformError:
            return None
        capacity = Size(answer.cpu, answer.memory, answer.accelerators)
        return WorkerSeen(vm.name, answer.boot, capacity, vm.rack, vm.hall, vm.address)

    def _find_differences(self, state: State, vms: dict[str, Vm]) -> list[Record | Vm]:
        """Work out what is to be recorded; a `Vm` stands for a worker to be asked first."""
        found: list[Record | Vm] = []
        for vm in vms.values():
            if vm.role == "worker":
                found.extend(_find_worker_differences(state, vm))
            elif vm.role == "minion":
                found.extend(_find_minion_differences(state, vm))
        for worker in state.workers.values():
            if worker.name not in vms and worker.state != VmState.GONE:
                found.append(WorkerGone(worker.name, worker.boot))
        found.extend(MinionGone(name) for name in state.minions if name not in vms)
        found.extend(self._find_gone_nodes(state, vms))
        return found

    def _find_gone_nodes(self, state: State, vms: dict[str, Vm]) -> list[Record]:
        """Name the members whose VM is missing for so long that no lease of theirs holds."""
        now_ms = int(time.time() * 1000)
        limits = state.configuration.declarations.limits
        found: list[Record] = []
        for member in state.members.values():
            if member.name in vms:
                self._missing_since_ms.pop(member.incarnation, None)
                continue
            since = self._missing_since_ms.setdefault(member.incarnation, now_ms)
            lease = max(state.longest_lease_ms, limits.lease_ms)
            if now_ms > earliest_loss_ms(since, lease, limits.clock_margin_ms):
                found.append(NodeGone(member.name, member.incarnation))
        return found


def _find_worker_differences(state: State, vm: Vm) -> list[Record | Vm]:
    known = state.workers.get(vm.name)
    if known is None or known.state == VmState.GONE:
        return [vm] if vm.state != _LEAVING else []
    if vm.state == _LEAVING and known.state == VmState.LIVE:
        return [WorkerLeaving(vm.name)]
    return []


def _find_minion_differences(state: State, vm: Vm) -> list[Record | Vm]:
    known = state.minions.get(vm.name)
    if known is None or known.address != vm.address:
        leaving = vm.state == _LEAVING
        return [] if leaving else [MinionSeen(vm.name, vm.group, vm.hall, vm.address)]
    if vm.state == _LEAVING and known.state == VmState.LIVE:
        return [MinionLeaving(vm.name)]
    return []
