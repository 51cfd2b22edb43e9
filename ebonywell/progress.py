"""State of a request in flight, and the possible results of an attempt."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from .blame import NO_TRAITS, Traits
from .crashdetector import Breakage
from .events import EventSplitter
from .headroom.arrivals import Arrivals
from .inbound import AdmittedRequest, Refund, RejectionError
from .inventory import KnownTarget
from .pace.serverload import NO_LOAD, ServerLoad
from .selection import Choice
from .statements import Notice, Statement
from .upstream import AnswerHead

# Statuses by which callers are told that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_BAD_GATEWAY = 502


class Verdict(enum.StrEnum):
    """Classification of the head of a target's answer.

    Attributes
    ----------
    answer
        The answer to the request; it is forwarded.
    failed
        The request ran and failed; the answer may be forwarded.
    not_run
        The target is full and has not run the request.
    absent
        The target does not have the model or the adapter.
    other_target
        Another target uses the address now.
    unclear
        The status means that the request has not run, but the target's
        explicit confirmation is missing.
    crossed
        The answer belongs to another request, or names none.
    unfit
        The answer cannot continue the stream that another target began.
    """

    answer = 'answer'
    failed = 'failed'
    not_run = 'not_run'
    absent = 'absent'
    other_target = 'other_target'
    unclear = 'unclear'
    crossed = 'crossed'
    unfit = 'unfit'


# Verdicts on answers that state that the target has not run the request.
NOT_RUN_VERDICTS = frozenset(
    (Verdict.not_run, Verdict.absent, Verdict.other_target)
)


@dataclass(slots=True, frozen=True)
class TargetFormat:
    """Format of requests and answers on connections to targets.

    Attributes
    ----------
    encode : callable
        Takes the request, its target, the seconds left and the id of the
        last event that the caller has received; returns the encoded head.
    judge : callable
        Takes the request, its target and the head of an answer; returns the
        verdict.
    answer_headers : callable
        Returns the headers that are forwarded to the caller.
    read_statement : callable
        Returns what the head of an answer says about its target; raises
        `ValueError` if it cannot be read.
    read_notice : callable
        Returns what the head of an answer asks of this host; raises
        `ValueError` if it cannot be read.
    read_load : callable
        Returns the load of its target that the head of an answer states.
    """

    encode: Callable[[AdmittedRequest, KnownTarget, float, bytes], bytes]
    judge: Callable[[AdmittedRequest, KnownTarget, AnswerHead], Verdict]
    answer_headers: Callable[[AnswerHead], list[tuple[bytes, bytes]]]
    read_statement: Callable[[AnswerHead], Statement]
    read_notice: Callable[[AnswerHead], Notice]
    read_load: Callable[[AnswerHead], ServerLoad] = lambda head: NO_LOAD


@dataclass(slots=True)
class Progress:
    """State of a request in flight.

    Attributes
    ----------
    sends : int
        Number of times the request was sent, to any target.
    runs : int
        Number of attempts that ran, or may have run, the request.
    unrefuted_sends : int
        Number of sends that no target has stated not to have run; see
        `may_run`.
    is_started : bool
        Whether the head of the answer was sent to the caller.
    avoided : set of str
        Targets of earlier attempts; they are not selected again.
    addresses : set of str
        Addresses to which the request was sent.
    last_reason : str
        Reason of the last failed attempt.
    begun_head : AnswerHead or None
        Head with which the stream began; None before that.
    splitter : EventSplitter or None
        Set once a resumable stream has started.
    first_byte_s : float or None
        Time from receiving the request to the first byte of its answer.
    target : str
        Target of the last attempt.
    refund : callable or None
        Refunds the charge to the workspace's limit.
    trial : frozenset of int
        Traits for which the request is in a trial; see `CrashGuard.admit`.
    release : str or None
        Release of the target that sent the first event.
    breakage : Breakage or None
        Set if the last attempt broke off, perhaps by a crash of its target.
    arrivals : Arrivals or None
        When the parts of the stream arrived; None before its head.
    """

    sends: int = 0
    runs: int = 0
    unrefuted_sends: int = 0
    is_started: bool = False
    avoided: set[str] = field(default_factory=set)
    addresses: set[str] = field(default_factory=set)
    last_reason: str = ''
    begun_head: AnswerHead | None = None
    splitter: EventSplitter | None = None
    first_byte_s: float | None = None
    target: str = ''
    refund: Refund | None = None
    trial: Traits = NO_TRAITS
    release: str | None = None
    breakage: Breakage | None = None
    arrivals: Arrivals | None = None

    @property
    def may_run(self) -> bool:
        """Whether the request has run, or may still be running.

        It may from when its first byte is written, whatever part of an answer
        arrives, unless the target states that it has not run it.
        """
        return self.unrefuted_sends > 0

    def note_sent(self) -> None:
        """Record that the request is written to a connection."""
        self.sends += 1
        self.unrefuted_sends += 1

    def note_not_run(self) -> None:
        """Record that the target of the last send has not run the request."""
        self.unrefuted_sends -= 1


@dataclass(slots=True, frozen=True)
class Outcome:
    """Final status and reason of a request, for logs and metrics.

    Attributes
    ----------
    status : int
        Status sent to the caller; 0 if the answer was cut off or the request
        was cancelled with its host.
    reason : str
    """

    status: int
    reason: str


def make_truthful(error: RejectionError, progress: Progress) -> RejectionError:
    """Return a rejection that doesn't deny a run that may have taken place."""
    if progress.may_run and error.status in NOT_RUN_STATUSES:
        return RejectionError(_BAD_GATEWAY, error.reason)
    return error


class AttemptError(Exception):
    """An attempt gave no answer to forward.

    Attributes
    ----------
    reason : str
    has_run : bool
        Whether the target ran, or may have run, the request.
    head : AnswerHead or None
        Head of a failure that is forwarded if there is no further attempt.
    body : bytes
    """

    def __init__(
        self,
        reason: str,
        *,
        has_run: bool,
        head: AnswerHead | None = None,
        body: bytes = b'',
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.has_run = has_run
        self.head = head
        self.body = body


class Selector(Protocol):
    """Selects targets and records their rejections."""

    async def reserve(
        self,
        request: AdmittedRequest,
        avoided: set[str],
        *,
        is_trial: bool = False,
    ) -> tuple[KnownTarget, Choice] | None:
        """Return the target to which a request may be sent, or None."""

    def is_closed(self, known: KnownTarget) -> bool:
        """Return whether the zone of a target takes no request any more."""

    def record_rejection(
        self,
        request: AdmittedRequest,
        known: KnownTarget,
        verdict: Verdict,
    ) -> None:
        """Record that a target lacks what a request needs."""

    def record_notice(
        self, known: KnownTarget, notice: Notice, verdict: Verdict
    ) -> None:
        """Record what a target asks of this host."""
