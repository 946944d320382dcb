"""One way to decode what outside systems send: into a validated model, or a typed failure."""

from typing import Annotated

import msgspec
from msgspec import UNSET, Meta, UnsetType

from ..errors import UNREADABLE, PlatformError

__all__ = ["Born", "born_ms_of", "decode_json"]

Born = Annotated[int, Meta(ge=0)] | UnsetType
"""When a worker's life began, in ms since 1970; may be left out, but is nothing other than that."""


def born_ms_of(born: Born) -> int | None:
    """Give when a life began; None where it is untold."""
    return None if born is UNSET else born


def decode_json(data: bytes, kind: type, subject: str = "answer"):
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
        return msgspec.json.decode(data.decode(), type=kind)
    except UNREADABLE as error:
        raise PlatformError(f"{subject} does not fit: {error}") from error
