"""Random workloads: queues and the jobs that callers submit to them."""

import dataclasses
import random

import msgspec

from ..declarations import Size
from ..jobs.model import AdviceTerms, Configuration, JobSpec, Queue, Service, StepSpec, TaskId
from ..teams import Team, TeamRegistry

__all__ = [
    "Burst",
    "DrawnJob",
    "QueueMix",
    "WorkloadOptions",
    "crowded_mixes",
    "default_mixes",
    "draw_expanding_jobs",
    "draw_workload",
    "log_mixes",
    "make_mix",
    "uneven_teams",
    "wide_mixes",
]


@dataclasses.dataclass(frozen=True, slots=True)
class QueueMix:
    """Distribution of the jobs of one queue.

    Attributes
    ----------
    queue
        The queue.
    per_second
        Mean rate of jobs, per second.
    steps, width
        Mean number of steps of a job, and of tasks of a step.
    cpu, memory
        Mean size of a task, in thousandths of a core and MiB.
    work_s
        Mean work of a task, in seconds.
    gang_share
        Share of steps that are gangs.
    failing_share
        Share of runs that fail at random.
    hopeless_share
        Share of jobs that always fail.
    estimate_error
        Range of the estimates' errors: 0.5 means from 25% below the work to 50% above.
    worth
        Worth of a job in reports.
    fit_share
        Share of the workers that the advice service lets a step run on.
    checkpointing_share
        Share of steps whose tasks save checkpoints.
    widest_gang
        Most tasks of a gang; larger gangs might never fit on the few workers that advice allows.
    crashing_share
        Share of jobs with a task that crashes each worker that starts it.
    long_running_share
        Share of jobs of one step whose tasks run until the job is cancelled.
    lasting_s
        Mean time from the submission of such a job to its cancellation, in seconds; their failing
        runs fail within this time.
    most_per_worker
        Most tasks of such a step on one worker: each step draws a limit from 1 up to this.
    tail_share, tail_factor
        Share of tasks that take longer than estimated by a factor, and that factor.
    """

    queue: Queue
    per_second: float
    steps: float
    width: float
    cpu: int
    memory: int
    work_s: float
    gang_share: float
    failing_share: float
    hopeless_share: float
    estimate_error: float
    worth: float
    fit_share: float = 0.5
    checkpointing_share: float = 0.0
    widest_gang: int = 12
    crashing_share: float = 0.0
    long_running_share: float = 0.0
    lasting_s: float = 30.0
    most_per_worker: int = 1
    tail_share: float = 0.0
    tail_factor: float = 7.0


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """Period with a higher rate of jobs for one queue: its start, length and factor."""

    queue: str
    at: float
    seconds: float
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkloadOptions:
    """Options of a workload.

    Attributes
    ----------
    seconds
        Length of the workload.
    load
        Factor on the rates of all queues.
    mixes
        Distributions of the queues' jobs.
    bursts
        Periods with higher rates.
    teams
        Teams that submit jobs, drawn by weight; without any, jobs belong to no team.
    hot_team
        Name of a team, and the factor by which it submits more than by its weight.
    """

    seconds: float = 30.0
    load: float = 1.0
    mixes: tuple[QueueMix, ...] = ()
    bursts: tuple[Burst, ...] = ()
    teams: tuple[Team, ...] = ()
    hot_team: tuple[str, float] = ("", 1.0)

    def compute_rate_factor(self, queue: str, at: float) -> float:
        """Return the factor on a queue's rate at a time."""
        factor = self.load
        for burst in self.bursts:
            if burst.queue == queue and burst.at <= at < burst.at + burst.seconds:
                factor *= burst.factor
        return factor


@dataclasses.dataclass(frozen=True, slots=True)
class DrawnJob:
    """A job, when it is submitted, and how its runs behave.

    ``crashing`` is a task that crashes each worker that starts it; None if there is none.
    ``cancel_after`` is the time from the submission to the cancellation of a job with long-running
    tasks, in seconds; None for other jobs.
    """

    job: str
    at: float
    mix: QueueMix
    spec: JobSpec
    work_s: tuple[tuple[float, ...], ...]
    is_hopeless: bool
    team: str = ""
    crashing: TaskId | None = None
    cancel_after: float | None = None


_SERVICE = "pool"


