"""An answer that is held whole until its caller can be sent it."""

from dataclasses import dataclass, field

import anyio

from .answers import Refusal, RefusedError
from .messages import Call
from .oncecalls import Claim
from .onceonly import Outcome, make_outcome
from .reply import Headers, Reply


@dataclass(slots=True, eq=False)
class BufferedAnswer:
    """The answer to a call that goes on when its caller leaves.

    Attributes
    ----------
    is_started : bool
        Whether any of it has been sent, which never happens here.
    status : int
        0 until the answer is here.
    headers : list of (bytes, bytes)
    body : bytes
    refusal : Refusal or None
        Set if there is no answer.
    used_tokens : int
    done : anyio.Event
    """

    is_started: bool = False
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b''
    refusal: Refusal | None = None
    used_tokens: int = 0
    done: anyio.Event = field(default_factory=anyio.Event)

    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Take the answer."""
        self.status = status
        self.headers = headers
        self.body = body

    async def start_events(self, status: int, headers: Headers) -> None:
        """Take the start of a stream, which is then held whole."""
        self.status = status
        self.headers = headers

    async def chunk(self, part: bytes) -> None:
        """Take a part of a stream."""
        self.body += part

    async def end(self) -> None:
        """Take the end of a stream."""

    def outcome(self) -> Outcome:
        """Return the answer as it is recorded."""
        names = {name.lower(): text for name, text in self.headers}
        content_type = names.get(b'content-type', b'').decode('latin-1')
        return make_outcome(self.status, content_type, self.body)

    def finish(self, default_refusal: Refusal, used_tokens: int) -> None:
        """Let the caller have the answer, or a refusal if there is none."""
        self.used_tokens = used_tokens
        if not self.status and self.refusal is None:
            self.refusal = default_refusal
        self.done.set()

    async def send_to(self, reply: Reply) -> None:
        """Send the answer.

        Raises
        ------
        RefusedError
            If there is none.
        """
        if self.refusal is not None:
            raise RefusedError(self.refusal)
        await reply.whole(self.status, self.headers, self.body)


@dataclass(slots=True)
class ClaimedCallRun:
    """A call that was claimed, on its way to a target."""

    claim: Claim
    call: Call
    answer: BufferedAnswer
