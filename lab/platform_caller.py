"""HTTP client of a day's callers, which records cuts and resets."""

import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import anyio
import h11
from anyio.abc import SocketStream

# Time to wait for the other end to close a connection.
_CLOSE_CHECK_S = 0.001


@dataclass
class Answer:
    """An answer to a caller; `is_whole` is False if it was cut."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


@dataclass
class Caller:
    """A caller that sends its requests on one connection.

    Attributes
    ----------
    stream : SocketStream
    connection : h11.Connection
    before_end : callable or None
        Awaited before the last byte of a request's body is sent.
    read_bytes : int
        Most bytes of an answer that are read at once.
    read_interval_s : float
        Pause before each read.
    request_count : int
        Requests that were sent so far.
    fully_sent_at : float or None
        When the last byte of the last request was sent.
    is_reset : bool
        Whether the host reset the connection before an answer's end.
    """

    stream: SocketStream
    connection: h11.Connection = field(
        default_factory=lambda: h11.Connection(h11.CLIENT),
    )
    before_end: Callable[[], Awaitable[None]] | None = None
    read_bytes: int = 65_536
    read_interval_s: float = 0
    request_count: int = 0
    fully_sent_at: float | None = None
    is_reset: bool = False

    @classmethod
    async def open(cls, port: int) -> 'Caller':
        """Connect to a port on loopback.

        Raises
        ------
        OSError
            If no process listens there.
        """
        return cls(await anyio.connect_tcp('127.0.0.1', port))

    async def ask(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes = b'',
    ) -> Answer:
        """Send a request and return its answer."""
        self.request_count += 1
        self.fully_sent_at = None
        if self.connection.our_state is h11.DONE:
            self.connection.start_next_cycle()
        all_headers = {'Host': 'x', 'Content-Length': str(len(body)), **headers}
        request = h11.Request(
            method=method, target=path, headers=list(all_headers.items())
        )
        head = self.connection.send(request) or b''
        try:
            await self._send(head, body)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return Answer(0, {}, b'', is_whole=False)
        self.fully_sent_at = time.monotonic()
        return await self._read_answer()

    async def is_closed(self) -> bool:
        """Return whether the host has closed the connection or sent data."""
        with anyio.move_on_after(_CLOSE_CHECK_S):
            try:
                await self.stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return True
            return True
        return False

    async def close(self) -> None:
        """Close the connection, even while a request is in flight."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)

    async def _send(self, head: bytes, body: bytes) -> None:
        last = body
        if self.before_end is not None:
            last = body[-1:]
            data = self.connection.send(h11.Data(data=body[:-1]))
            await self.stream.send(head + (data or b''))
            await self.before_end()
            head = b''
        data = self.connection.send(h11.Data(data=last)) or b''
        end = self.connection.send(h11.EndOfMessage()) or b''
        await self.stream.send(head + data + end)

    async def _read_answer(self) -> Answer:
        answer = Answer(0, {}, b'', is_whole=False)
        while True:
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError:
                return answer
            if event is h11.NEED_DATA:
                self.connection.receive_data(await self._receive())
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {
                    name.decode(): text.decode() for name, text in event.headers
                }
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
            else:
                answer.is_whole = isinstance(event, h11.EndOfMessage)
                return answer

    async def _receive(self) -> bytes:
        if self.read_interval_s:
            await anyio.sleep(self.read_interval_s)
        try:
            return await self.stream.receive(self.read_bytes)
        except anyio.EndOfStream:
            return b''
        except anyio.BrokenResourceError:
            self.is_reset = True
            return b''


@contextlib.asynccontextmanager
async def connect(port: int) -> AsyncIterator[Caller]:
    """Open a connection to a port on loopback, and close it at the end."""
    async with await anyio.connect_tcp('127.0.0.1', port) as stream:
        yield Caller(stream)


async def request_once(
    port: int,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes = b'',
) -> Answer:
    """Send one request on a new connection."""
    async with connect(port) as caller:
        return await caller.ask(method, path, headers, body)
