"""A small HTTP/1.1 server for stand-ins, which can also send faulty answers."""

import json
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

CHUNK_BYTES = 65_536
# Option for a socket to close at once, so that the peer receives a reset.
_LINGER_ZERO = struct.pack('ii', 1, 0)


@dataclass
class HttpRequest:
    """A request with its whole body.

    Attributes
    ----------
    method, path : str
    headers : dict of str to str
    body : bytes
    connection : int
        Identifies the open connection on which it was received.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    connection: int = 0


@dataclass
class Reply:
    """An answer, and how it is sent.

    Attributes
    ----------
    status : int
    body : bytes
        Empty if `events` are sent.
    headers : dict of str to str
    events : tuple of bytes
        Events that are sent one by one as chunks.
    gap_s : float
        Pause before each event.
    cut_after : int or None
        Number of events after which the connection is broken off.
    raw : bytes or None
        Bytes that are sent unchanged, instead of all else.
    on_end : callable or None
        Called when the answer has ended or was broken off.
    delay_s : float
        Pause before the answer begins, which ends early if the caller leaves.
    preceding : bytes
        Bytes that are sent right before the answer, such as a late copy of an
        earlier one.
    """

    status: int
    body: bytes = b''
    headers: dict[str, str] = field(default_factory=dict)
    events: tuple[bytes, ...] = ()
    gap_s: float = 0
    cut_after: int | None = None
    raw: bytes | None = None
    on_end: Callable[[], None] | None = None
    delay_s: float = 0
    preceding: bytes = b''

    @classmethod
    def json(cls, content: Any, status: int = 200) -> 'Reply':
        """Return an answer with a JSON body."""
        return cls(status, json.dumps(content).encode())


AnswerCall = Callable[[HttpRequest], Awaitable[Reply | None]]


async def serve_http(
    stream: SocketStream,
    answer_call: AnswerCall,
    idle_s: Callable[[], float] | None = None,
) -> None:
    """Serve requests on a connection until either side closes it.

    If `answer_call` returns None, the request is left without an answer. A
    connection that was idle for longer than the result of `idle_s` is reset
    when its next byte arrives, without earlier notice.
    """
    async with stream:
        connection = h11.Connection(h11.SERVER)
        try:
            while await _serve_one(stream, connection, answer_call):
                connection.start_next_cycle()
                if idle_s and await _reset_if_idle(stream, connection, idle_s):
                    return
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        except h11.ProtocolError:
            return


async def _reset_if_idle(
    stream: SocketStream,
    connection: h11.Connection,
    idle_s: Callable[[], float],
) -> bool:
    """Wait for the next request; reset the connection if it comes too late."""
    idle_since = time.monotonic()
    try:
        received = await stream.receive(CHUNK_BYTES)
    except anyio.EndOfStream:
        return True
    if time.monotonic() - idle_since > idle_s():
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        return True
    connection.receive_data(received)
    return False


async def _serve_one(
    stream: SocketStream,
    connection: h11.Connection,
    answer_call: AnswerCall,
) -> bool:
    request = await _read_request(stream, connection)
    if request is None:
        return False
    reply = await answer_call(request)
    if reply is None:
        await anyio.sleep_forever()
        return False
    try:
        if reply.delay_s:
            await _wait_for_answer(stream, connection, reply.delay_s)
        return await _send_reply(stream, connection, reply)
    finally:
        if reply.on_end is not None:
            reply.on_end()


async def _wait_for_answer(
    stream: SocketStream,
    connection: h11.Connection,
    delay_s: float,
) -> None:
    """Wait until the answer is due; raise an error if the caller leaves."""
    with anyio.move_on_after(delay_s):
        while True:
            try:
                received = await stream.receive(CHUNK_BYTES)
            except anyio.EndOfStream as closed:
                raise anyio.BrokenResourceError from closed
            connection.receive_data(received)


async def _read_request(
    stream: SocketStream,
    connection: h11.Connection,
) -> HttpRequest | None:
    request: h11.Request | None = None
    body = b''
    event = await _next_event(stream, connection)
    while not isinstance(event, h11.EndOfMessage):
        if isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        else:
            return None
        event = await _next_event(stream, connection)
    if request is None:
        return None
    return HttpRequest(
        request.method.decode(),
        request.target.decode('latin-1'),
        {
            name.decode(): text.decode('latin-1')
            for name, text in request.headers
        },
        body,
        id(connection),
    )


async def _next_event(stream: SocketStream, connection: h11.Connection) -> Any:
    event = connection.next_event()
    while event is h11.NEED_DATA:
        try:
            connection.receive_data(await stream.receive(CHUNK_BYTES))
        except anyio.EndOfStream:
            return None
        event = connection.next_event()
    return event


async def _send_reply(
    stream: SocketStream,
    connection: h11.Connection,
    reply: Reply,
) -> bool:
    if reply.preceding:
        await stream.send(reply.preceding)
    if reply.raw is not None:
        await stream.send(reply.raw)
        return False
    headers = list(reply.headers.items())
    if reply.events:
        headers.append(('transfer-encoding', 'chunked'))
    else:
        headers.append(('content-length', str(len(reply.body))))
    head = connection.send(
        h11.Response(status_code=reply.status, headers=headers),
    )
    await stream.send(head or b'')
    for number, event in enumerate(reply.events):
        if reply.cut_after is not None and number >= reply.cut_after:
            return False
        await anyio.sleep(reply.gap_s)
        await stream.send(connection.send(h11.Data(data=event)) or b'')
    if reply.body:
        await stream.send(connection.send(h11.Data(data=reply.body)) or b'')
    await stream.send(connection.send(h11.EndOfMessage()) or b'')
    return connection.our_state is not h11.MUST_CLOSE
