"""A compact form of many records of one kind: columns in place of rows.

Every node reads every record, so bytes on the log are what limits the cluster's peak. Columns
of numbers are stored as differences and columns of names as one text, which compresses far
better than rows; `bench.log_bytes` has the figures.
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
    """Give name, sort of column, and type of each field of a record."""
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
    """Turn records of one kind into columns of plain values.

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
    """Turn columns back into records.

    Raises
    ------
    InvalidInput
        If the columns do not fit the type or are not all of the same length.
    """
    fields = _fields(kind)
    try:
        read = [
            list(_read_column(column_type, hint, column))
            for (_, column_type, hint), column in zip(fields, columns, strict=True)
        ]
        if any(len(column) != count for column in read):
            raise InvalidInput("columns of different lengths")
        tag = kind.__struct_config__.tag
        head = () if tag is None else (tag,)
        rows = zip(*read, strict=True) if read else itertools.repeat((), count)
        return msgspec.convert([(*head, *row) for row in rows], list[kind], builtin_types=(bytes,))
    except (TypeError, ValueError, msgspec.ValidationError) as error:
        raise InvalidInput(f"not columns of {kind.__name__}: {error}") from error


def _read_column(column_type: str, hint: type, column: object) -> Iterable:
    if column_type == "number":
        return itertools.accumulate(column)
    if column_type == "text":
        return column.split(_SEPARATOR) if isinstance(column, str) else column
    if column_type == "records":
        lengths, inner_columns = column
        if any(length < 0 for length in lengths):
            raise InvalidInput("a negative length")
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
    """Join texts into one, unless one of them holds the separator or there is none."""
    if not values or any(_SEPARATOR in value for value in values):
        return values
    return _SEPARATOR.join(values)
