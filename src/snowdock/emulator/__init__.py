"""An emulator of the systems served: workers, store and advice in virtual time.

The real decisions run against it, without network or waiting: for trying a policy before it
is published, and for tests that break things at random and check what must always hold.
"""

from .checks import Violation
from .emulator import Emulator
from .options import EmulatorOptions
from .report import Report, format_report, make_report
from .workload import WorkloadOptions, draw_workload

__all__ = [
    "Emulator",
    "EmulatorOptions",
    "Report",
    "Violation",
    "WorkloadOptions",
    "draw_workload",
    "format_report",
    "make_report",
]
