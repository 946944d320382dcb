"""The policy programs that come with snowdock, for declarations to name."""

import functools
import importlib.resources

__all__ = ["builtin_programs"]


@functools.cache
def builtin_programs() -> dict[str, str]:
    """Give the texts of the shipped programs by file name."""
    folder = importlib.resources.files(__name__)
    return {
        entry.name: entry.read_text(encoding="utf-8")
        for entry in folder.iterdir()
        if entry.name.endswith(".star")
    }
