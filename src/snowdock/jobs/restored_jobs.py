"""Restoration of jobs from their submissions and their progress on record."""

from .cell import Cell, Orphan, UnsubmittedProgress
from .charges import restore_charges
from .events import DropProgress, ForgetAccepted
from .evidence import Charge, Evidence
from .expansion import expand_job
from .job_objects import drop_spec, open_repetition, restore_task
from .job_state import Job, Phase, Task
from .lives import worker_id_of
from .model import JobId
from .number_ranges import count_numbers
from .progress import AcceptedJob, JobProgress, TaskProgress
from .progress_layout import ProgressLayout
from .runs import (
    apply_run_end,
    complete_job_if_done,
    enqueue_ready_steps,
    stop_run,
    void_run,
)
from .worker_lives import adopt_orphan, find_known_life
from .workers import Worker

__all__ = ["recorded_seconds", "restore_job", "restore_late_job"]


def recorded_seconds(accepted: AcceptedJob, wall_ms: float) -> float:
    """Return for how long a job's acceptance has been recorded."""
    return max(0.0, (wall_ms - accepted.accepted_ms) / 1000)


def restore_late_job(
    cell: Cell,
    job_id: JobId,
    accepted: AcceptedJob,
    unsubmitted: UnsubmittedProgress,
    now: float,
    wall_ms: float,
) -> None:
    """Restore a job whose submission is read only after its progress.

    An earlier leader may have started what it had announced, once the submission was recorded.
    """
    restore_job(cell, job_id, accepted, unsubmitted.progress, unsubmitted.layout, now, wall_ms)
    adopted = _adopt_orphans(cell, now)
    for worker, end in unsubmitted.ends:
        if cell.find_task(end.task) is not None:
            apply_run_end(cell, worker, end, now)
    for worker, orphan in adopted:
        if worker.is_synced and orphan.task.is_current_run(orphan.run, worker.life):
            _settle_run(cell, worker, orphan.task, now)


def _adopt_orphans(cell: Cell, now: float) -> list[tuple[Worker, Orphan]]:
    """Assign the runs whose workers are known to these; return them."""
    adopted = []
    for worker_id in list(cell.orphans):
        worker = find_known_life(cell, worker_id)
        if worker is not None:
            adopted += [(worker, orphan) for orphan in cell.orphans.pop(worker_id)]
    for worker, orphan in adopted:
        adopt_orphan(cell, worker, orphan, now)
    return adopted


def _settle_run(cell: Cell, worker: Worker, task: Task, now: float) -> None:
    """Stop or discard a run on record whose worker has reported its runs before."""
    if (worker.life, task.id, task.run) in cell.pending_stops:
        stop_run(cell, task, now)
    else:
        # It was not in the report, and the worker refuses the earlier leader's orders since then.
        void_run(cell, task, now)


def restore_job(
    cell: Cell,
    job_id: JobId,
    accepted: AcceptedJob,
    progress: JobProgress,
    layout: ProgressLayout | None,
    now: float,
    wall_ms: float,
) -> None:
    """Restore a job from its submission and its progress on record."""
    age_s = recorded_seconds(accepted, wall_ms) + accepted.waited_s
    job = Job(job_id, accepted, now - age_s, progress.status, layout=layout)
    cell.add_job(job)
    if job.status.is_final:
        cell.job_ended_at[job_id] = now
    obsolete_keys = [] if layout is None else layout.drop_finished()
    if obsolete_keys:
        cell.emit(DropProgress(tuple(obsolete_keys)))
    _restore_repetitions(cell, job, progress, wall_ms)
    cell.publish_status(job)
    if job.status.is_final:
        if not progress.tasks:
            cell.emit(ForgetAccepted((job.record_name,)))
            drop_spec(cell, job)
        return
    for steps in job.repetitions.values():
        for step in steps:
            done_count = sum(task.phase is Phase.DONE for task in step.tasks)
            step.done_count = step.dropped_count + done_count
        enqueue_ready_steps(cell, steps)
    expand_job(cell, job, wall_ms)
    # The earlier leader may have recorded the last end, but not yet that of the job.
    complete_job_if_done(cell, job, now)


def _restore_repetitions(cell: Cell, job: Job, progress: JobProgress, wall_ms: float) -> None:
    """Create the repetitions and tasks that are on record and not finished."""
    finished_blocks = {} if job.layout is None else job.layout.finished_blocks
    for number in sorted({record.repetition for record in progress.tasks} | finished_blocks.keys()):
        for step in open_repetition(cell, job, number, wall_ms):
            step.is_restored = True
            for first, last in finished_blocks.get(number, ()):
                if indices := step.indices_in_blocks(first, last):
                    step.finished.append((indices[0], indices[-1]))
            step.dropped_count = count_numbers(step.finished)
    for record in sorted(progress.tasks, key=lambda each: (each.repetition, each.step, each.index)):
        _restore_task(cell, job, record)


def _restore_task(cell: Cell, job: Job, record: TaskProgress) -> None:
    step = cell.find_step((job.id, record.repetition, record.step))
    is_dropped = (job.has_many_tasks or job.is_split) and record.done and not record.life
    if step is not None and is_dropped:
        step.add_finished(record.index)
        return
    task = None if step is None else restore_task(cell, step, record.index)
    if task is None:
        # The progress of an announced job that was recorded with fewer tasks; none has started.
        return
    task.run = record.run
    task.failed_runs = frozenset(record.failed_runs)
    restore_charges(cell, task, _read_charges(record))
    task.checkpoint = record.checkpoint
    # The start of the phase is not recorded. If it were left at 0, the first report would clear a
    # long-running task's losses, as if the task had run since this machine booted.
    task.phase_since = task.ordered_at = cell.now
    if record.run:
        task.idle_since = cell.leadership_claimed_at
    if record.done:
        task.phase = Phase.DONE
    if not record.life:
        return
    task.life = record.life
    task.address = record.address
    cell.team_usage.add_run(record.life, task.id, record.run, job.team, task.step.spec.size)
    if not record.done:
        task.phase = Phase.RUNNING
    orphan = Orphan(task, record.run, record.life, cell.leadership_claimed_at)
    cell.orphans.setdefault(worker_id_of(record.life), []).append(orphan)


def _read_charges(record: TaskProgress) -> tuple[Charge, ...]:
    """Return the recorded charges; records of earlier versions do not name the workers."""
    if record.charges:
        return tuple(
            Charge(each.run, each.evidence, each.life, each.address) for each in record.charges
        )
    crashed = set(record.crashed_runs)
    return tuple(
        Charge(run, Evidence.CRASH if run in crashed else Evidence.LOSS) for run in record.lost_runs
    )
