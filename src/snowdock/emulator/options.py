"""Options of an emulated cluster, and its faults."""

import dataclasses

from ..declarations import Size
from ..jobs.timeouts import LEASE_SECONDS
from .worker_model import WorkerTimings
from .workload import WorkloadOptions

__all__ = ["EmulatorOptions", "Faults"]

_CAPACITY = Size(16_000, 65_536, 0)
_TIMINGS = WorkerTimings()


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults in effect; may be changed while the emulator runs.

    Attributes
    ----------
    lost_answer_share
        Share of calls to workers that are carried out but not answered.
    late_order_share
        Share of orders that are not answered, and are carried out some seconds later.
    is_store_down
        Whether the store refuses all appends.
    unreachable_lives
        Lives of workers that run but can't be reached by any leader.
    """

    lost_answer_share: float = 0.0
    late_order_share: float = 0.0
    is_store_down: bool = False
    unreachable_lives: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class EmulatorOptions:
    """Options of an emulated cluster.

    Attributes
    ----------
    workload
        The queues, and the jobs that are submitted to them.
    workers, capacity, racks
        Number of workers at the start, capacity of each, and number of racks.
    typical_call_s, typical_append_s
        Typical duration of a call to a worker and of an append to the store, in seconds.
    advice_node_count
        Number of nodes that can call the advice service.
    max_advice_delay_factor
        Upper bound of the random factor by which answers of the advice service take longer than
        expected.
    timings
        Timings of all workers.
    lease_s
        Length of the lease that renewals request, in seconds.
    replacement_s
        Delay of the replacement of a worker that a task has crashed, in seconds.
    lists_crashed_workers
        Whether a new leader still finds the entries of workers that crashed shortly before.
    capacities
        Capacities of the workers in turn, in the order in which they are added; if empty, all have
        ``capacity``.
    lasting_slowness
        Factors by which runs take longer on the machines in turn, in the order in which they are
        added. A machine keeps its factor across lives and replacements. If empty, one in three
        workers is slower by 1.3, drawn at random.
    summarizes_load
        Whether the leaders summarize their load and predict waits.
    max_record_bytes, max_append_bytes
        Length of the longest record, and of the longest append, that the store takes.
    """

    workload: WorkloadOptions
    workers: int = 24
    capacity: Size = _CAPACITY
    racks: int = 4
    typical_call_s: float = 0.003
    typical_append_s: float = 0.009
    advice_node_count: int = 6
    max_advice_delay_factor: float = 1.0
    timings: WorkerTimings = _TIMINGS
    lease_s: float = LEASE_SECONDS
    replacement_s: float = 3.5
    lists_crashed_workers: bool = False
    capacities: tuple[Size, ...] = ()
    lasting_slowness: tuple[float, ...] = ()
    summarizes_load: bool = False
    max_record_bytes: int = 262_144
    max_append_bytes: int = 2_097_152

    def capacity_of(self, number: int) -> Size:
        """Return the capacity of a worker by its number, from 0."""
        return self.capacities[number % len(self.capacities)] if self.capacities else self.capacity
