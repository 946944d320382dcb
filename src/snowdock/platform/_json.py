"""One way to decode what outside systems send: into a validated model, or a typed failure."""

import msgspec

from ..errors import PlatformError

__all__ = ["decode_json"]


def decode_json(data: bytes, kind: type, subject: str = "answer", strict: bool = True):
    """Decode an outside system's JSON into a validated model.

    Parameters
    ----------
    data
        What it sent.
    kind
        The model.
    subject
        What it is, for the failure's text.
    strict
        Whether numbers must be written as numbers.

    Raises
    ------
    PlatformError
        If it does not fit the model.
    """
    try:
        return msgspec.json.decode(data, type=kind, strict=strict)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"{subject} does not fit: {error}") from error
