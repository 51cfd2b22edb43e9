"""Messages between hosts, each of which fits in one datagram."""

import msgspec

from .exceptions import MalformedFrameError
from .pace.observations import Observation

# Loads and counts are useful only while they are fresh: the choice of a target
# and the limits both assume a delay of this length.
DIGEST_PERIOD_S = 0.2


class LoadShare(msgspec.Struct, frozen=True, array_like=True):
    """Work that one host has on one target; see `TargetLoad`."""

    target: str
    waiting_tokens: dict[int, int]
    waiting: int
    running: int
    held_tokens: int


class UsageShare(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that one host has admitted for one workspace.

    Attributes
    ----------
    workspace : str
    parts : tuple of int
        Tokens in each of the equal parts of the limits' window, newest first.
    recent_rate : int
        Tokens per second, over the last second.
    """

    workspace: str
    parts: tuple[int, ...]
    recent_rate: int

    @property
    def in_window(self) -> int:
        """Number of tokens in the whole window."""
        return sum(self.parts)


class ModelDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of one host's callers for one model.

    Attributes
    ----------
    service, model : str
    work_ms : int
        Engine time demanded, in milliseconds per second.
    waiting : int
        Requests that wait on this host because no target holds the model.
    """

    service: str
    model: str
    work_ms: int
    waiting: int


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Periodic report of one host to all others, sent several times a second.

    Attributes
    ----------
    name : str
    life : int
        Number of the host's last start, see `roster.life_of`; it only grows.
    number : int
        Number of this digest within that life.
    address, caller_address, zone : str
    is_ready : bool
    config_version : int
    fence : int
        Fencing number of the lease that the host claimed; 0 if it has none.
    is_proven : bool
        Whether the host renewed its lease recently.
    is_ordering : bool
        Whether the host gives orders under the lease.
    lease_end : int
        End of the lease's partition after the last renewal.
    loads, usage : tuple
    reaches_targets : bool
        False if the host seems to be cut off from the targets.
    observations : tuple of Observation
        Those of the last second, the newest first; see `pace.sharing`.
    observation_ages : tuple of int
        Their ages when the digest was made, in hundredths of a second.
    remembers_granted : bool
        Whether the host remembers each stream for as long as it was granted.
        Those of earlier builds don't say so, and forget it after
        `origins.granted.MIN_LIFE_S`.
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
    reaches_targets: bool = True
    observations: tuple[Observation, ...] = ()
    observation_ages: tuple[int, ...] = ()
    remembers_granted: bool = False


class HolderStatus(msgspec.Struct, frozen=True, array_like=True):
    """The lease fields of a holder's digest.

    It is small enough for every datagram, whatever else the datagram holds.
    """

    fence: int
    number: int
    is_proven: bool
    is_ordering: bool
    lease_end: int
    name: str = ''

    def is_newer(self, other: 'HolderStatus | None') -> bool:
        """Return whether it is newer than another status, or the first."""
        if other is None:
            return True
        return (self.fence, self.number) > (other.fence, other.number)


class CrashMessage(msgspec.Struct, frozen=True, array_like=True, tag='x'):
    """What a host knows of one crash of a target; see `blame.Crash`.

    Attributes
    ----------
    target : str
    born : int
    age_s : float
        Time since the crash was noted, in seconds.
    traits, tried, begun, cleared : tuple of int
    """

    target: str
    born: int
    age_s: float
    traits: tuple[int, ...] = ()
    tried: tuple[int, ...] = ()
    begun: tuple[int, ...] = ()
    cleared: tuple[int, ...] = ()


class StatementMessage(msgspec.Struct, frozen=True, array_like=True, tag='s'):
    """What a target stated about itself; see `statements`.

    Attributes
    ----------
    target : str
    born : int
    age_s : float
        Time since the answer was received, in seconds.
    rate_limit : float or None
    service : str
    cold_left_s : float
        Time for which the target is still cold, 0 if that is not known.
    cold_age_s : float
        Time since the announcement was read that says so.
    """

    target: str
    born: int
    age_s: float
    rate_limit: float | None = None
    service: str = ''
    cold_left_s: float = 0
    cold_age_s: float = 0


class PermitRequestMessage(
    msgspec.Struct, frozen=True, array_like=True, tag='p'
):
    """Asks for permission to send a request to a target with a limit.

    Attributes
    ----------
    sender : str
    number : int
        Identifies the answer to the sender.
    statement : StatementMessage
        What the sender knows of the target.
    max_wait_s : float
        How long the request can wait.
    """

    sender: str
    number: int
    statement: StatementMessage
    max_wait_s: float


class PermitMessage(msgspec.Struct, frozen=True, array_like=True, tag='g'):
    """Grants or denies permission to send a request.

    Attributes
    ----------
    number : int
    is_granted : bool
    due_s : float
        Time until the request, or the next one, is due, in seconds.
    """

    number: int
    is_granted: bool
    due_s: float


class PauseMessage(msgspec.Struct, frozen=True, array_like=True, tag='z'):
    """Tells all hosts that a target has rejected a request for want of room.

    Attributes
    ----------
    target : str
    born : int
    pause_s : float
        Time for which hosts leave it alone, in seconds.
    """

    target: str
    born: int
    pause_s: float


class OriginRequestMessage(
    msgspec.Struct, frozen=True, array_like=True, tag='o'
):
    """Asks all hosts at which release a stream began; see `stream_key`."""

    sender: str
    number: int
    stream: bytes


class OriginMessage(msgspec.Struct, frozen=True, array_like=True, tag='b'):
    """Tells the sender of a request at which release a stream began."""

    number: int
    release: str


class FeedQuestionMessage(
    msgspec.Struct, frozen=True, array_like=True, tag='f'
):
    """Asks a host what is new in a topic that it follows.

    Attributes
    ----------
    sender : str
    number : int
        Identifies the answer to the sender.
    topic : str
    offset : int
        Offset of the next record that the sender needs.
    wait_s : float
        How long the host may hold the question while nothing is new.
    """

    sender: str
    number: int
    topic: str
    offset: int
    wait_s: float


class FeedAnswerMessage(msgspec.Struct, frozen=True, array_like=True, tag='e'):
    """Tells what is new in a topic, and how old that knowledge is.

    Attributes
    ----------
    number : int
    next_offset : int
        Offset of the next record that the answering host needs itself.
    told_offset : int
        All changes before this offset are in `changes`. If it is the offset
        of the question although `next_offset` is greater, the changes are not
        known, or too large.
    proof_age_s : float
        Time since the topic was known to end at `next_offset`, when the answer
        was sent.
    held_s : float
        Time for which the question was held.
    reached_for_s : float
        How long the host has been in touch with the store.
    changes : bytes
        Packed records; see `feedpages.pack_records`.
    era : int
        Era of the store to which the offsets belong.
    """

    number: int
    next_offset: int
    told_offset: int
    proof_age_s: float
    held_s: float
    reached_for_s: float
    changes: bytes = b''
    era: int = 0


class TrialMessage(msgspec.Struct, frozen=True, array_like=True, tag='t'):
    """A host's claim to run a suspect request, or its end; see `trials`.

    Attributes
    ----------
    sender : str
    traits : tuple of int
    is_over : bool
    """

    sender: str
    traits: tuple[int, ...]
    is_over: bool = False


class DigestMessage(msgspec.Struct, frozen=True, array_like=True, tag='d'):
    """A host's own digest, and what it relays from other hosts.

    Attributes
    ----------
    own : Digest
    relayed : tuple of Digest
        Digests of other hosts.
    holder : HolderStatus or None
        Newest holder status that the sender knows.
    digest_numbers : tuple of (int, int)
        Lives of other hosts with the numbers of their newest digests.
    reports : tuple of CrashMessage or StatementMessage
        Some of what the sender knows of crashes and of targets' statements.
    """

    own: Digest
    relayed: tuple[Digest, ...] = ()
    holder: HolderStatus | None = None
    digest_numbers: tuple[tuple[int, int], ...] = ()
    reports: tuple[CrashMessage | StatementMessage, ...] = ()


class LoadRequestMessage(msgspec.Struct, frozen=True, array_like=True, tag='w'):
    """Load request to the lease holder; see `adapterloads.LoadRequest`."""

    sender: str
    service: str
    model: str
    adapter: str = ''
    target: str = ''
    release: str | None = None


class LoadingMessage(msgspec.Struct, frozen=True, array_like=True, tag='c'):
    """Reply to a host's load request: a load of the model is under way.

    Attributes
    ----------
    service, model : str
    left_s : float
        Expected time until it is loaded, in seconds; 0 if unknown.
    """

    service: str
    model: str
    left_s: float = 0


class DemandMessage(msgspec.Struct, frozen=True, array_like=True, tag='a'):
    """Demand of one host's callers for engines, sent only to the lease holder.

    Attributes
    ----------
    sender : str
    demand : tuple of ModelDemand
    adapters : tuple of str
        Adapters used in the last second, as ``model/adapter``.
    runs : dict of str to tuple of str
        Models and adapters (``model/adapter``) in use by the host's requests,
        by target.
    """

    sender: str
    demand: tuple[ModelDemand, ...] = ()
    adapters: tuple[str, ...] = ()
    runs: dict[str, tuple[str, ...]] = msgspec.field(default_factory=dict)


class ResidentMessage(msgspec.Struct, frozen=True, array_like=True, tag='r'):
    """What a target holds, as the lease holder reports it.

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
    """Return the holder status in a digest, None if it names no lease."""
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
    | CrashMessage
    | StatementMessage
    | PauseMessage
    | PermitRequestMessage
    | PermitMessage
    | OriginRequestMessage
    | OriginMessage
    | FeedQuestionMessage
    | FeedAnswerMessage
    | TrialMessage
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message as the content of one datagram."""
    return _ENCODER.encode(message)


def decode_message(datagram: bytes) -> Message:
    """Decode the message in a datagram.

    Raises
    ------
    MalformedFrameError
        If the datagram holds no valid message.
    """
    try:
        return _DECODER.decode(datagram)
    except msgspec.MsgspecError as error:
        raise MalformedFrameError(str(error)) from error
