"""One way to decode what outside systems send: into a validated model, or a typed failure."""

import msgspec

from ..errors import PlatformError

__all__ = ["decode_json"]


_UNREADABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""What bytes that are no JSON, not UTF-8, or nested without end bring about."""


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
    except _UNREADABLE as error:
        raise PlatformError(f"{subject} does not fit: {error}") from error
