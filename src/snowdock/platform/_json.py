"""One way to decode what outside systems send: into a validated model, or a typed failure."""

import msgspec

from ..errors import UNREADABLE, PlatformError

__all__ = ["decode_json"]


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
