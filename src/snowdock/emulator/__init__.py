"""An emulator of workers, store and advice service in virtual time.

The leader's real decision code runs against it, without network or waiting. It serves to try a
policy before it is published, and in tests that inject random faults and check invariants.
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
