"""Buffers a complete answer until it can be sent to its caller."""

from dataclasses import dataclass, field

import anyio

from .answers import Refusal, RefusedError
from .messages import Call
from .oncecalls import Claim
from .onceonly import Outcome, make_outcome
from .reply import Headers, Reply


@dataclass(slots=True, eq=False)
class BufferedAnswer:
    """The answer to a call that continues when its caller disconnects.

    Attributes
    ----------
    is_started : bool
        Whether any of the answer has been sent to the caller; stays false,
        because only the complete answer is sent.
    status : int
        The HTTP status; 0 until the answer was received.
    headers : list of (bytes, bytes)
    body : bytes
    refusal : Refusal or None
        Set if there is no answer.
    used_tokens : int
    done : anyio.Event
        Set once the answer or the refusal is final.
    """

    is_started: bool = False
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b''
    refusal: Refusal | None = None
    used_tokens: int = 0
    done: anyio.Event = field(default_factory=anyio.Event)

    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Store a complete answer."""
        self.status = status
        self.headers = headers
        self.body = body

    async def start_events(self, status: int, headers: Headers) -> None:
        """Store the head of a stream, whose parts are buffered."""
        self.status = status
        self.headers = headers

    async def chunk(self, part: bytes) -> None:
        """Store one part of a stream."""
        self.body += part

    async def end(self) -> None:
        """Do nothing at the end of a stream."""

    def outcome(self) -> Outcome:
        """Return the answer as an outcome to be recorded in the log."""
        names = {name.lower(): text for name, text in self.headers}
        content_type = names.get(b'content-type', b'').decode('latin-1')
        return make_outcome(self.status, content_type, self.body)

    def finish(self, default_refusal: Refusal, used_tokens: int) -> None:
        """Release the answer to the caller, or a refusal if there is none.

        Parameters
        ----------
        default_refusal : Refusal
            Used if there is neither an answer nor a refusal.
        used_tokens : int
        """
        self.used_tokens = used_tokens
        if not self.status and self.refusal is None:
            self.refusal = default_refusal
        self.done.set()

    async def send_to(self, reply: Reply) -> None:
        """Send the answer to the caller.

        Raises
        ------
        RefusedError
            If there is no answer.
        """
        if self.refusal is not None:
            raise RefusedError(self.refusal)
        await reply.whole(self.status, self.headers, self.body)


@dataclass(slots=True)
class ClaimedCallRun:
    """A claimed call, its claim and the answer that it fills."""

    claim: Claim
    call: Call
    answer: BufferedAnswer
