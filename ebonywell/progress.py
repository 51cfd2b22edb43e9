"""How far a request has come, and what a try of it can bring."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from .events import EventSplitter
from .inbound import AdmittedRequest, Refund
from .inventory import KnownTarget
from .selection import Choice
from .upstream import AnswerHead


class Verdict(enum.StrEnum):
    """What the head of a target's answer means.

    Attributes
    ----------
    answer
        The request's own answer, to be passed on.
    failed
        The request ran and failed; the answer may be passed on.
    not_run
        The target is full, and has not run the request.
    absent
        The target does not hold the model or the adapter.
    other_target
        Another target has the address now.
    unclear
        A status that promises that the request has not run, without the
        target's word for it.
    crossed
        The answer to another request.
    """

    answer = 'answer'
    failed = 'failed'
    not_run = 'not_run'
    absent = 'absent'
    other_target = 'other_target'
    unclear = 'unclear'
    crossed = 'crossed'


@dataclass(slots=True, frozen=True)
class TargetFormat:
    """How requests and answers are written for targets.

    Attributes
    ----------
    encode : callable
        Takes the call, its target, the seconds left and the id of the last
        event that the caller has; returns the request's bytes.
    judge : callable
        Takes the call, its target and the head of an answer.
    answer_headers : callable
        Returns the headers that go on to the caller.
    """

    encode: Callable[[AdmittedRequest, KnownTarget, float, bytes], bytes]
    judge: Callable[[AdmittedRequest, KnownTarget, AnswerHead], Verdict]
    answer_headers: Callable[[AnswerHead], list[tuple[bytes, bytes]]]


@dataclass(slots=True)
class Progress:
    """How far a request has come.

    Attributes
    ----------
    sends : int
        To any target.
    runs : int
        That began, or may have begun.
    may_run : bool
        Whether it has run or may run still.
    is_pending : bool
        Whether a target has it that has not answered yet.
    is_started : bool
        Whether the caller has the head of the answer.
    avoided : set of str
        Targets that failed or rejected it.
    last_reason : str
        Of the last failed try.
    splitter : EventSplitter or None
        Of a stream that may be resumed, once it has begun.
    first_byte_s : float or None
        From the request's arrival to the first byte of its answer.
    target : str
        The last one that it was sent to.
    refund : callable or None
        Takes back what it counts against its workspace's limit.
    """

    sends: int = 0
    runs: int = 0
    may_run: bool = False
    is_pending: bool = False
    is_started: bool = False
    avoided: set[str] = field(default_factory=set)
    last_reason: str = ''
    splitter: EventSplitter | None = None
    first_byte_s: float | None = None
    target: str = ''
    refund: Refund | None = None


@dataclass(slots=True, frozen=True)
class Outcome:
    """How a request ended, for logs and metrics."""

    status: int
    reason: str


class AttemptError(Exception):
    """A try at one target brought no answer to pass on.

    Attributes
    ----------
    reason : str
    has_run : bool
        Whether the target has or may have run the request.
    head : AnswerHead or None
        A failure to be passed on if no other target is asked.
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
    """Chooses targets, and learns of those that turn requests away."""

    def select(
        self,
        request: AdmittedRequest,
        avoided: set[str],
    ) -> tuple[KnownTarget, Choice] | None:
        """Return the target to send a request to, None if there is none."""

    def record_rejection(
        self,
        request: AdmittedRequest,
        known: KnownTarget,
        verdict: Verdict,
    ) -> None:
        """Learn that a target has not what a request needs."""
