"""Builds the API's reports from the state."""

from ..declarations import Declarations
from ..errors import Starting
from ..state import TaskState, VmState, Work
from .report_models import (
    ClusterStatus,
    MinionReport,
    NodeReport,
    TaskReport,
    VersionReport,
    WorkerReport,
    WorkReport,
)
from .state_actor import StateView

__all__ = [
    "cluster_status",
    "configuration",
    "minion_reports",
    "node_reports",
    "version_report",
    "work_report",
    "work_reports",
    "worker_reports",
]


def version_report(view: StateView, node: str) -> VersionReport:
    """Report the configuration version in force.

    Raises
    ------
    Starting
        If the node has not caught up with the log yet.
    """
    _require_serving(view)
    current = view.state.configuration
    return VersionReport(current.version, current.author, node, view.state.offset, view.log_end)


def _require_serving(view: StateView) -> None:
    if not view.serving:
        raise Starting("the node is still reading the log; nothing was run")


def configuration(view: StateView) -> Declarations:
    """Return the declarations in force.

    Raises
    ------
    Starting
        If the node has not caught up with the log yet.
    """
    _require_serving(view)
    return view.state.configuration.declarations


def node_reports(view: StateView) -> list[NodeReport]:
    """Report all members."""
    return [
        NodeReport(
            member.name,
            member.state.value,
            member.hall,
            member.api_address,
            member.name in view.active,
            member.read_offset,
        )
        for member in view.state.members.values()
    ]


def worker_reports(view: StateView) -> list[WorkerReport]:
    """Report all workers."""
    return [
        WorkerReport(
            worker.name,
            worker.state.value,
            worker.hall,
            worker.rack,
            worker.capacity,
            worker.used,
            len(worker.attempts),
            worker.failure_streak,
        )
        for worker in view.state.workers.values()
    ]


def minion_reports(view: StateView) -> list[MinionReport]:
    """Report all minions."""
    return [
        MinionReport(minion.name, minion.group, minion.state.value, minion.hall, minion.shares)
        for minion in view.state.minions.values()
    ]


def _describe_work_state(work: Work) -> str:
    if not work.finished_ms:
        return "open"
    if set(work.counts) == {TaskState.SUCCEEDED.value}:
        return "succeeded"
    return "cancelled" if work.cancelled else "failed"


def work_report(view: StateView, work: Work, with_tasks: bool) -> WorkReport:
    """Report one work."""
    tasks = [
        TaskReport(number, task.state.value, task.attempt, task.worker, task.failures)
        for number, task in enumerate(work.tasks)
    ]
    return WorkReport(
        work.number,
        work.spec.kind,
        work.spec.name,
        work.spec.team,
        _describe_work_state(work),
        work.counts,
        work.submitted_ms,
        work.started_ms,
        work.finished_ms,
        view.scheduler.reasons.get(work.number, ""),
        tasks if with_tasks else [],
    )


def work_reports(view: StateView) -> list[WorkReport]:
    """Report all works without their tasks, the newest last."""
    return [work_report(view, work, False) for work in view.state.works.values()]


def cluster_status(view: StateView) -> ClusterStatus:
    """Summarize the cluster."""
    state = view.state
    live = [w for w in state.workers.values() if w.state == VmState.LIVE]
    total = sum(worker.capacity.cpu for worker in live)
    used = sum(worker.used.cpu for worker in live)
    finished = sum(1 for work in state.works.values() if work.finished_ms)
    return ClusterStatus(
        version=state.configuration.version,
        members=len(state.members),
        workers_live=len(live),
        workers=len(state.workers),
        minions=len(state.minions),
        works_open=len(state.works) - finished,
        works_finished=finished,
        queued_tasks=state.queued_tasks,
        running_tasks=sum(len(worker.attempts) for worker in live),
        cpu_promised=round(used / total, 4) if total else 0.0,
    )
