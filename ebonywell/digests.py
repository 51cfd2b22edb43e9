"""What hosts tell each other, as messages of one datagram each."""

import msgspec

from .exceptions import MalformedFrameError


class LoadShare(msgspec.Struct, frozen=True, array_like=True):
    """The work that one host has on one target; see `TargetLoad`."""

    target: str
    waiting_tokens: dict[int, int]
    waiting: int
    running: int
    held_tokens: int


class UsageShare(msgspec.Struct, frozen=True, array_like=True):
    """What one host admitted for one workspace.

    Attributes
    ----------
    workspace : str
    parts : tuple of int
        Tokens in the limits' window, by equal parts of it, the newest first.
    recent_rate : int
        Tokens a second, over the last second.
    """

    workspace: str
    parts: tuple[int, ...]
    recent_rate: int

    @property
    def in_window(self) -> int:
        """Tokens in the whole window."""
        return sum(self.parts)


class ModelDemand(msgspec.Struct, frozen=True, array_like=True):
    """What one host's callers ask of one model.

    Attributes
    ----------
    service, model : str
    work_ms : int
        Work of an engine, in milliseconds for each second.
    waiting : int
        Requests that wait here because no target holds the model.
    """

    service: str
    model: str
    work_ms: int
    waiting: int


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """What one host tells all others several times a second.

    Attributes
    ----------
    name : str
    life : int
        The store's offset of its last start; it only grows.
    number : int
        Of this digest in that life.
    address, caller_address, zone : str
    is_ready : bool
    config_version : int
    fence : int
        Of the lease that it claimed; 0 while it has none.
    is_proven : bool
        Whether its lease was renewed of late.
    is_ordering : bool
        Whether it gives orders under the lease.
    lease_end : int
        Where the lease's partition ended after the last renewal.
    loads, usage : tuple
    """

    name: str
    life: int
    number: int
    address: str
    caller_address: str
    zone: str
    is_ready: bool
    config_version: int
    fence: int
    is_proven: bool
    is_ordering: bool
    lease_end: int
    loads: tuple[LoadShare, ...] = ()
    usage: tuple[UsageShare, ...] = ()


class HolderStatus(msgspec.Struct, frozen=True, array_like=True):
    """The part of a digest that tells of the lease, if its sender holds it.

    Small enough for every datagram, whatever else is in it.
    """

    fence: int
    number: int
    is_proven: bool
    is_ordering: bool
    lease_end: int
    name: str = ''

    def is_newer(self, other: 'HolderStatus | None') -> bool:
        """Return whether it came later than another, or is the first."""
        if other is None:
            return True
        return (self.fence, self.number) > (other.fence, other.number)


class DigestMessage(msgspec.Struct, frozen=True, array_like=True, tag='d'):
    """A host's own digest, and what it passes on.

    Attributes
    ----------
    own : Digest
    relayed : tuple of Digest
        Of other hosts.
    holder : HolderStatus or None
        The newest.
    digest_numbers : tuple of (int, int)
        The lives of other hosts and the numbers of their newest digests.
    """

    own: Digest
    relayed: tuple[Digest, ...] = ()
    holder: HolderStatus | None = None
    digest_numbers: tuple[tuple[int, int], ...] = ()


class LoadRequestMessage(msgspec.Struct, frozen=True, array_like=True, tag='w'):
    """Asks the holder of the lease for a model or an adapter."""

    sender: str
    service: str
    model: str
    adapter: str = ''
    target: str = ''


class LoadingMessage(msgspec.Struct, frozen=True, array_like=True, tag='c'):
    """Tells a host that asked for a model that a load of it is under way."""

    service: str
    model: str


class DemandMessage(msgspec.Struct, frozen=True, array_like=True, tag='a'):
    """What one host's callers ask of the engines, for the holder alone.

    Attributes
    ----------
    sender : str
    demand : tuple of ModelDemand
    adapters : tuple of str
        Used in the last second, as ``model/adapter``.
    runs : dict of str to tuple of str
        Models, and ``model/adapter``, that its requests run on, by target.
    """

    sender: str
    demand: tuple[ModelDemand, ...] = ()
    adapters: tuple[str, ...] = ()
    runs: dict[str, tuple[str, ...]] = msgspec.field(default_factory=dict)


class ResidentMessage(msgspec.Struct, frozen=True, array_like=True, tag='r'):
    """What a target holds, by the word of the holder of the lease.

    Attributes
    ----------
    target : str
    born : int
    order_count : int
    models : dict of str to tuple of str
        Adapters by model.
    """

    target: str
    born: int
    order_count: int
    models: dict[str, tuple[str, ...]]


def holder_status(digest: Digest) -> HolderStatus | None:
    """Return what a digest tells of the lease that its sender holds."""
    if not digest.fence:
        return None
    return HolderStatus(
        digest.fence,
        digest.number,
        digest.is_proven,
        digest.is_ordering,
        digest.lease_end,
        digest.name,
    )


Message = (
    DigestMessage
    | LoadRequestMessage
    | LoadingMessage
    | DemandMessage
    | ResidentMessage
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return a message as one datagram."""
    return _ENCODER.encode(message)


def decode_message(datagram: bytes) -> Message:
    """Return the message in a datagram.

    Raises
    ------
    MalformedFrameError
        If there is none.
    """
    try:
        return _DECODER.decode(datagram)
    except msgspec.MsgspecError as error:
        raise MalformedFrameError(str(error)) from error
