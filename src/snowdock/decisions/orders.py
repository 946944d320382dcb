"""Sync orders for workers, built from the shared state."""

import dataclasses
from collections.abc import Mapping

from ..leases import ORDER_VALID_MS
from ..platform.workers import AttemptReport, StartOrder, StopOrder, SyncOrder
from ..state import State, TaskState, VmState, Work, find_attempt_by_id, parse_attempt_id

__all__ = ["WorkerOrder", "build_order"]

_RUNNING = "running"


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerOrder:
    """A sync order and the address of its worker."""

    address: str
    order: SyncOrder


def build_order(
    state: State, name: str, reports: Mapping[str, AttemptReport], now_ms: int
) -> WorkerOrder | None:
    """Build the sync order for one worker.

    Parameters
    ----------
    state
        The shared state.
    name
        The worker's name.
    reports
        The worker's last report of each attempt, by attempt id. The worker is ordered to
        forget the ended attempts among them that no longer hold capacity.
    now_ms
        The sender's clock in milliseconds since the epoch.

    Returns
    -------
    WorkerOrder or None
        None if the worker is unknown or gone; its leases must not be renewed then.
    """
    worker = state.workers.get(name)
    if worker is None or worker.state == VmState.GONE:
        return None
    renew, start, stop = [], [], []
    not_after_ms = now_ms + ORDER_VALID_MS
    for attempt in worker.attempts:
        number, task_number, _ = parse_attempt_id(attempt)
        work = state.works[number]
        task = work.tasks[task_number]
        if task.stopping:
            stop.append(StopOrder(attempt, "stop" if work.cancelled else "checkpoint"))
        elif task.state == TaskState.PLACED:
            start.append(_build_start_order(attempt, work, not_after_ms))
        else:
            renew.append(attempt)
    forget = []
    for attempt, report in reports.items():
        if attempt in worker.attempts:
            continue
        if report.state != _RUNNING:
            forget.append(attempt)
        else:
            # The worker may run an attempt whose record this node has not read yet, so only
            # attempts known to be closed are stopped.
            found = find_attempt_by_id(state, attempt)
            if found is not None and found.is_closed:
                stop.append(StopOrder(attempt, "stop"))
    lease_ms = state.configuration.declarations.limits.lease_ms
    order = SyncOrder(worker.boot, lease_ms, not_after_ms, renew, start, stop, forget)
    return WorkerOrder(worker.address, order)


def _build_start_order(attempt: str, work: Work, not_after_ms: int) -> StartOrder:
    spec = work.spec
    size = spec.size
    return StartOrder(attempt, size.cpu, size.memory, size.accelerators, spec.run_ms, not_after_ms)
