"""``snowdock``: the command-line tool of operators and callers."""

from .application import main

__all__ = ["main"]