def _make_queue(
    name: str, priority: int, stretch: float, target_ms: float, advice_ms: float
) -> Queue:
    return Queue(
        name=name,
        host="",
        path_prefix=f"/{name}/",
        service=_SERVICE,
        priority=priority,
        max_attempts=3,
        stretch=stretch,
        target_latency_ms=target_ms,
        advice=AdviceTerms(advice_ms, advice_ms / 70, 2000.0) if advice_ms else None,
    )


def default_mixes(with_advice: bool = True) -> tuple[QueueMix, ...]:
    """Return the mix of a settlement service: payouts, reconciliations and lookups."""
    factor = 1.0 if with_advice else 0.0
    return (
        QueueMix(
            _make_queue("payouts", 1, 2.2, 1000, 480 * factor),
            0.59, 1.2, 8, 4500, 17_000, 6.2, 1.0, 0.005, 0.03, 0.5, 19.6, 0.5, 0.5,
        ),
        QueueMix(
            _make_queue("recons", 2, 4.0, 3000, 42 * factor),
            3.41, 1.5, 10, 980, 2000, 2.2, 0.0, 0.05, 0.03, 0.9, 2.13, 0.5, 0.8,
        ),
        QueueMix(
            _make_queue("lookups", 0, 1.5, 250, 5.6 * factor),
            24.1, 1.0, 2, 1400, 5200, 0.64, 0.3, 0.05, 0.01, 0.2, 0.42, 0.5, 0.0,
        ),
    )  # fmt: skip


def crowded_mixes() -> tuple[QueueMix, ...]:
    """Return the mix of a settlement service that uses 80% of the processors of 270 workers.

    Payouts are wide gangs that may run on 30% of the workers, reconciliations wide steps that may
    run on 45%, and lookups many small interactive jobs.
    """
    return (
        dataclasses.replace(
            make_mix("payouts", 1, 2.2, 1000, AdviceTerms(390.0, 5.6, 2000.0), 4.16, 4.71),
            steps=1.2, width=20, cpu=4500, memory=9400, work_s=4.0,
            gang_share=1.0, estimate_error=0.2, fit_share=0.3, checkpointing_share=0.5,
            widest_gang=60,
        ),
        dataclasses.replace(
            make_mix("recons", 2, 4.0, 3000, AdviceTerms(140.0, 2.0, 2000.0), 5.55, 2.2),
            steps=1.5, width=19, cpu=2800, memory=10_000, work_s=2.7,
            gang_share=0.0, estimate_error=0.9, fit_share=0.45, checkpointing_share=0.8,
        ),
        dataclasses.replace(
            make_mix("lookups", 0, 1.5, 300, AdviceTerms(20.0, 0.28, 2000.0), 39.5, 0.435),
            steps=1.0, width=3.1, cpu=3900, memory=11_000, work_s=1.0,
            gang_share=0.3, estimate_error=0.2, fit_share=0.7,
        ),
    )  # fmt: skip


def wide_mixes() -> tuple[QueueMix, ...]:
    """Return the mix of a settlement service on 176 workers of 32 cores and 128 GiB.

    Payouts are gangs of which three tasks fill a worker, and few workers may run them. Lookups are
    large as well, and memory is as scarce as processors.
    """
    return (
        dataclasses.replace(
            make_mix("payouts", 1, 2.2, 1000, AdviceTerms(442.0, 6.4, 2000.0), 2.23, 10.3),
            steps=1.2, width=20, cpu=9000, memory=33_000, work_s=4.0,
            gang_share=1.0, estimate_error=0.2, fit_share=0.3, checkpointing_share=0.5,
            widest_gang=60,
        ),
        dataclasses.replace(
            make_mix("recons", 2, 4.0, 3000, AdviceTerms(270.0, 2.4, 2000.0), 5.12, 4.86),
            steps=1.5, width=25, cpu=3500, memory=13_000, work_s=3.4,
            gang_share=0.0, estimate_error=0.9, fit_share=0.45, checkpointing_share=0.8,
        ),
        dataclasses.replace(
            make_mix("lookups", 0, 1.5, 253, AdviceTerms(15.0, 0.13, 2000.0), 51.6, 0.39),
            steps=1.0, width=3, cpu=5000, memory=14_000, work_s=0.64,
            gang_share=0.3, estimate_error=0.2, fit_share=0.7,
        ),
    )  # fmt: skip


