"""The exceptions that snowdock raises.

Each class has a machine-readable ``code`` and the HTTP ``status`` of the API's response to it.
"""

import msgspec

__all__ = [
    "DECODE_ERRORS",
    "AppendConflict",
    "AppendRejected",
    "BodyTooLarge",
    "CallUnanswered",
    "ConfigurationConflict",
    "DeclarationError",
    "DeclarationErrors",
    "Draining",
    "Forbidden",
    "GangTooLarge",
    "HeadTooLarge",
    "InvalidInput",
    "JobRefused",
    "JobTooLate",
    "JobUnplaceable",
    "LoadUnknown",
    "LogExpired",
    "LogUnavailable",
    "MethodNotAllowed",
    "NoRoomForJob",
    "NotFound",
    "NotImplementedHere",
    "Overloaded",
    "PlatformError",
    "PolicyError",
    "ProducerFenced",
    "RequestTimedOut",
    "ServiceOverloaded",
    "SettingsErrors",
    "SettingsUnreadable",
    "SnowdockError",
    "Starting",
    "StoreRefused",
    "TeamBeyondShare",
    "TokensUnreadable",
    "Unauthorized",
    "UnknownSummaryVersion",
    "UnsupportedMedia",
    "VerdictUnknown",
    "Voided",
    "WorkImpossible",
]


DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""What decoding raises for bytes that do not match the model, are not UTF-8 or nest too deeply."""


class SnowdockError(Exception):
    """Base class of all errors that snowdock raises."""

    code = "internal"
    status = 500
    retry_after_seconds: float | None = None


class InvalidInput(SnowdockError):
    """A request, field or body is malformed."""

    code = "invalid_input"
    status = 400


class UnknownSummaryVersion(InvalidInput):
    """A load summary is encoded in a version that this node does not know."""

    code = "unknown_summary_version"


class BodyTooLarge(InvalidInput):
    """A body exceeds the API's size limit."""

    code = "body_too_large"
    status = 413


class HeadTooLarge(InvalidInput):
    """The head of a request is larger than the limit, or has too many fields."""

    code = "head_too_large"
    status = 431


class NotImplementedHere(InvalidInput):
    """A request uses a part of HTTP that the server does not implement."""

    code = "not_implemented"
    status = 501


class UnsupportedMedia(InvalidInput):
    """A body has a content type that the call does not accept."""

    code = "unsupported_media_type"
    status = 415


class MethodNotAllowed(SnowdockError):
    """The path exists but does not support this method."""

    code = "method_not_allowed"
    status = 405


class Unauthorized(SnowdockError):
    """A token is missing or unknown."""

    code = "unauthorized"
    status = 401


class Forbidden(SnowdockError):
    """The role of a token does not permit the call."""

    code = "forbidden"
    status = 403


class TokensUnreadable(SnowdockError):
    """The tokens file is unreadable; tokens that were read before stay valid."""

    code = "tokens_unreadable"


class NotFound(SnowdockError):
    """The named resource does not exist."""

    code = "not_found"
    status = 404


class ConfigurationConflict(SnowdockError):
    """A change is based on a version that is no longer current."""

    code = "configuration_conflict"
    status = 409


class Voided(SnowdockError):
    """A proposed record was invalid at its offset in the log."""

    code = "voided"
    status = 409


class WorkImpossible(SnowdockError):
    """No VM of the pool is large enough for a task of the work."""

    code = "work_impossible"
    status = 422


class Overloaded(SnowdockError):
    """A bounded queue is full; the request was not run."""

    code = "overloaded"
    status = 503

    def __init__(self, message: str, retry_after_seconds: float = 1.0) -> None:
        super().__init__(message)
        self.retry_after_seconds = retry_after_seconds


class RequestTimedOut(Overloaded):
    """A request did not arrive in time.

    Callers take status 503 as a promise that nothing was run, which 408 is not to them.
    """

    code = "request_timed_out"


