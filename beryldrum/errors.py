"""Exceptions raised by beryldrum.

All of them derive from :class:`BeryldrumError`. The command line maps the class to an
exit code and a node maps it to a problem type, so that no code compares message texts.
"""

__all__ = [
    "AnswerLostError",
    "AppendUnknownError",
    "BeryldrumError",
    "CertificateError",
    "ConfigurationWarningsError",
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


class _ValidationError(BeryldrumError):
    """A file failed validation; ``problems`` lists every fault found."""

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class SettingsError(_ValidationError):
    """The settings of a node are invalid."""


class DocumentError(_ValidationError):
    """A service document is invalid."""


class ConfigurationWarningsError(BeryldrumError):
    """The configuration of a fleet has warnings and no error."""


class CertificateError(BeryldrumError):
    """A certificate or its key cannot be used."""


class RecordError(BeryldrumError):
    """A log record cannot be decoded."""


class RequestNotLoggedError(BeryldrumError):
    """The given log files have no line about the requested request id."""


class FrameError(BeryldrumError):
    """A frame between two nodes is malformed or exceeds the size limit."""


class LogError(BeryldrumError):
    """Base class of errors of the platform's log service."""


class LogDownError(LogError):
    """The log reported that it is unavailable and accepts no records meanwhile."""


class LogUnresponsiveError(LogError):
    """The log gave no valid answer; whether it accepts records is unknown."""


class LogTruncatedError(LogError):
    """The requested offset has expired; ``first`` is the oldest offset kept."""

    def __init__(self, first: int) -> None:
        super().__init__(f"records before offset {first} have expired")
        self.first = first


class AppendUnknownError(LogError):
    """An append got no answer; it may or may not have taken effect."""


class ConflictError(BeryldrumError):
    """Another operator published a newer version first; ``version`` is in force."""

    def __init__(self, service: str, version: int) -> None:
        super().__init__(f"{service} is at version {version}")
        self.service = service
        self.version = version


class UnreachableError(BeryldrumError):
    """Neither a node nor the log could be reached."""


class PeerLostError(BeryldrumError):
    """A peer could not be reached or disconnected.

    ``sent`` tells whether part of the message may have been sent.
    """

    def __init__(self, address: str, sent: bool) -> None:
        super().__init__(f"connection to peer {address} lost or not established")
        self.address = address
        self.sent = sent


class TargetUnreachedError(BeryldrumError):
    """No connection to the target was opened, so the request cannot have run."""


class AnswerLostError(BeryldrumError):
    """The target was reached but sent no complete answer; the request may have run."""
