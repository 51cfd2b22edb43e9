"""Withdrawals of keys that hosts exchange before the log has them."""

from collections.abc import Callable

import anyio
import msgspec

from . import wire
from .answers import Refusal, RefusedError
from .calls import Calls
from .logs import Logger
from .messages import Call
from .peers import Peers
from .replica import Replica
from .types import HostId

NOTE_KIND = 'key_withdrawn'
# Long enough for an outage of the log to end and for the operator to repeat
# the withdrawal.
BLOCK_TTL_S = 3600.0
MAX_BLOCKED_KEYS = 10_000
_STATUS_UNAUTHORIZED = 401


class WithdrawalNote(msgspec.Struct, frozen=True):
    """Message about a withdrawn key from the host that an operator called.

    Attributes
    ----------
    key_id : str
    """

    key_id: str


class Withdrawals:
    """Blocks withdrawn keys, whether or not the log has the withdrawal.

    A withdrawal is permanent once the log has it. Until then, every host that
    receives the message about it rejects the key for `BLOCK_TTL_S`.

    Attributes
    ----------
    blocked : dict of str to float
        Time at which the block of a key ends, by the clock of the process;
        the dict is keyed by the digest of the key.
    """

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        calls: Calls,
        log: Logger,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.replica = replica
        self.peers = peers
        self.calls = calls
        self.log = log
        self.clock = clock
        self.blocked: dict[str, float] = {}
        peers.add_handler(wire.Note, self._receive_note)

    def block_on_all_hosts(self, key_id: str) -> None:
        """Block a key on this host and on every reachable peer."""
        self.block(key_id)
        content = msgspec.json.encode(WithdrawalNote(key_id))
        self.peers.broadcast(wire.Note(NOTE_KIND, content))

    def block(self, key_id: str) -> None:
        """Reject a key from now on, and cut the requests made with it."""
        digest = self.replica.state.catalogue.key_digests.get(key_id)
        if digest is None:
            return
        now = self.clock()
        self.blocked = {
            known: until for known, until in self.blocked.items() if until > now
        }
        if len(self.blocked) < MAX_BLOCKED_KEYS:
            self.blocked[digest] = now + BLOCK_TTL_S
        self.log('key_blocked', key=key_id)
        self.calls.cut(lambda call: call.key_digest == digest, _refusal())

    def check(self, call: Call) -> None:
        """Raise RefusedError for a request made with a blocked key."""
        until = self.blocked.get(call.key_digest)
        if until is not None and self.clock() < until:
            raise RefusedError(_refusal())

    def _receive_note(self, sender: HostId, message: wire.Note) -> None:
        if message.kind != NOTE_KIND:
            return
        try:
            note = msgspec.json.decode(message.content, type=WithdrawalNote)
        except msgspec.MsgspecError as error:
            self.log('note_malformed', peer=sender.name, reason=str(error))
            return
        self.block(note.key_id)


def _refusal() -> Refusal:
    return Refusal(
        'key_withdrawn',
        _STATUS_UNAUTHORIZED,
        'The key or its approval has been withdrawn.',
    )
