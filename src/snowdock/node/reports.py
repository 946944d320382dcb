"""What the API shows of the state."""

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


def version_report(parts: StateView, node: str) -> VersionReport:
    """Tell the version in force.

    Raises
    ------
    Starting
        If the node has not read the log far enough to know.
    """
    _require_serving(parts)
    current = parts.state.configuration
    return VersionReport(current.version, current.author, node, parts.state.offset, parts.log_end)


def _require_serving(parts: StateView) -> None:
    if not parts.serving:
        raise Starting("the node is still reading the log; nothing was run")


def configuration(parts: StateView) -> Declarations:
    """Give the declarations in force.

    Raises
    ------
    Starting
        If the node has not read the log far enough to know.
    """
    _require_serving(parts)
    return parts.state.configuration.declarations


def node_reports(parts: StateView) -> list[NodeReport]:
    """List the members."""
    return [
        NodeReport(
            member.name,
            member.state.value,
            member.hall,
            member.api_address,
            member.name in parts.active,
            member.read_offset,
        )
        for member in parts.state.members.values()
    ]


def worker_reports(parts: StateView) -> list[WorkerReport]:
    """List the workers."""
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
        for worker in parts.state.workers.values()
    ]


def minion_reports(parts: StateView) -> list[MinionReport]:
    """List the minions."""
    return [
        MinionReport(minion.name, minion.group, minion.state.value, minion.hall, minion.shares)
        for minion in parts.state.minions.values()
    ]


def _describe_work_state(work: Work) -> str:
    if not work.finished_ms:
        return "open"
    if set(work.counts) == {TaskState.SUCCEEDED.value}:
        return "succeeded"
    return "cancelled" if work.cancelled else "failed"


def work_report(parts: StateView, work: Work, with_tasks: bool) -> WorkReport:
    """Show one work."""
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
        parts.scheduler.reasons.get(work.number, ""),
        tasks if with_tasks else [],
    )


def work_reports(parts: StateView) -> list[WorkReport]:
    """List all works, the newest last."""
    return [work_report(parts, work, False) for work in parts.state.works.values()]


def cluster_status(parts: StateView) -> ClusterStatus:
    """Show the cluster at a glance."""
    state = parts.state
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
