"""The policy programs that are included in snowdock and that declarations can name."""

import functools
import importlib.resources

__all__ = ["builtin_programs"]


@functools.cache
def builtin_programs() -> dict[str, str]:
    """Return the sources of the built-in programs by file name."""
    folder = importlib.resources.files(__name__)
    return {
        entry.name: entry.read_text(encoding="utf-8")
        for entry in folder.iterdir()
        if entry.name.endswith(".star")
    }
