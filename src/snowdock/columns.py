"""Columnar encoding of records of one type.

Every node reads every record, so the size of the log limits the throughput of the cluster.
Columns of integers are delta-encoded and columns of strings joined, which compresses better
than rows; `bench.log_bytes` measures this.
"""

import functools
import itertools
import typing
from collections.abc import Iterable, Iterator

import msgspec

from .errors import InvalidInput

__all__ = ["from_columns", "to_columns"]

_SEPARATOR = "\n"


@functools.cache
def _fields(kind: type[msgspec.Struct]) -> tuple[tuple[str, str, type], ...]:
    """Return the name, column type and type hint of each field of a record type."""
    hints = typing.get_type_hints(kind)
    return tuple(
        (field.name, _column_type(hints[field.name]), hints[field.name])
        for field in msgspec.structs.fields(kind)
    )


def _column_type(hint: type) -> str:
    if hint is int:
        return "number"
    if hint is str:
        return "text"
    arguments = typing.get_args(hint)
    if typing.get_origin(hint) is list and issubclass(arguments[0], msgspec.Struct):
        return "records"
    return "other"


def to_columns(kind: type[msgspec.Struct], records: list) -> list:
    """Convert records of one type into columns of plain values.

    Parameters
    ----------
    kind
        The records' type.
    records
        The records, in order.

    Returns
    -------
    list
        A column for each field.
    """
    columns = []
    for name, column_type, hint in _fields(kind):
        values = [getattr(record, name) for record in records]
        if column_type == "number":
            columns.append(_delta_encode(values))
        elif column_type == "text":
            columns.append(_join(values))
        elif column_type == "records":
            inner = typing.get_args(hint)[0]
            flat = list(itertools.chain.from_iterable(values))
            columns.append([[len(value) for value in values], to_columns(inner, flat)])
        else:
            columns.append([msgspec.to_builtins(value, builtin_types=(bytes,)) for value in values])
    return columns


def from_columns(kind: type[msgspec.Struct], columns: list, count: int) -> list:
    """Convert columns back into records.

    Parameters
    ----------
    kind
        The records' type.
    columns
        A column for each field.
    count
        The number of records.

    Returns
    -------
    list
        The records, in order.

    Raises
    ------
    InvalidInput
        If the columns do not match the type or do not all have ``count`` values.
    """
    fields = _fields(kind)
    try:
        read = [
            list(_read_column(column_type, hint, column))
            for (_, column_type, hint), column in zip(fields, columns, strict=True)
        ]
        if any(len(column) != count for column in read):
            raise InvalidInput("the columns have wrong or different lengths")
        tag = kind.__struct_config__.tag
        head = () if tag is None else (tag,)
        rows = zip(*read, strict=True) if read else itertools.repeat((), count)
        return msgspec.convert([(*head, *row) for row in rows], list[kind], builtin_types=(bytes,))
    except (TypeError, ValueError, msgspec.ValidationError) as error:
        raise InvalidInput(f"invalid columns of {kind.__name__}: {error}") from error


def _read_column(column_type: str, hint: type, column: object) -> Iterable:
    if column_type == "number":
        return itertools.accumulate(column)
    if column_type == "text":
        return column.split(_SEPARATOR) if isinstance(column, str) else column
    if column_type == "records":
        lengths, inner_columns = column
        if any(length < 0 for length in lengths):
            raise InvalidInput("a list has a negative length")
        inner = from_columns(typing.get_args(hint)[0], inner_columns, sum(lengths))
        return _split(inner, lengths)
    return column


def _split(values: list, lengths: list[int]) -> Iterator[list]:
    rest = iter(values)
    for length in lengths:
        yield list(itertools.islice(rest, length))


def _delta_encode(values: list[int]) -> list[int]:
    return [after - before for before, after in itertools.pairwise([0, *values])]


def _join(values: list[str]) -> str | list[str]:
    """Join strings into one, unless there are none or one contains the separator."""
    if not values or any(_SEPARATOR in value for value in values):
        return values
    return _SEPARATOR.join(values)
