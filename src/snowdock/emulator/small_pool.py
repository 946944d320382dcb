"""Short jobs on four workers, of which tasks crash one every second or so."""

import dataclasses

from ..declarations import Size
from .options import EmulatorOptions
from .workload import QueueMix, WorkloadOptions, make_mix

__all__ = ["small_pool_options"]

_SECONDS = 10.0
_WORKERS = 4
_CAPACITY = Size(4000, 16_000, 0)
_REPLACEMENT_SECONDS = 1.5


def small_pool_options(crashing_share: float) -> EmulatorOptions:
    """Return the options of the cluster and its jobs.

    Parameters
    ----------
    crashing_share
        Share of jobs with a task that crashes each worker that starts it.
    """
    workload = WorkloadOptions(_SECONDS, 1.0, (_make_jobs_mix(crashing_share),))
    return EmulatorOptions(
        workload, _WORKERS, _CAPACITY, racks=2, replacement_s=_REPLACEMENT_SECONDS
    )


def _make_jobs_mix(crashing_share: float) -> QueueMix:
    return dataclasses.replace(
        make_mix("checks", 1, 2.2, 1000, None, 10.0, 1.0),
        steps=1.3, width=2, cpu=500, memory=100, work_s=0.3, gang_share=0.3, widest_gang=3,
        failing_share=0.0, estimate_error=0.2, crashing_share=crashing_share,
    )  # fmt: skip
