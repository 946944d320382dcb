"""Decoding of JSON from external systems into validated models."""

from typing import Annotated

import msgspec
from msgspec import UNSET, Meta, UnsetType

from ..errors import DECODE_ERRORS, PlatformError

__all__ = ["MAX_STORED_INT", "BornMs", "decode_born_ms", "decode_json"]

MAX_STORED_INT = 2**63 - 1
"""Largest integer taken from external systems; the records in the store have 64 bits for one."""

_MAX_BORN_MS = 253_402_300_799_999
"""The last ms of the year 9999."""

BornMs = Annotated[int, Meta(ge=0, le=_MAX_BORN_MS)] | UnsetType
"""Start of a worker's life in ms since 1970; optional, but not null."""


def decode_born_ms(born: BornMs) -> int | None:
    """Return when a life began, in ms since 1970, or None if the field is absent."""
    return None if born is UNSET else born


def decode_json(data: bytes, model: type, subject: str = "answer"):
    """Decode JSON from an external system into a validated model.

    Parameters
    ----------
    data
        The JSON text, in UTF-8.
    model
        The type to decode into.
    subject
        What the data is; used in the error message.

    Raises
    ------
    PlatformError
        If the data is not valid JSON of the model's type.
    """
    try:
        # Decode all of the data first: msgspec doesn't validate UTF-8 in fields that it skips.
        return msgspec.json.decode(data.decode(), type=model)
    except DECODE_ERRORS as error:
        raise PlatformError(f"invalid {subject}: {error}") from error
