"""Handling of runs that are lost with their worker.

This limits tasks that crash every worker on which they start. A worker usually runs many tasks when
it ends, and reports the end of none of them, so a loss is charged to every task that was, or may
have been, running there. Whether the worker crashed is often known only later, and perhaps by
another leader: another life answers or is listed in its place, or the same life answers again.
Until then the charge is unresolved. A worker that was marked as draining, or that answered after
its entry was removed, has shut down as planned: only runs that may have just begun are charged. Of
a task that crashes every worker, every start ends as a crash, a loss, a reported end or a refusal,
so it is started at most `MAX_POSSIBLE_CRASHES` times as long as its workers return.
"""

import dataclasses

from .cell import Cell, Orphan
from .charges import charge_run, charges_on, drop_charges, may_have_ended_early, revoke_charge
from .evidence import Charge, Evidence
from .job_state import Phase, Task
from .lives import worker_id_of
from .occupancy import vacate
from .runs import EndCause, fail_job, void_run
from .suspects import remove_suspect
from .workers import Worker, WorkerEntry

__all__ = [
    "acquit_departed",
    "charge_orphan",
    "charge_replaced_orphans",
    "clear_losses",
    "lose_orphan",
    "lose_runs",
    "resolve_losses",
    "resolve_replaced_lives",
    "revoke_losses",
]

MAX_INDEPENDENT_FAILURES = 2
"""If more workers stop answering at the same moment, the cause is taken to be a rack or data hall,
and their runs are charged as losses only: otherwise healthy jobs would fail."""

_CORRELATION_WINDOW_SECONDS = 0.1
"""Workers that stop answering within this time count as simultaneous: a worker that ends closes its
connections, which is detected at once."""

_STABLE_RUN_SECONDS = 30.0
"""A long-running task is cleared of its losses once a run of it has lasted this long: over
hours it runs on many workers that end for unrelated reasons."""


@dataclasses.dataclass(frozen=True, slots=True)
class _WorkerEnd:
    """Why a worker's runs count as lost, and what is known about their ends.

    ``evidence`` is that about the runs which the worker had reported, ``other_evidence`` that about
    the others.
    """

    reason: str
    evidence: Evidence
    other_evidence: Evidence


def lose_runs(
    cell: Cell,
    worker: Worker,
    now: float,
    reason: str,
    is_replaced: bool = False,
    has_next_life: bool = False,
) -> None:
    """Mark all runs on a worker as lost, since it is unknown how they ended.

    If there is a next life, two kinds of runs wait for it: those whose start was not answered, and
    those placed on another life, since the end of this one says nothing about that.
    """
    if not worker.runs:
        return
    cell.log_decision(
        "runs_lost", worker.life, count=len(worker.runs), reason=reason, is_replaced=is_replaced
    )
    end = _classify_end(cell, worker, reason, is_replaced)
    for task_id, run in list(worker.runs):
        is_inherited = (task_id, run) in worker.inherited
        vacate(cell, worker.life, task_id, run)
        cell.pending_stops.pop((worker.life, task_id, run), None)
        task = cell.find_task(task_id)
        if task is None or not task.is_current_run(run, worker.life):
            continue
        waits = has_next_life and (is_inherited or _may_start_late(task))
        _lose_run(cell, worker, task, now, end, waits)


def resolve_losses(
    cell: Cell, life: str, now: float, is_leaving: bool, is_certain: bool = True
) -> None:
    """Resolve the charges of runs lost on a worker's life, which has ended.

    Parameters
    ----------
    is_leaving
        Whether it was shutting down, so that its end was not a crash.
    is_certain
        Whether another life has answered in its place, rather than only been listed.
    """
    for task, charge in list(charges_on(cell, life)):
        if not charge.is_unresolved or task.phase is Phase.DONE:
            # A task that is done is no reason to fail its job.
            continue
        is_crash = charge.evidence is Evidence.LOSS
        if is_crash and is_leaving:
            revoke_charge(cell, task, charge, "the worker was shutting down")
            continue
        evidence = Evidence.CRASH if is_crash and is_certain else Evidence.POSSIBLE_CRASH
        resolved = dataclasses.replace(charge, evidence=evidence, charged_at=now)
        _charge(cell, task, resolved, now)