def log_mixes() -> tuple[QueueMix, ...]:
    """Return the mix of a radio log service: contest matches, log imports and lookups.

    Estimates are off by up to 90%, and 3 tasks in 100 take seven times as long as the rest. Use
    with 176 workers of 16 cores and 64 GiB.
    """
    return (
        dataclasses.replace(
            make_mix("matches", 1, 2.2, 1005, AdviceTerms(572.0, 8.06, 2000.0), 2.07, 11.7),
            steps=1.2, width=16, cpu=4500, memory=9318, work_s=5.3,
            gang_share=1.0, estimate_error=0.9, fit_share=0.35, checkpointing_share=0.5,
            widest_gang=60, tail_share=0.03,
        ),
        dataclasses.replace(
            make_mix("imports", 2, 4.0, 3006, AdviceTerms(104.0, 1.43, 2000.0), 5.42, 3.7),
            steps=1.5, width=25, cpu=1700, memory=6554, work_s=1.9,
            gang_share=0.0, estimate_error=0.2, fit_share=0.45, checkpointing_share=0.8,
            tail_share=0.03,
        ),
        dataclasses.replace(
            make_mix("lookups", 0, 1.5, 255, AdviceTerms(14.3, 0.21, 2000.0), 38.8, 0.41),
            steps=1.0, width=3.2, cpu=2500, memory=7270, work_s=0.85,
            gang_share=0.3, estimate_error=0.9, fit_share=0.7, tail_share=0.03,
        ),
    )  # fmt: skip


def make_mix(
    name: str,
    priority: int,
    stretch: float,
    target_ms: float,
    advice: AdviceTerms | None,
    per_second: float,
    worth: float,
) -> QueueMix:
    """Return a mix with its queue, rate and worth; the calling code sets the jobs' sizes."""
    queue = msgspec.structs.replace(
        _make_queue(name, priority, stretch, target_ms, 0.0), advice=advice
    )
    return QueueMix(queue, per_second, 1.0, 1.0, 0, 0, 0.0, 0.0, 0.005, 0.0, 0.0, worth)


def make_configuration(options: WorkloadOptions) -> Configuration:
    """Return the configuration with a workload's queues and teams."""
    queues = tuple(mix.queue for mix in options.mixes)
    teams = TeamRegistry(options.teams)
    return Configuration(1, queues, (Service(_SERVICE),), teams=teams)


def uneven_teams(count: int, quota: Size) -> tuple[Team, ...]:
    """Return teams of uneven weight with quotas in proportion to their weights.

    Parameters
    ----------
    count
        Number of teams; each has 80% of the weight of the one before.
    quota
        Sum of the teams' quotas.
    """
    weights = [0.8**number for number in range(count)]
    total = sum(weights)
    teams = []
    for number, weight in enumerate(weights):
        part = weight / total
        quota_part = Size(int(quota.cpu * part), int(quota.memory * part), quota.accelerators)
        teams.append(Team(f"team-{number}", weight, quota_part))
    return tuple(teams)


def _draw_lognormal(rng: random.Random, mean: float, sigma: float, upper_bound: float) -> float:
    return min(upper_bound, mean * rng.lognormvariate(-sigma * sigma / 2, sigma))


def _draw_job(rng: random.Random, mix: QueueMix, at: float, number: int) -> DrawnJob:
    count = max(1, round(_draw_lognormal(rng, mix.steps, 0.4, 3.0)))
    steps, work = [], []
    for index in range(count):
        gang = rng.random() < mix.gang_share
        max_width = min(mix.widest_gang, mix.width * 6) if gang else mix.width * 6
        width = max(1, round(_draw_lognormal(rng, mix.width, 0.8, max_width)))
        seconds = _draw_lognormal(rng, mix.work_s, 0.5, mix.work_s * 2.5)
        estimate_s = seconds * rng.uniform(1 - mix.estimate_error / 2, 1 + mix.estimate_error)
        size = Size(
            max(100, round(_draw_lognormal(rng, mix.cpu, 0.4, mix.cpu * 1.7) / 50) * 50),
            max(64, round(_draw_lognormal(rng, mix.memory, 0.5, mix.memory * 2))),
        )
        steps.append(
            StepSpec(
                count=width,
                size=size,
                estimate_ms=round(estimate_s * 1000),
                after=(index - 1,) if index else (),
                checkpointing=rng.random() < mix.checkpointing_share,
                gang=gang,
            )
        )
        work.append(tuple(seconds * rng.uniform(0.8, 1.25) for _ in range(width)))
    return DrawnJob(
        job=f"{number:016x}",
        at=at,
        mix=mix,
        spec=JobSpec(mix.queue.name, "payload", tuple(steps)),
        work_s=tuple(work),
        is_hopeless=rng.random() < mix.hopeless_share,
    )


