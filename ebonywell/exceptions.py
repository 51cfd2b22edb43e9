"""Every error of ebonywell, under one base and grouped by layer."""


class EbonywellError(Exception):
    """The base of every error that ebonywell raises."""


class SettingsError(EbonywellError):
    """A setting is missing or cannot be used."""


class KernelError(EbonywellError):
    """A service is missing, doubled or has failed."""


class TransportError(EbonywellError):
    """An HTTP exchange with another process brought no usable answer.

    Attributes
    ----------
    is_sent : bool
        Whether bytes of the request may have arrived.
    """

    def __init__(self, message: str, is_sent: bool = True) -> None:
        super().__init__(message)
        self.is_sent = is_sent


class LogServiceError(EbonywellError):
    """The platform's log service cannot be used now."""


class LogOutageError(LogServiceError):
    """The log service did not answer, or answered that it is down.

    Attributes
    ----------
    is_sent : bool
        Whether a record may have been kept all the same.
    """

    def __init__(self, message: str, is_sent: bool = True) -> None:
        super().__init__(message)
        self.is_sent = is_sent


class LogRefusedError(LogOutageError):
    """The log service answered that it kept nothing."""

    def __init__(self, message: str) -> None:
        super().__init__(message, is_sent=False)


class LogGapError(LogServiceError):
    """Records after the asked offset have passed the log's retention."""

    def __init__(self, first_offset: int) -> None:
        super().__init__(f'the log now starts at offset {first_offset}')
        self.first_offset = first_offset


class RecordError(EbonywellError):
    """A record of the log cannot be read."""


class ConflictError(EbonywellError):
    """A change names a revision that is no longer the newest."""


class PeerError(EbonywellError):
    """A message between entry processes cannot be read or sent."""


class MalformedFrameError(PeerError):
    """A frame holds no message."""


class TargetError(EbonywellError):
    """A target cannot be reached or broke off."""


class TargetUnreachableError(TargetError):
    """No byte of the request was handed to the target."""


class TargetBrokenError(TargetError):
    """The exchange broke after bytes may have reached the target."""


class TargetRefusedError(TargetError):
    """The target said that the request has not run."""

    def __init__(self, status: int) -> None:
        super().__init__(f'status {status}, not run')
        self.status = status


class OperatorError(EbonywellError):
    """What an operator asked for was not done."""


class NotReachableError(OperatorError):
    """No entry process could do it, and nothing was changed."""


class OutcomeUnknownError(OperatorError):
    """It may have been done: the answer was lost, or the log was down."""


class CatalogueFileError(OperatorError):
    """A catalogue file has faults; ``args`` holds a line for each."""
