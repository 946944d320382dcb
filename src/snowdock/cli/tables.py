"""Plain tables of models."""

import msgspec
from cleo.commands.command import Command

__all__ = ["print_table"]

_HIDDEN_FIELDS = ("tasks",)


def _format_cell(value: object) -> str:
    if isinstance(value, dict):
        return " ".join(f"{key}={count}" for key, count in value.items())
    if isinstance(value, msgspec.Struct):
        return "/".join(str(part) for part in msgspec.structs.astuple(value))
    return str(value)


def print_table(command: Command, rows: list) -> None:
    """Print models of one kind as a table, a column for each field."""
    if not rows:
        command.line("none")
        return
    names = [f.name for f in msgspec.structs.fields(rows[0]) if f.name not in _HIDDEN_FIELDS]
    lines = [names] + [[_format_cell(getattr(row, name)) for name in names] for row in rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(names))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        command.line("  ".join(cells).rstrip())
