"""Effects: what a node has to do, or may tell, after a log entry was reduced.

The reducer only describes effects; the node's actors carry them out. Each node gets all of
them and acts on those that concern it.
"""

import dataclasses

__all__ = [
    "Accepted",
    "AttemptAssigned",
    "AttemptClosed",
    "BatchApplied",
    "ConfigurationInForce",
    "Effect",
    "MembersChanged",
    "Rejected",
    "SharesChanged",
    "StopRequired",
    "Verdict",
    "WorkFinished",
    "WorkQueued",
    "WorkerAdded",
    "WorkerWithdrawn",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A record took effect; ``reference`` is a version or a work number where one was made."""

    reference: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A record was found invalid at its offset and changed nothing."""

    reason: str


Verdict = Accepted | Rejected


@dataclasses.dataclass(frozen=True, slots=True)
class BatchApplied:
    """The verdicts on one batch, a verdict for each record."""

    node: str
    incarnation: str
    sequence: int
    verdicts: tuple[Verdict, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """A new version of the configuration holds from here on."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkQueued:
    """Tasks of a work wait for a place."""

    work: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkFinished:
    """All tasks of a work have come to an end."""

    work: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptAssigned:
    """An attempt holds room on a worker and is to be started there."""

    work: int
    task: int
    attempt: int
    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptClosed:
    """An attempt is over and its room is free."""

    work: int
    task: int
    attempt: int
    worker: str
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequired:
    """An attempt is to be ended; ``how`` is ``checkpoint`` or ``stop``."""

    work: int
    task: int
    attempt: int
    worker: str
    how: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerAdded:
    """A worker, or a new boot of one, may take tasks."""

    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerWithdrawn:
    """A worker takes no new tasks; if ``gone``, its leases may not be renewed either."""

    worker: str
    gone: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged:
    """The set of members, or the state of one, changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class SharesChanged:
    """The division of a minion's slots among nodes changed."""

    minion: str


Effect = (
    BatchApplied
    | ConfigurationInForce
    | WorkQueued
    | WorkFinished
    | AttemptAssigned
    | AttemptClosed
    | StopRequired
    | WorkerAdded
    | WorkerWithdrawn
    | MembersChanged
    | SharesChanged
)
