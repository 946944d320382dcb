"""What an emulated cluster is like, and what goes wrong in it."""

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
    """What goes wrong now; may be changed while the emulator runs.

    Attributes
    ----------
    lost_answers
        Share of calls to workers that are carried out and not answered.
    late_orders
        Share of orders that are not answered and carried out seconds later.
    store_down
        Whether the store takes nothing.
    cut
        Lives of workers that no leader reaches; they run on.
    """

    lost_answer_share: float = 0.0
    late_order_share: float = 0.0
    is_store_down: bool = False
    unreachable_lives: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class EmulatorOptions:
    """The emulated cluster.

    Attributes
    ----------
    workload
        What is submitted, and the queues it is submitted to.
    workers, capacity, racks
        Workers at the start, the room of each, and the racks they stand in.
    call_s, store_s
        What a call to a worker, and an append to the store, usually take, in seconds.
    askers
        Nodes that can ask the advice service.
    terms
        Times of all workers.
    lease_s
        The lease that renewals ask for, in seconds.
    entries_linger
        Whether a leader that begins still finds the entries of workers that crashed just before.
    """

    workload: WorkloadOptions
    workers: int = 24
    capacity: Size = _CAPACITY
    racks: int = 4
    typical_call_s: float = 0.003
    typical_append_s: float = 0.009
    advice_node_count: int = 6
    timings: WorkerTimings = _TIMINGS
    lease_s: float = LEASE_SECONDS
    lists_crashed_workers: bool = False
