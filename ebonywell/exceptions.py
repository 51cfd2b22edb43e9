"""Exceptions of ebonywell, with a common base class and grouped by layer."""


class EbonywellError(Exception):
    """Base class of all exceptions that ebonywell raises."""


class SettingsError(EbonywellError):
    """A setting is missing or invalid."""


class KernelError(EbonywellError):
    """A service is missing, registered twice or has failed."""


class TransportError(EbonywellError):
    """An HTTP exchange with another process returned no usable answer.

    Attributes
    ----------
    is_sent : bool
        Whether bytes of the request may have been received.
    """

    def __init__(self, message: str, is_sent: bool = True) -> None:
        super().__init__(message)
        self.is_sent = is_sent


class LogServiceError(EbonywellError):
    """The platform's log service is unavailable."""


class LogOutageError(LogServiceError):
    """The log service did not answer, or reported that it is down.

    Attributes
    ----------
    is_sent : bool
        Whether a record may have been stored despite the error.
    """

    def __init__(self, message: str, is_sent: bool = True) -> None:
        super().__init__(message)
        self.is_sent = is_sent


class LogRefusedError(LogOutageError):
    """The log service rejected a call; no record was stored."""

    def __init__(self, message: str) -> None:
        super().__init__(message, is_sent=False)


class LogGapError(LogServiceError):
    """Records from the requested offset on are past the log's retention."""

    def __init__(self, first_offset: int) -> None:
        super().__init__(f'the log now starts at offset {first_offset}')
        self.first_offset = first_offset


class RecordError(EbonywellError):
    """A record of the log is malformed."""


class ConflictError(EbonywellError):
    """A change refers to a revision that is no longer the latest."""


class PeerError(EbonywellError):
    """A message between entry processes cannot be decoded or sent."""


class MalformedFrameError(PeerError):
    """A frame does not hold a valid message."""


class TargetError(EbonywellError):
    """A target is unreachable, or an exchange with it failed."""


class TargetUnreachableError(TargetError):
    """No byte of the request was sent to the target."""


class TargetBrokenError(TargetError):
    """The exchange failed after bytes may have reached the target."""


class EventOrderError(TargetError):
    """A resumed stream does not go on after its last event."""


class EventTooLongError(EbonywellError):
    """An event of a stream does not end."""


class TargetRefusedError(TargetError):
    """The target rejected the request without running it."""

    def __init__(self, status: int) -> None:
        super().__init__(f'status {status}, not run')
        self.status = status


class OperatorError(EbonywellError):
    """An operator's request was not carried out."""


class NotReachableError(OperatorError):
    """No entry process could carry out the request; nothing was changed."""


class OutcomeUnknownError(OperatorError):
    """The outcome is unknown: the answer was lost, or the log was down."""


class CatalogueFileError(OperatorError):
    """A catalogue file has faults; ``args`` holds a line for each."""
