"""Records of resumable streams and of default releases in the shared store."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from .clock import boot_time
from .exceptions import LogRefusedError, LogServiceError
from .logs import Logger
from .origins.granted import LifeStatement, read_statement
from .sharedstore import KeyedRecord, SharedStore

# Partitions of the hosts' own topic.
STREAMS_PARTITION = 3
DEFAULTS_PARTITION = 4
# A write without an answer may still be done for this long.
MAX_WRITE_DELAY_S = 15.0
# Key of the last era whose records are complete, among the default releases;
# no service bears this name.
COMPLETE_ERA_KEY = '/complete-era'
# Key of the lease holder's `LifeStatement`. Hosts of earlier builds take it for
# a service that they don't know.
STREAM_LIFE_KEY = '/stream-life'
# Entry in a record of streams that says how new the record is. The keys of
# streams are longer.
_NUMBER_ENTRY = b''
_DECODER = msgspec.msgpack.Decoder(dict[bytes, str])
_NO_STREAMS = msgspec.msgpack.encode({})


@dataclass(slots=True, frozen=True)
class RecordedDefaults:
    """Default releases of all services.

    Attributes
    ----------
    releases : dict of str to str
    is_complete : bool
        Whether the store holds a record of each stream that needs one. After
        it has lost records, it does once these streams have ended.
    era : int
        Era of the store.
    end : int
        End of the partition.
    statement : LifeStatement or None
    """

    releases: Mapping[str, str]
    is_complete: bool
    era: int
    end: int
    statement: LifeStatement | None


@dataclass(slots=True)
class StreamRecords:
    """Writes the records of this host's streams, and reads those of all.

    All streams of a host are in one record, and each write replaces it. A write
    without an answer may be done after a later one, so its key is not used
    again, and is deleted once the write can't be done any more.

    Attributes
    ----------
    store : SharedStore
    topic : str
    name : str
        Name of this host.
    life : callable
        Returns the store offset of this host's start, None before it joined.
    number : int
        Number of the key in use.
    abandoned : dict of str to float
        When the last write to a key that is no longer used was sent.
    """

    store: SharedStore
    topic: str
    name: str
    life: Callable[[], int | None]
    log: Logger
    number: int = 0
    abandoned: dict[str, float] = field(default_factory=dict)

    async def write(self, releases: Mapping[bytes, str]) -> None:
        """Replace the record of this host's streams.

        Raises
        ------
        LogServiceError
            If the record may not have been written.
        """
        life = self.life()
        if life is None:
            raise LogServiceError('this host has not joined')
        # The streams of an earlier life of this host have their own record.
        parts = [self.name, str(life)]
        streams = dict(releases)
        if self.number:
            parts.append(str(self.number))
            streams[_NUMBER_ENTRY] = str(self.number)
        key = '/'.join(parts)
        sent_at = boot_time()
        ended = [
            one
            for one, at in self.abandoned.items()
            if sent_at - at >= MAX_WRITE_DELAY_S
        ]
        deletions = [(one, None) for one in ended]
        body = msgspec.msgpack.encode(streams)
        try:
            await self.store.append(
                self.topic, STREAMS_PARTITION, (*deletions, (key, body))
            )
        except LogRefusedError:
            raise
        except LogServiceError:
            self.abandoned[key] = sent_at
            self.number += 1
            raise
        for one in ended:
            self.abandoned.pop(one)

    async def read(self) -> dict[bytes, str]:
        """Return the releases at which recorded streams began, for all hosts.

        They are keyed by `stream_key`.
        """
        page = await self.store.read_newest(self.topic, STREAMS_PARTITION)
        by_number = sorted(
            (self._decode(record) for record in page.records),
            key=lambda numbered: numbered[0],
        )
        releases: dict[bytes, str] = {}
        for _, streams in by_number:
            releases.update(streams)
        return releases

    async def read_defaults(self) -> RecordedDefaults:
        """Return the default releases."""
        page = await self.store.read_newest(self.topic, DEFAULTS_PARTITION)
        releases = {
            one.key: one.value.decode()
            for one in page.records
            if one.value is not None
        }
        complete_era = releases.pop(COMPLETE_ERA_KEY, '0')
        statement = read_statement(releases.pop(STREAM_LIFE_KEY, ''))
        return RecordedDefaults(
            releases,
            complete_era == str(page.era),
            page.era,
            page.next_offset,
            statement,
        )

    async def write_default(self, key: str, content: str, end: int) -> None:
        """Write a default release, if the partition still ends there."""
        record = (key, content.encode())
        await self.store.append(self.topic, DEFAULTS_PARTITION, (record,), end)

    def _decode(self, record: KeyedRecord) -> tuple[int, dict[bytes, str]]:
        try:
            streams = _DECODER.decode(record.value or _NO_STREAMS)
            return int(streams.pop(_NUMBER_ENTRY, '0')), streams
        except (msgspec.MsgspecError, ValueError) as error:
            self.log('origins_unreadable', key=record.key, why=str(error))
            return 0, {}
