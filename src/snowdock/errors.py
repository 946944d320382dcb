"""Failures that snowdock reports, one class for each.

Each class carries a machine-readable ``code`` and the HTTP ``status`` with which the API
answers it, so that no layer above has to translate.
"""

import msgspec

__all__ = [
    "DECODE_ERRORS",
    "AppendConflict",
    "BodyTooLarge",
    "CallUnanswered",
    "ConfigurationConflict",
    "DeclarationError",
    "DeclarationErrors",
    "Draining",
    "Forbidden",
    "InvalidInput",
    "LogExpired",
    "LogUnavailable",
    "MethodNotAllowed",
    "NotFound",
    "Overloaded",
    "PlatformError",
    "PolicyError",
    "ProducerFenced",
    "SettingsErrors",
    "SettingsUnreadable",
    "SnowdockError",
    "Starting",
    "StoreRefused",
    "TokensUnreadable",
    "Unauthorized",
    "UnsupportedMedia",
    "VerdictUnknown",
    "Voided",
    "WorkImpossible",
]


DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""What decoding raises for bytes of others that do not fit, are no UTF-8, or nest without end."""


class SnowdockError(Exception):
    """Base of every failure that snowdock reports by type."""

    code = "internal"
    status = 500
    retry_after_seconds: float | None = None


class InvalidInput(SnowdockError):
    """A request, field or body is malformed."""

    code = "invalid_input"
    status = 400


class BodyTooLarge(InvalidInput):
    """A body exceeds the size that the API accepts."""

    code = "body_too_large"
    status = 413


class UnsupportedMedia(InvalidInput):
    """A body has another content type than the call takes."""

    code = "unsupported_media_type"
    status = 415


class MethodNotAllowed(SnowdockError):
    """The path exists, but not with this method."""

    code = "method_not_allowed"
    status = 405


class Unauthorized(SnowdockError):
    """A token is missing or unknown."""

    code = "unauthorized"
    status = 401


class Forbidden(SnowdockError):
    """A token's role does not suffice for the call."""

    code = "forbidden"
    status = 403


class TokensUnreadable(SnowdockError):
    """The tokens file cannot be used; what was read before stays in force."""

    code = "tokens_unreadable"


class NotFound(SnowdockError):
    """The named thing does not exist."""

    code = "not_found"
    status = 404


class ConfigurationConflict(SnowdockError):
    """A change was made from a version that is no longer current."""

    code = "configuration_conflict"
    status = 409


class Voided(SnowdockError):
    """A proposal was found invalid at its offset in the log."""

    code = "voided"
    status = 409


class WorkImpossible(SnowdockError):
    """No VM of the pool could ever hold one task of the work."""

    code = "work_impossible"
    status = 422


class Overloaded(SnowdockError):
    """A bounded queue is full; nothing was run."""

    code = "overloaded"
    status = 503

    def __init__(self, message: str, retry_after_seconds: float = 1.0) -> None:
        super().__init__(message)
        self.retry_after_seconds = retry_after_seconds


class Draining(Overloaded):
    """The node is on its way out and takes no new work."""

    code = "draining"


class Starting(Overloaded):
    """The node has not read enough of the log to serve yet; nothing was run."""

    code = "starting"


class LogUnavailable(Overloaded):
    """The platform's log did not take the record; nothing was accepted."""

    code = "log_unavailable"


class VerdictUnknown(SnowdockError):
    """The record may be on the log, but its verdict was not seen in time."""

    code = "verdict_unknown"
    status = 504


class PlatformError(SnowdockError):
    """An outside system answered with an error or not at all."""

    code = "platform_error"
    status = 502


class LogExpired(PlatformError):
    """The wanted offset is older than what the log still holds."""

    code = "log_expired"

    def __init__(self, message: str, first: int) -> None:
        super().__init__(message)
        self.first = first


class CallUnanswered(PlatformError):
    """An outside system gave no whole answer; the call may have been carried out.

    Attributes
    ----------
    unsent
        Whether there was not even a connection, so that nothing can have been done.
    """

    code = "call_unanswered"

    def __init__(self, message: str, unsent: bool) -> None:
        super().__init__(message)
        self.unsent = unsent


class StoreRefused(PlatformError):
    """The platform's store turned a call away; nothing was done."""

    code = "store_refused"


class AppendConflict(PlatformError):
    """A conditional append found the partition's end elsewhere; nothing was done."""

    code = "append_conflict"

    def __init__(self, message: str, end: int) -> None:
        super().__init__(message)
        self.end = end


class ProducerFenced(PlatformError):
    """Another producer with a higher epoch has taken over; nothing was done."""

    code = "producer_fenced"


class SettingsUnreadable(SnowdockError):
    """The platform's settings file is missing, malformed or incomplete."""

    code = "settings_unreadable"


class PolicyError(SnowdockError):
    """A policy program does not compile, fails on a sample, or is too slow."""

    code = "policy_error"
    status = 400


class DeclarationError(InvalidInput):
    """One mistake in a declaration, with its file, section and key."""

    code = "invalid_declaration"

    def __init__(self, file: str, section: str, key: str, problem: str) -> None:
        location = f"{file} [{section}]" + (f" {key}" if key else "")
        super().__init__(f"{location}: {problem}")
        self.file = file
        self.section = section
        self.key = key
        self.problem = problem


class DeclarationErrors(ExceptionGroup):
    """Every mistake found in one set of declarations."""

    code = "invalid_declaration"
    status = 400

    def derive(self, excs):
        """Keep the type when the group is split."""
        return DeclarationErrors(self.message, excs)


class SettingsErrors(DeclarationErrors):
    """Every mistake found in a node's settings file."""