def acquit_departed(cell: Cell, life: str) -> None:
    """Revoke the charges of runs whose worker is shutting down: its silence was no crash."""
    for task, charge in list(charges_on(cell, life)):
        if charge.evidence is Evidence.LOSS:
            revoke_charge(cell, task, charge, "the worker was shutting down")


def resolve_replaced_lives(cell: Cell, entry: WorkerEntry, now: float) -> None:
    """Resolve charges on earlier lives of a worker, or at its address, once it is listed."""
    for life in list(cell.charged_lives):
        worker = cell.workers.get(life)
        if life == entry.life or (worker is not None and worker.silent_since is None):
            continue
        is_same_worker = worker_id_of(life) == entry.worker
        if is_same_worker or any(
            charge.address == entry.address for _, charge in charges_on(cell, life)
        ):
            is_leaving = worker is not None and worker.is_leaving
            resolve_losses(cell, life, now, is_leaving, is_certain=is_same_worker)


def revoke_losses(cell: Cell, worker: Worker) -> None:
    """Revoke the charges of runs on a life that answers, so that it has not crashed.

    Without this, a task that was on several partitioned workers would be given up.
    """
    for task, charge in list(charges_on(cell, worker.life)):
        revoke_charge(cell, task, charge, "the worker answers")


def lose_orphan(cell: Cell, task: Task, life: str, now: float) -> None:
    """Mark a run of an earlier leader as lost, whose worker never became known to this one."""
    cell.log_decision("orphan_lost", task.id.job, task=task.id, worker=life)
    charge_orphan(cell, task, life, now)
    void_run(cell, task, now)


def charge_orphan(cell: Cell, task: Task, life: str, now: float, is_replaced: bool = False) -> None:
    """Charge a task once for a run on a worker life that ended before this leader knew it."""
    if not _may_have_run(task) or task.run in task.lost_runs:
        return
    is_replaced = is_replaced or _is_replacement_listed(cell, life, task.address)
    evidence = Evidence.POSSIBLE_CRASH if is_replaced else Evidence.UNCERTAIN_LOSS
    _charge(cell, task, Charge(task.run, evidence, life, task.address, now), now)


def charge_replaced_orphans(cell: Cell, now: float) -> None:
    """Charge the runs of earlier leaders at whose worker's address another life is listed.

    They are charged before they are lost, since this leader may not last until then.
    """
    lives_by_address = {
        worker.entry.address: worker.life for worker in cell.workers.values() if worker.listed
    }
    for orphan in [each for orphans in cell.orphans.values() for each in orphans]:
        task = orphan.task
        life = lives_by_address.get(task.address, orphan.life)
        if life != orphan.life and task.is_current_run(orphan.run, orphan.life):
            charge_orphan(cell, task, orphan.life, now, is_replaced=True)


def clear_losses(cell: Cell, task: Task, now: float) -> None:
    """Clear a long-running task's losses once a run of it has lasted long enough."""
    if not task.charges or not task.step.spec.long_running:
        return
    if task.phase is Phase.RUNNING and now - task.phase_since >= _STABLE_RUN_SECONDS:
        drop_charges(cell, task)
        remove_suspect(cell, task)
        cell.log_decision("task_absolved", task.id.job, task=task.id, run=task.run)


def _lose_run(
    cell: Cell, worker: Worker, task: Task, now: float, end: _WorkerEnd, may_start_late: bool
) -> None:
    run = task.run
    is_charged = _may_have_run(task) and (
        not worker.is_leaving or _may_have_caused_exit(worker, task)
    )
    evidence = None
    if is_charged:
        evidence = end.evidence if task.is_confirmed else end.other_evidence
    _log_lost_run(cell, worker, task, end.reason, evidence)
    if may_start_late:
        task.phase = Phase.UNSURE
        task.phase_since = now
        orphan = Orphan(task, run, worker.life, now)
        cell.orphans.setdefault(worker.entry.worker, []).append(orphan)
    else:
        void_run(cell, task, now)
    if evidence is None:
        return
    charge = Charge(run, evidence, worker.life, worker.entry.address, now)
    if _was_silent_before(worker, task):
        # Charged without a life, so that it only delays the next start.
        charge = Charge(run, Evidence.UNCERTAIN_LOSS, charged_at=now)
    _charge(cell, task, charge, now)


