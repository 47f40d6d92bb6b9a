"""Typed errors of beryldrum.

Every failure that a caller can meet has a type here. Errors derive from
:class:`BeryldrumError`; a command maps the class to its exit code, and a node
maps it to a problem type, so that no code compares message texts.
"""

__all__ = [
    "AnswerLostError",
    "AppendUnknownError",
    "BeryldrumError",
    "CertificateError",
    "ConflictError",
    "DocumentError",
    "FrameError",
    "LogDownError",
    "LogError",
    "LogTruncatedError",
    "LogUnresponsiveError",
    "PeerLostError",
    "RecordError",
    "RequestNotLoggedError",
    "SettingsError",
    "TargetUnreachedError",
    "UnreachableError",
]


class BeryldrumError(Exception):
    """Base class of all errors raised by this package."""


class _CheckError(BeryldrumError):
    """A file that fails its check; ``problems`` lists every fault found."""

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class SettingsError(_CheckError):
    """The settings of a node are wrong."""


class DocumentError(_CheckError):
    """A service document is wrong."""


class CertificateError(BeryldrumError):
    """A certificate or its key cannot be used."""


class RecordError(BeryldrumError):
    """A log record cannot be decoded."""


class RequestNotLoggedError(BeryldrumError):
    """No log line speaks of the request asked for."""


class FrameError(BeryldrumError):
    """A frame between two nodes is malformed or too large."""


class LogError(BeryldrumError):
    """Base class of failures of the platform's log."""


class LogDownError(LogError):
    """The log answered that it is down: nothing was accepted meanwhile."""


class LogUnresponsiveError(LogError):
    """The log did not answer: what happened there is not known."""


class LogTruncatedError(LogError):
    """The offset asked for has expired; ``first`` is the oldest one kept."""

    def __init__(self, first: int) -> None:
        super().__init__(f"records before offset {first} have expired")
        self.first = first


class AppendUnknownError(LogError):
    """An append got no answer: it may or may not have taken effect."""


class ConflictError(BeryldrumError):
    """Another operator published first; ``version`` is now in force."""

    def __init__(self, service: str, version: int) -> None:
        super().__init__(f"{service} is at version {version}")
        self.service = service
        self.version = version


class UnreachableError(BeryldrumError):
    """Neither a node nor the log could be reached."""


class PeerLostError(BeryldrumError):
    """A connection to a peer ended; ``sent`` tells whether bytes may have left."""

    def __init__(self, address: str, sent: bool) -> None:
        super().__init__(f"connection to {address} ended")
        self.address = address
        self.sent = sent


class TargetUnreachedError(BeryldrumError):
    """No connection to the target was opened, so nothing can have run."""


class AnswerLostError(BeryldrumError):
    """The target was reached, but no whole answer came back."""
