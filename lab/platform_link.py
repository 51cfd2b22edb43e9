"""A caller's connection to a host, kept for as long as the host allows."""

import time
from dataclasses import dataclass, field

import anyio
import h11
from anyio.abc import SocketStream

# For so long a connection is asked whether its other end has closed it.
_LOOK_S = 0.001


@dataclass
class Answer:
    """What a caller got; `is_whole` is False where it was cut."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


@dataclass(slots=True, eq=False)
class Link:
    """An open connection.

    Attributes
    ----------
    stream : SocketStream
    connection : h11.Connection
    asked : int
        How many requests were sent on it.
    whole_at : float or None
        When the last byte of the last one was sent.
    """

    stream: SocketStream
    connection: h11.Connection = field(
        default_factory=lambda: h11.Connection(h11.CLIENT),
    )
    asked: int = 0
    whole_at: float | None = None

    @classmethod
    async def open(cls, port: int) -> 'Link':
        """Connect to a port of the loopback."""
        return cls(await anyio.connect_tcp('127.0.0.1', port))

    async def ask(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b'',
        pause_s: float = 0,
    ) -> Answer:
        """Send a request, with a pause before its last byte if asked for.

        Raises
        ------
        BrokenResourceError
            If the connection was reset before the request was sent.
        """
        self.asked += 1
        self.whole_at = None
        connection = self.connection
        named = {'Host': 'x', 'Content-Length': str(len(body)), **headers}
        request = h11.Request(
            method=method, target=path, headers=list(named.items())
        )
        sent = connection.send(request) or b''
        sent += connection.send(h11.Data(data=body)) or b''
        sent += connection.send(h11.EndOfMessage()) or b''
        if pause_s:
            await self.stream.send(sent[:-1])
            await anyio.sleep(pause_s)
            sent = sent[-1:]
        await self.stream.send(sent)
        self.whole_at = time.monotonic()
        return await self._read_answer()

    def take_again(self) -> bool:
        """Return whether the next request may be sent; make ready for it."""
        if self.connection.our_state is not h11.DONE:
            return False
        if self.connection.their_state is not h11.DONE:
            return False
        self.connection.start_next_cycle()
        return True

    async def is_closed(self) -> bool:
        """Return whether the host has closed it, or sent what is no answer."""
        with anyio.move_on_after(_LOOK_S):
            try:
                await self.stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return True
            return True
        return False

    async def close(self) -> None:
        """Close it, also while a request is under way."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)

    async def _read_answer(self) -> Answer:
        status = 0
        headers: dict[str, str] = {}
        body = b''
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
                headers = {
                    name.decode(): found.decode()
                    for name, found in event.headers
                }
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            else:
                is_whole = isinstance(event, h11.EndOfMessage)
                return Answer(status, headers, body, is_whole)

    async def _next_event(self) -> h11.Event | None:
        """Return what comes next; None for a broken connection."""
        while True:
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError:
                return None
            if event is not h11.NEED_DATA:
                return event if isinstance(event, h11.Event) else None
            try:
                received = await self.stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                received = b''
            self.connection.receive_data(received)


async def get(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
) -> Answer:
    """Send one request on a connection of its own."""
    link = await Link.open(port)
    try:
        return await link.ask(method, path, headers, body)
    finally:
        await link.close()
