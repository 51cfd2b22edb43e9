"""Relays records of the log to hosts that cannot read the log."""

from collections.abc import Callable

import anyio
import msgspec

from . import wire
from .exceptions import MalformedFrameError, RecordError
from .logs import Logger
from .peers import Peers
from .replica import Replica
from .state import decode_state, encode_state
from .types import HostId

MAX_LOG_READ_AGE_S = 2.0
FETCH_INTERVAL_S = 0.1
MAX_RECORDS_PER_MESSAGE = 500


class Relay:
    """Fetches records from peers, and answers fetches of peers.

    Attributes
    ----------
    replica : Replica
    peers : Peers
    requested_at : float
        Time at which records were last requested, in seconds.
    """

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        log: Logger,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.replica = replica
        self.peers = peers
        self.log = log
        self.clock = clock
        self.requested_at: float = 0
        peers.add_handler(wire.Heartbeat, self._fetch_if_behind)
        peers.add_handler(wire.Fetch, self._answer_fetch)
        peers.add_handler(wire.LogRecords, self._receive_records)
        peers.add_handler(wire.StateCopy, self._receive_state)

    def _fetch_if_behind(
        self, sender: HostId, heartbeat: wire.Heartbeat
    ) -> None:
        now = self.clock()
        applied = self.replica.state.applied
        is_log_stale = now - self.replica.read_at > MAX_LOG_READ_AGE_S
        is_due = now - self.requested_at >= FETCH_INTERVAL_S
        if is_log_stale and is_due and heartbeat.applied > applied:
            self.requested_at = now
            self.peers.send(sender.name, wire.Fetch(applied + 1))

    def _answer_fetch(self, sender: HostId, fetch: wire.Fetch) -> None:
        tail = self.replica.tail
        if fetch.offset > self.replica.state.applied:
            return
        if not tail or tail[0].offset > fetch.offset:
            content = encode_state(self.replica.state)
            self.peers.send(sender.name, wire.StateCopy(content))
            return
        requested = [one for one in tail if one.offset >= fetch.offset]
        records = tuple(
            wire.LogRecord(one.offset, msgspec.json.encode(one.record))
            for one in requested[:MAX_RECORDS_PER_MESSAGE]
        )
        self.peers.send(sender.name, wire.LogRecords(records))

    def _receive_records(
        self, sender: HostId, message: wire.LogRecords
    ) -> None:
        before = self.replica.state.applied
        for record in message.records:
            # Another answer or the log may have provided the record already.
            if record.offset == self.replica.state.applied + 1:
                self.replica.apply(record.offset, _parse(record))
        self._note_progress(sender, before)

    def _receive_state(self, sender: HostId, message: wire.StateCopy) -> None:
        before = self.replica.state.applied
        try:
            copied = decode_state(message.content)
        except RecordError as error:
            self.log('state_unreadable', peer=sender, reason=str(error))
            return
        self.replica.replace_state(copied)
        self._note_progress(sender, before)

    def _note_progress(self, sender: HostId, before: int) -> None:
        applied = self.replica.state.applied
        if applied <= before:
            return
        self.log('records_relayed', peer=sender, first=before + 1, last=applied)
        peer = self.peers.known.get(sender.name)
        if peer is not None and applied >= peer.heartbeat.applied:
            self.replica.is_complete = True
        else:
            self.peers.send(sender.name, wire.Fetch(applied + 1))
        self.replica.notify()


def _parse(record: wire.LogRecord) -> object:
    try:
        return msgspec.json.decode(record.content)
    except msgspec.MsgspecError as error:
        raise MalformedFrameError(
            f'relayed record is not valid JSON: {error}'
        ) from error
