"""One way to decode what outside systems send: into a validated model, or a typed failure."""

from typing import Annotated

import msgspec
from msgspec import UNSET, Meta, UnsetType

from ..errors import DECODE_ERRORS, PlatformError

__all__ = ["BornMs", "decode_born_ms", "decode_json"]

BornMs = Annotated[int, Meta(ge=0)] | UnsetType
"""When a worker's life began, in ms since 1970; may be left out, but is nothing other than that."""


def decode_born_ms(born: BornMs) -> int | None:
    """Give when a life began; None where it is untold."""
    return None if born is UNSET else born


def decode_json(data: bytes, model: type, subject: str = "answer"):
    """Decode an outside system's JSON into a validated model.

    Parameters
    ----------
    data
        What it sent.
    kind
        The model.
    subject
        What it is, for the failure's text.

    Raises
    ------
    PlatformError
        If it does not fit the model.
    """
    try:
        # Bytes in fields that nobody reads are to be text, too.
        return msgspec.json.decode(data.decode(), type=model)
    except DECODE_ERRORS as error:
        raise PlatformError(f"{subject} does not fit: {error}") from error
