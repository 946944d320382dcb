"""Workload of a line imaging service: long-running watchers beside checks and reviews."""

import dataclasses

from ..declarations import Size
from ..jobs.model import AdviceTerms
from .options import EmulatorOptions
from .workload import QueueMix, WorkloadOptions, make_mix

__all__ = ["imaging_mixes", "imaging_options"]

_TYPICAL = Size(32_000, 131_072, 0)
_SMALL = Size(16_000, 65_536, 0)
_LARGE = Size(64_000, 262_144, 0)
_CAPACITIES = (_TYPICAL, _TYPICAL, _TYPICAL, _SMALL, _TYPICAL, _TYPICAL, _TYPICAL, _LARGE)
"""Capacities of eight workers in a row."""


def imaging_mixes() -> tuple[QueueMix, ...]:
    """Return the mix of a line imaging service, for about 128 workers of `imaging_options`.

    Watchers run until their job is cancelled, and 30 % of the workers may run them. Checks are many
    small interactive jobs, reviews wide steps.
    """
    return (
        dataclasses.replace(
            make_mix("watchers", 1, 2.2, 1000, AdviceTerms(560.0, 8.0, 2000.0), 1 / 9, 30.0),
            width=15, cpu=9000, memory=20_000, work_s=4.0, failing_share=0.1, fit_share=0.3,
            long_running_share=1.0, lasting_s=45.0, most_per_worker=2,
        ),
        dataclasses.replace(
            make_mix("reviews", 2, 4.0, 3000, AdviceTerms(150.0, 2.2, 2000.0), 1.1, 8.0),
            steps=2, width=28, cpu=9000, memory=20_000, work_s=3.6, estimate_error=0.9,
            fit_share=0.45,
        ),
        dataclasses.replace(
            make_mix("checks", 0, 1.5, 300, AdviceTerms(13.0, 0.18, 2000.0), 23.0, 0.5),
            steps=1.5, width=10, cpu=5300, memory=12_000, work_s=0.56, estimate_error=0.2,
            fit_share=0.7,
        ),
    )  # fmt: skip


def imaging_options(
    workload: WorkloadOptions, workers: int = 128, advice_node_count: int = 32
) -> EmulatorOptions:
    """Return the options of the service's cluster, with workers of several capacities."""
    return EmulatorOptions(
        workload,
        workers,
        _TYPICAL,
        racks=15,
        advice_node_count=advice_node_count,
        capacities=_CAPACITIES,
    )
