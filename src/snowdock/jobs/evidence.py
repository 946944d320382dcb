"""What is known about runs that were charged to their task."""

import dataclasses
import enum

__all__ = ["Charge", "Evidence"]


class Evidence(enum.IntEnum):
    """What is known about the end of a charged run; the numbers are part of durable records."""

    CRASH = 0
    """The worker had reported the run, and then crashed on its own."""
    POSSIBLE_CRASH = 1
    """The worker ended, but the run may not have begun there, or the end may have another cause."""
    LOSS = 2
    """The worker fell silent, and may still be up; its end would make this a crash."""
    UNCERTAIN_LOSS = 3
    """The worker fell silent, and may still be up; its end would make this a possible crash."""
    EARLY_END = 4
    """The run ended just after its start, and its worker did not."""


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """A run that is charged to its task.

    Attributes
    ----------
    run
        The run's number.
    evidence
        What is known about its end.
    life, address
        The worker's life, and its IP address and port; empty if they are not known.
    charged_at
        When this leader charged or restored it, in steady-clock seconds.
    """

    run: int
    evidence: Evidence
    life: str = ""
    address: str = ""
    charged_at: float = 0.0

    @property
    def is_crash(self) -> bool:
        """Whether the worker has ended, certainly or possibly because of the run."""
        return self.evidence in (Evidence.CRASH, Evidence.POSSIBLE_CRASH)

    @property
    def is_unresolved(self) -> bool:
        """Whether the worker may still be up."""
        return self.evidence in (Evidence.LOSS, Evidence.UNCERTAIN_LOSS)