def _classify_end(cell: Cell, worker: Worker, reason: str, is_replaced: bool) -> _WorkerEnd:
    """Return what is known about the runs that are lost with a worker."""
    is_own_end = not worker.is_leaving and not _is_correlated_failure(cell, worker)
    if is_replaced:
        own, other = Evidence.CRASH, Evidence.POSSIBLE_CRASH
    elif _is_replacement_listed(cell, worker.life, worker.entry.address):
        own = other = Evidence.POSSIBLE_CRASH
    else:
        own, other = Evidence.LOSS, Evidence.UNCERTAIN_LOSS
    return _WorkerEnd(reason, own if is_own_end else other, other)


def _was_silent_before(worker: Worker, task: Task) -> bool:
    """Check whether a worker had fallen silent for good before the task's start was ordered."""
    if task.is_confirmed or worker.silent_since is None:
        return False
    return worker.silent_since < task.ordered_at


def _is_replacement_listed(cell: Cell, life: str, address: str) -> bool:
    """Check whether the store lists another life at a worker's address."""
    return bool(address) and any(
        other.listed and other.life != life and other.entry.address == address
        for other in cell.workers.values()
    )


def _may_start_late(task: Task) -> bool:
    """Check whether a task's start was sent but never confirmed by the worker."""
    return not task.is_confirmed and task.phase in (Phase.ORDERED, Phase.UNSURE, Phase.STOPPING)


def _charge(cell: Cell, task: Task, charge: Charge, now: float) -> None:
    """Charge a run that was lost with its worker, and fail the job at the task's limit."""
    if charge_run(cell, task, charge):
        fail_job(cell, task.step.job, EndCause.CRASHES, now)


def _may_have_run(task: Task) -> bool:
    """Check whether a task's newest run may have begun and is still needed."""
    # A start that was not sent had no effect. A task that is done needs no runs, and a charge could
    # fail its completed job.
    return task.phase not in (Phase.RECORDED, Phase.DONE)


def _may_have_caused_exit(worker: Worker, task: Task) -> bool:
    """Check whether a run may have crashed a worker that was shutting down.

    Such a worker gets no new runs and ends seconds later, so only a run that just began may be
    the cause. If none were charged, each such worker would allow a crashing task a start beyond
    its limit.
    """
    if task.is_confirmed and task.step.spec.long_running:
        return False
    return may_have_ended_early(worker, task)


def _log_lost_run(
    cell: Cell, worker: Worker, task: Task, reason: str, evidence: Evidence | None
) -> None:
    """Log a run that is lost with its worker, whether it is charged, and on what grounds."""
    silent_after_s = None
    if worker.silent_since is not None:
        silent_after_s = worker.silent_since - task.ordered_at
    cell.log_decision(
        "run_lost",
        task.id.job,
        task=task.id,
        run=task.run,
        worker=worker.life,
        phase=task.phase.value,
        silent_after_s=silent_after_s,
        is_charged=evidence is not None,
        evidence=None if evidence is None else evidence.name.lower(),
        is_told=task.is_confirmed,
        is_leaving=worker.is_leaving,
        reason=reason,
    )


def _is_correlated_failure(cell: Cell, worker: Worker) -> bool:
    """Check whether others stopped answering with a worker: a rack, a switch or an operator."""
    since = worker.silent_since
    if since is None:
        return False
    silent_count = sum(
        abs(other - since) <= _CORRELATION_WINDOW_SECONDS for other in cell.silence_times
    )
    return silent_count > MAX_INDEPENDENT_FAILURES
