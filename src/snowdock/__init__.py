"""Snowdock: a cluster scheduler for mixed workloads on a shared pool of VMs."""

from .declarations import Declarations, WorkSpec, parse_declarations, parse_work
from .errors import SnowdockError

__all__ = ["Declarations", "SnowdockError", "WorkSpec", "parse_declarations", "parse_work"]

__version__ = "0.1.0"
