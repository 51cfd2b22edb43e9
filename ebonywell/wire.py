"""The messages between entry processes, and their frames.

Frames hold the unpacked encoding of Cap'n Proto. With truncated packed input,
pycapnp aborts the process, so packed frames of unknown senders must not be
read.
"""

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any, TypeVar

import anyio
import capnp
import msgspec
from anyio.abc import ByteStream

from .exceptions import MalformedFrameError, PeerError

_MIB = 1024 * 1024
MAX_FRAME_MIB = 64
MAX_FRAME_BYTES = MAX_FRAME_MIB * _MIB
_LENGTH_BYTES = 4
_WORD_BYTES = 8
_READ_BYTES = 65536
# Pointers may refer to the same bytes repeatedly, so the reader stops after
# this many words.
_MAX_TRAVERSED_WORDS = 2 * MAX_FRAME_BYTES // _WORD_BYTES

_schema = capnp.load(str(Path(__file__).with_name('messages.capnp')))


class _Message(msgspec.Struct, frozen=True, rename='camel'):
    """Base class of all messages, whose fields messages.capnp defines."""


class Challenge(_Message, frozen=True):
    """First message of the accepting side."""

    nonce: bytes


class Hello(_Message, frozen=True):
    """Identity of the connecting side, with proof that it knows the secret."""

    name: str
    incarnation: str
    nonce: bytes
    proof: bytes


class Welcome(_Message, frozen=True):
    """Identity of the accepting side, with proof that it knows the secret."""

    name: str
    incarnation: str
    proof: bytes


class Heartbeat(_Message, frozen=True):
    """Periodic message of a host to each peer.

    Attributes
    ----------
    zone : str
    address : str
        Address for callers.
    peer_address : str
    leaving : bool
    applied : int
        Last offset of the log that the sender has applied.
    sent_at : float
        Time of sending, by the sender's monotonic clock.
    echo : float
        Latest `sent_at` that the sender received from the receiver.
    echo_of : str
        Incarnation of the receiver that sent it; empty if none.
    fresh_age, log_age : float
        Age of the sender's freshness proof, and of the part that is from
        the log alone, in seconds.
    """

    zone: str
    address: str
    peer_address: str
    leaving: bool
    applied: int
    sent_at: float
    echo: float
    echo_of: str
    fresh_age: float
    log_age: float


class Fetch(_Message, frozen=True):
    """Request for the records of the log from an offset on."""

    offset: int


class LogRecord(_Message, frozen=True):
    """One record of the log, as JSON."""

    offset: int
    content: bytes


class LogRecords(_Message, frozen=True):
    """Consecutive records of the log."""

    records: tuple[LogRecord, ...]


class StateCopy(_Message, frozen=True):
    """Complete state, as encoded by the `state` module."""

    content: bytes


class Transfer(_Message, frozen=True):
    """Totals that the sender has given the receiver, and what it requests.

    Attributes
    ----------
    workspace : str
    cap, tokens : int
        Totals given in this epoch, see `shares.Counters`.
    want : int
        Number of requested tokens; 0 in an answer or a notice.
    urgent : bool
        Whether the receiver is to give all its tokens, as for a queued request
        that needs more than one host's cap.
    spare : int
        Tokens that the sender could give.
    """

    workspace: str
    cap: int
    tokens: int
    want: int
    urgent: bool
    spare: int


class Transfers(_Message, frozen=True):
    """Transfers of several workspaces within one epoch."""

    epoch: int
    items: tuple[Transfer, ...]


class Note(_Message, frozen=True):
    """A message of another service, in that service's own encoding."""

    kind: str
    content: bytes


Message = (
    Challenge
    | Hello
    | Welcome
    | Heartbeat
    | Fetch
    | LogRecords
    | StateCopy
    | Transfers
    | Note
)
_CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)
_Wanted = TypeVar('_Wanted')

_KINDS: Mapping[str, type[Message]] = MappingProxyType(
    {
        'challenge': Challenge,
        'hello': Hello,
        'welcome': Welcome,
        'heartbeat': Heartbeat,
        'fetch': Fetch,
        'logRecords': LogRecords,
        'stateCopy': StateCopy,
        'transfers': Transfers,
        'note': Note,
    }
)
_NAMES: Mapping[type[Message], str] = MappingProxyType(
    {kind: name for name, kind in _KINDS.items()}
)


def encode(message: Message) -> bytes:
    """Return a message as a frame with its length."""
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    envelope = _schema.Envelope.new_message(**{_NAMES[type(message)]: fields})
    content: bytes = envelope.to_bytes()
    return len(content).to_bytes(_LENGTH_BYTES, 'big') + content


def decode(content: bytes) -> Message:
    """Return the message of a frame without its length.

    Raises
    ------
    MalformedFrameError
        If the bytes are not a valid message.
    """
    try:
        return _decode(content)
    except (capnp.KjException, ValueError, KeyError) as error:
        # msgspec's ValidationError is a ValueError.
        reason = str(error).partition('\n')[0]
        raise MalformedFrameError(reason) from error


def _decode(content: bytes) -> Message:
    opened = _schema.Envelope.from_bytes(
        content,
        traversal_limit_in_words=_MAX_TRAVERSED_WORDS,
    )
    with opened as envelope:
        name = str(envelope.which())
        fields: Any = getattr(envelope, name).to_dict(verbose=True)
        return msgspec.convert(fields, _KINDS[name], builtin_types=(bytes,))


def expect(message: Message, kind: type[_Wanted]) -> _Wanted:
    """Return the message if it has the expected type.

    Raises
    ------
    PeerError
        If the message has another type.
    """
    if not isinstance(message, kind):
        raise PeerError(f'unexpected message of type {type(message).__name__}')
    return message


class FrameReader:
    """Reads messages from a byte stream.

    Attributes
    ----------
    stream : ByteStream
    max_bytes : int
        Maximum length of an accepted frame.
    buffered : bytearray
    """

    def __init__(self, stream: ByteStream, max_bytes: int) -> None:
        self.stream = stream
        self.max_bytes = max_bytes
        self.buffered = bytearray()

    async def read(self) -> Message:
        """Return the next message.

        Raises
        ------
        PeerError
            If the frame is malformed or the connection has ended.
        """
        length = int.from_bytes(await self._read_bytes(_LENGTH_BYTES), 'big')
        if length > self.max_bytes:
            raise MalformedFrameError(f'frame of {length} bytes is too long')
        return decode(await self._read_bytes(length))

    async def _read_bytes(self, count: int) -> bytes:
        while len(self.buffered) < count:
            try:
                self.buffered += await self.stream.receive(_READ_BYTES)
            except _CONNECTION_ERRORS as error:
                raise PeerError(f'connection ended: {error!r}') from error
        content = bytes(self.buffered[:count])
        del self.buffered[:count]  # noqa: WPS420 - the idiom for bytearrays
        return content