def _draw_crashing_tasks(seed: int, jobs: list[DrawnJob]) -> list[DrawnJob]:
    """Draw the jobs with a crashing task, from a random source of their own."""
    rng = random.Random(f"crashes of {seed}")
    drawn = []
    for job in jobs:
        if rng.random() < job.mix.crashing_share:
            task = TaskId(job.job, 0, 0, rng.randrange(job.spec.steps[0].count))
            job = dataclasses.replace(job, crashing=task)
        drawn.append(job)
    return drawn


def _draw_tails(seed: int, jobs: list[DrawnJob]) -> list[DrawnJob]:
    """Draw the tasks that take several times as long, from a random source of their own."""
    rng = random.Random(f"tails of {seed}")

    def stretch(mix: QueueMix, seconds: float) -> float:
        return seconds * (mix.tail_factor if rng.random() < mix.tail_share else 1.0)

    return [
        dataclasses.replace(
            job,
            work_s=tuple(tuple(stretch(job.mix, each) for each in step) for step in job.work_s),
        )
        for job in jobs
    ]


def _draw_long_running_jobs(seed: int, jobs: list[DrawnJob]) -> list[DrawnJob]:
    """Draw the jobs with long-running tasks, from a random source of their own."""
    rng = random.Random(f"long-running jobs of {seed}")
    drawn = []
    for job in jobs:
        mix = job.mix
        if rng.random() < mix.long_running_share:
            step = msgspec.structs.replace(
                job.spec.steps[0],
                estimate_ms=0,
                checkpointing=False,
                gang=False,
                long_running=True,
                most_per_worker=rng.randint(1, mix.most_per_worker),
            )
            cancel_after = _draw_lognormal(rng, mix.lasting_s, 0.3, mix.lasting_s * 2)
            job = dataclasses.replace(
                job,
                spec=msgspec.structs.replace(job.spec, steps=(step,)),
                work_s=job.work_s[:1],
                cancel_after=cancel_after,
            )
        drawn.append(job)
    return drawn


def draw_workload(seed: int, options: WorkloadOptions) -> list[DrawnJob]:
    """Return random jobs in the order of their submission; equal seeds yield equal jobs."""
    rng = random.Random(seed)
    jobs = []
    for mix in options.mixes:
        at = 0.0
        while True:
            at += rng.expovariate(mix.per_second * options.compute_rate_factor(mix.queue.name, at))
            if at > options.seconds:
                break
            jobs.append((at, mix))
    jobs.sort(key=lambda entry: entry[0])
    drawn = [_draw_job(rng, mix, at, number) for number, (at, mix) in enumerate(jobs, 1)]
    drawn = _draw_crashing_tasks(seed, drawn)
    drawn = _draw_tails(seed, drawn)
    drawn = _draw_long_running_jobs(seed, drawn)
    if not options.teams:
        return drawn
    names = [team.name for team in options.teams]
    hot, factor = options.hot_team
    weights = [team.weight * (factor if team.name == hot else 1.0) for team in options.teams]
    owners = random.Random(f"teams of {seed}").choices(names, weights, k=len(drawn))
    return [dataclasses.replace(job, team=owner) for job, owner in zip(drawn, owners, strict=True)]


def draw_expanding_jobs(seed: int, options: WorkloadOptions, count: int) -> list[DrawnJob]:
    """Return jobs that expand to a million tasks each, and are never done.

    They are timed jobs whose times are all past, jobs of many wide steps, and the latter with tasks
    that no worker can hold, in turn.
    """
    rng = random.Random(f"expanding jobs of {seed}")
    jobs = []
    for number in range(count):
        mix = rng.choice(options.mixes)
        is_timed, is_held = number % 3 == 0, number % 3 != 2
        size = Size(mix.cpu if is_held else 10**9, mix.memory)
        step = StepSpec(1 if is_timed else 10_000, size, estimate_ms=round(mix.work_s * 1000))
        steps = (step,) if is_timed else (step,) * 100
        spec = JobSpec(mix.queue.name, "expands", steps, repetitions=is_timed * 1_000_000)
        work_s = ((mix.work_s,) * step.count,) * len(steps)
        at = rng.uniform(0.0, options.seconds)
        jobs.append(DrawnJob(f"e{number:015x}", at, mix, spec, work_s, is_hopeless=False))
    return jobs
