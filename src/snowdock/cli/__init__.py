"""``snowdock``: the operators' and callers' command-line tool."""

from .application import main

__all__ = ["main"]
