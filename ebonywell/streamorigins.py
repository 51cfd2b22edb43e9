"""Knows at which release of its targets each resumable stream began.

Each host remembers its own streams and tells the others on request. As all
hosts may be killed at once, the store answers for those that are gone: it names
one default release for each service, and each stream that began at another one,
written before its first event is forwarded. A stream that nobody knows began at
the default release, unless a host may have forgotten it. While one release
serves alone, nothing is written. All that is remembered lasts for as long as
the stream was granted when it began; see the package `origins`.

A store that comes back from an older copy has lost the newest records. Hosts
write theirs again, and record all streams until the lease holder states that
the store's records are complete: when all streams of which records may be lost
have ended. Until then the origin of a stream without a record is not known.
"""

from dataclasses import dataclass, field, replace

import anyio

from .clock import boot_time
from .digests import OriginMessage, OriginRequestMessage
from .exceptions import LogServiceError
from .fingerprints import stream_key
from .fleetview import FleetView
from .inbound import AdmittedRequest, RejectionError
from .inventory import Inventory
from .logs import Logger
from .origins.defaults import DefaultReleases
from .origins.granted import MIN_LIFE_S, RETURN_S
from .origins.memory import Origin, OriginMemory
from .questions import Questions
from .streamrecords import StreamRecords
from .targetlimits import Network

# Longest wait for the record of a stream; its caller waits for the first event.
RECORD_TIMEOUT_S = 0.8
# Time for a question and its answer between two availability zones.
PEER_TIMEOUT_S = 0.06
# Longest wait for the store's records of a stream to resume.
READ_TIMEOUT_S = 0.6
# Streams that a host remembers; those that end first are forgotten first. The
# store's records, which are never forgotten early, still tell them apart.
MAX_STREAMS = 20_000
# Streams in a host's record, at 20 bytes each; no more may begin at a release
# that needs a record.
MAX_RECORDED_STREAMS = 4_000
# Time after which a caller may ask again for a stream of unknown origin.
UNKNOWN_RETRY_S = 1.0
# Pause before records are written again that the store may have lost.
REWRITE_DELAY_S = 0.5
_UNAVAILABLE = 503


@dataclass(slots=True, eq=False)
class Batch:
    """Records that are written to the store together."""

    done: anyio.Event = field(default_factory=anyio.Event)
    is_written: bool = False