class Draining(Overloaded):
    """The node is draining and accepts no new work."""

    code = "draining"


class Starting(Overloaded):
    """The node has not yet read enough of the log to serve; the request was not run."""

    code = "starting"


class LogUnavailable(Overloaded):
    """The record could not be appended to the platform's log; nothing was accepted."""

    code = "log_unavailable"


class JobRefused(Overloaded):
    """Admission control refused the job; it was not recorded and will never run."""

    code = "job_refused"


class JobUnplaceable(JobRefused):
    """A task of the job is larger than the largest worker of its service."""

    code = "unplaceable"


class JobTooLate(JobRefused):
    """The job cannot end in useful time, since its caller has waited too long already."""

    code = "too_late"


class TeamBeyondShare(JobRefused):
    """The service is overloaded, and the job's team uses more than its share."""

    code = "beyond_share"
    status = 429


class ServiceOverloaded(JobRefused):
    """The service is overloaded, so that the job cannot end in useful time."""

    code = "overloaded"


class LoadUnknown(JobRefused):
    """The load is not known, and the node admits no more jobs at the moment."""

    code = "no_summary"


class NoRoomForJob(JobRefused):
    """The leader's memory for open jobs has no room for the job now."""

    code = "no_room"


class GangTooLarge(InvalidInput):
    """A gang has more tasks than can be started together."""

    code = "gang_too_large"


class VerdictUnknown(SnowdockError):
    """The record may be on the log, but its verdict was not read in time."""

    code = "verdict_unknown"
    status = 504


class PlatformError(SnowdockError):
    """An external system failed or did not respond."""

    code = "platform_error"
    status = 502


class LogExpired(PlatformError):
    """The requested offset is older than the oldest entry of the log."""

    code = "log_expired"

    def __init__(self, message: str, first: int) -> None:
        super().__init__(message)
        self.first = first


class CallUnanswered(PlatformError):
    """An external system sent no complete response; the call may have been executed.

    Attributes
    ----------
    unsent
        Whether no connection was made, so that the call cannot have been executed.
    """

    code = "call_unanswered"

    def __init__(self, message: str, unsent: bool) -> None:
        super().__init__(message)
        self.unsent = unsent


class StoreRefused(PlatformError):
    """The platform's store rejected a call; nothing was changed."""

    code = "store_refused"


class AppendRejected(PlatformError):
    """The store will never take an append as it is, such as one that is too long.

    Nothing was appended, and repeating the append is useless.
    """

    code = "append_rejected"


class AppendConflict(PlatformError):
    """A conditional append expected another end of the partition; nothing was appended."""

    code = "append_conflict"

    def __init__(self, message: str, end: int) -> None:
        super().__init__(message)
        self.end = end


class ProducerFenced(PlatformError):
    """A producer with a higher epoch has fenced this one; nothing was appended."""

    code = "producer_fenced"


class SettingsUnreadable(SnowdockError):
    """The platform's settings file is missing, malformed or incomplete."""

    code = "settings_unreadable"


class PolicyError(SnowdockError):
    """A policy program does not compile, fails on sample input or is too slow."""

    code = "policy_error"
    status = 400


class DeclarationError(InvalidInput):
    """An error in a declaration, with its file, section and key."""

    code = "invalid_declaration"

    def __init__(self, file: str, section: str, key: str, problem: str) -> None:
        location = f"{file} [{section}]" + (f" {key}" if key else "")
        super().__init__(f"{location}: {problem}")
        self.file = file
        self.section = section
        self.key = key
        self.problem = problem


class DeclarationErrors(ExceptionGroup):
    """All errors of a set of declarations."""

    code = "invalid_declaration"
    status = 400

    def derive(self, excs):
        """Return a group of the same type, for `split` and `subgroup`."""
        return DeclarationErrors(self.message, excs)


class SettingsErrors(DeclarationErrors):
    """All errors of a node's settings file."""