@dataclass(slots=True)
class StreamOrigins:
    """Origins of resumable streams.

    Attributes
    ----------
    records : StreamRecords
    fleet : FleetView
    inventory : Inventory
    network : Network
    defaults : DefaultReleases
    streams : OriginMemory
        This host's streams, by `stream_key`.
    recorded : OriginMemory
        Those that are written to the store.
    """

    records: StreamRecords
    fleet: FleetView
    inventory: Inventory
    network: Network
    defaults: DefaultReleases
    log: Logger
    streams: OriginMemory = field(
        default_factory=lambda: OriginMemory(MAX_STREAMS)
    )
    recorded: OriginMemory = field(
        default_factory=lambda: OriginMemory(MAX_RECORDED_STREAMS)
    )
    batch: Batch = field(default_factory=Batch)
    batch_wanted: anyio.Event = field(default_factory=anyio.Event)
    questions: Questions[str] = field(default_factory=Questions)

    # Streams that begin

    async def note_begun(self, request: AdmittedRequest, release: str) -> bool:
        """Remember at which release a stream begins, before its first event.

        Returns
        -------
        bool
            False if its origin could not be written to the store; then nothing
            of it may be forwarded.
        """
        origin = Origin(release, _end_of(request, boot_time()))
        key = stream_key(request, request.request_id)
        self.streams.put(key, origin)
        if not self._needs_record(request, key, release):
            if not self.defaults.is_complete:
                self._record(key, origin)
            return True
        is_written = False
        if self._record(key, origin):
            is_written = await self._wait_written()
        if not is_written:
            self.log(
                'origin_unwritten',
                request=request.request_id,
                release=release,
                recorded=len(self.recorded.origins),
            )
        return is_written

    async def write_records(self) -> None:
        """Write the records of streams to the store until cancelled."""
        while True:
            await self.batch_wanted.wait()
            batch = self.batch
            self.batch = Batch()
            self.batch_wanted = anyio.Event()
            try:
                await self.records.write(
                    {
                        stream: origin.release
                        for stream, origin in self.recorded.origins.items()
                    }
                )
                batch.is_written = True
            except LogServiceError as error:
                self.log('origins_unwritten', why=str(error))
            finally:
                batch.done.set()
            is_complete = batch.is_written or self.defaults.is_complete
            if self.defaults.era and not is_complete:
                # No caller waits for what is written again in a new era.
                await anyio.sleep(REWRITE_DELAY_S)
                self.batch_wanted.set()

    def note_era(self, era: int) -> None:
        """Write the records again if the store has lost the newest ones."""
        if not self.defaults.note_era(era):
            return
        # Those that need a record go first, then the newest.
        for stream, origin in reversed(self.streams.origins.items()):
            if self.recorded.has_room_for(stream):
                self.recorded.put(stream, origin)
        self.batch_wanted.set()
        streams = len(self.recorded.origins)
        self.log('origins_rewritten', era=era, streams=streams)

    # Streams that are resumed

    async def pin(self, request: AdmittedRequest) -> AdmittedRequest:
        """Return a request that resumes a stream, bound to its release.

        It goes before new requests, because few targets can serve it.

        Raises
        ------
        RejectionError
            If the release is not known, or none of its targets is left.
        """
        assert request.resumes is not None
        release, source = await self._find(request)
        if release is not None and source != 'default':
            self._note_resumed(request, release)
        known = {
            one.announcement.release
            for one in self.inventory.of_service(request.service)
        }
        self.log(
            'stream_taken_up',
            request=request.request_id,
            resumes=request.resumes,
            service=request.service,
            release=release,
            source=source,
            is_served=release in known,
        )
        if release is None:
            raise RejectionError(
                _UNAVAILABLE, 'origin_unknown', UNKNOWN_RETRY_S
            )
        if release not in known:
            # An earlier retry would be in vain.
            left_s = max(UNKNOWN_RETRY_S, request.deadline - boot_time())
            raise RejectionError(_UNAVAILABLE, 'origin_gone', left_s)
        return replace(request, release=release, rank=0)

    def receive(self, message: OriginRequestMessage | OriginMessage) -> None:
        """Handle a message from another host."""
        if isinstance(message, OriginMessage):
            self.questions.answer(message.number, message.release)
            return
        origin = self._recall(message.stream)
        sender = self.fleet.peers.get(message.sender)
        if origin is not None and sender is not None:
            reply = OriginMessage(message.number, origin.release)
            self.network.send(sender.address, reply)

    def note_targets(self, proven_at: float, now: float) -> None:
        """Record which releases serve, and forget streams that have ended."""
        self.defaults.note_targets(proven_at, now)
        self.streams.expire(now)
        self.recorded.expire(now)

    def _record(self, stream: bytes, origin: Origin) -> bool:
        """Have a stream written to the store, if there is room for it."""
        if not self.recorded.has_room_for(stream):
            return False
        self.recorded.put(stream, origin)
        self.batch_wanted.set()
        return True

    def _recall(self, stream: bytes) -> Origin | None:
        """Return the origin of one of this host's streams."""
        known = self.streams.origins.get(stream)
        return known or self.recorded.origins.get(stream)

    def _needs_record(
        self, request: AdmittedRequest, stream: bytes, release: str
    ) -> bool:
        """Return whether the store has to tell where a stream began."""
        # A record that an earlier attempt needed must be replaced.
        is_recorded = stream in self.recorded.origins
        return is_recorded or not self.defaults.is_default(
            request.service, release, boot_time()
        )

    def _note_resumed(self, request: AdmittedRequest, release: str) -> None:
        """Remember the origin of a stream for as long as it is resumed.

        An invented id has none, and takes no place.
        """
        assert request.resumes is not None
        key = stream_key(request, request.resumes)
        ends_at = _end_of(request, boot_time())
        if self._recall(key) is not None:
            self.streams.prolong(key, ends_at)
            self.recorded.prolong(key, ends_at)
            return
        origin = Origin(release, ends_at)
        self.streams.put(key, origin)
        needs_record = self._needs_record(request, key, release)
        if needs_record or not self.defaults.is_complete:
            self._record(key, origin)

    async def _wait_written(self) -> bool:
        """Wait until the next batch is written; return whether it was."""
        batch = self.batch
        with anyio.move_on_after(RECORD_TIMEOUT_S):
            await batch.done.wait()
        return batch.is_written

    async def _find(self, request: AdmittedRequest) -> tuple[str | None, str]:
        """Return the release at which a stream began, and who knows it."""
        if not request.resumes:
            return None, 'none'
        key = stream_key(request, request.resumes)
        origin = self._recall(key)
        if origin is not None:
            return origin.release, 'own'
        release = await self._ask_peers(key)
        if release is not None:
            return release, 'peer'
        try:
            with anyio.fail_after(READ_TIMEOUT_S):
                return await self._read_origin(request.service, key)
        except (LogServiceError, TimeoutError) as error:
            self.log(
                'origin_unread',
                request=request.request_id,
                why=repr(error),
            )
            return None, 'none'

    async def _ask_peers(self, stream: bytes) -> str | None:
        if not self.fleet.peers:
            return None

        def send(number: int) -> None:
            self.network.broadcast(
                OriginRequestMessage(self.fleet.own_name, number, stream)
            )

        return await self.questions.ask(send, PEER_TIMEOUT_S)

    async def _read_origin(
        self, service: str, stream: bytes
    ) -> tuple[str | None, str]:
        """Return the release of a stream by the store's records."""
        release = (await self.records.read()).get(stream)
        if release is not None:
            return release, 'store'
        return await self.defaults.find(service)


def _end_of(request: AdmittedRequest, now: float) -> float:
    """Return until when a stream may be resumed that a request begins."""
    return max(now + MIN_LIFE_S, request.deadline + RETURN_S)
