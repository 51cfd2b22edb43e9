"""Follows the records of a keyed topic, in the store or at another host."""

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import anyio

from .clock import boot_time
from .exceptions import LogGapError, LogServiceError
from .feedpages import RelayedPage
from .feedtail import FeedTail
from .logs import Logger
from .sharedstore import KeyedRecord, SharedStore
from .storeeras import OnEra
from .storereach import StoreReach, Witness

# Delays after a failed call are random, so that not all hosts call at once
# when the store recovers.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.8
BACKOFF_SPREAD = (0.5, 1.5)
# Other hosts are asked about an outage for this long after its end.
QUESTIONED_S = 3.0


@dataclass(slots=True, frozen=True)
class Feed:
    """What to follow, and how.

    Attributes
    ----------
    topic : str
    partition : int
    wait_s : float
        How long the store may hold a read while there is no record.
    pause_s : float
        Pause between two reads.
    expires : bool
        Whether records are deleted that are not written again in time.
    """

    topic: str
    partition: int
    wait_s: float
    pause_s: float
    expires: bool = False


@dataclass(slots=True)
class FeedState:
    """State of a feed.

    Attributes
    ----------
    offset : int or None
        Offset of the next record; None before the first full read.
    reach : StoreReach
    """

    offset: int | None = None
    reach: StoreReach = field(default_factory=StoreReach)

    @property
    def proven_at(self) -> float:
        """Time of the freshness proof."""
        return self.reach.proven_at


# Takes a topic and an offset; returns what another host knows from there on,
# or None if the store is to be read.
AskOthers = Callable[[str, int], Awaitable[RelayedPage | None]]
# Takes a topic and an offset; returns how long other hosts have been in touch
# with the store.
FindWitnesses = Callable[[str, int], Awaitable[Sequence[Witness]]]


async def ask_nobody(topic: str, offset: int) -> RelayedPage | None:
    """Return None; for a host that reads the store itself."""


async def find_nobody(topic: str, offset: int) -> Sequence[Witness]:
    """Return nothing; for a host that knows of no others."""
    return ()


@dataclass(slots=True, frozen=True)
class Relaying:
    """How a follower shares with other hosts.

    Attributes
    ----------
    ask : callable
    find_witnesses : callable
    on_read : callable
        Called with the topic after each read of the store.
    on_era : callable
        Called with the era that the store states, after each read of it.
    """

    ask: AskOthers = ask_nobody
    find_witnesses: FindWitnesses = find_nobody
    on_read: Callable[[str], None] = lambda topic: None
    on_era: OnEra = lambda era: None


class Follower:
    """Reads a feed and applies its records until cancelled.

    Attributes
    ----------
    state : FeedState
    tail : FeedTail
        What this host can tell others of the feed.
    relaying : Relaying
    apply_all : callable
        Called with the newest record of each key after a full read.
    apply : callable
        Called with new records as they arrive.
    """

    def __init__(
        self,
        store: SharedStore,
        feed: Feed,
        apply_all: Callable[[Sequence[KeyedRecord]], None],
        apply: Callable[[Sequence[KeyedRecord]], None],
        tail: FeedTail,
        log: Logger,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.feed = feed
        self.tail = tail
        self.relaying = Relaying()
        self.apply_all = apply_all
        self.apply = apply
        self.log = log
        self.rng = rng
        self.state = FeedState()
        self.backoff_s = INITIAL_BACKOFF_S

    async def run(self) -> None:
        """Read and apply records until cancelled."""
        while True:
            try:
                await self._read()
            except LogGapError as gap:
                self.log(
                    'history_lost',
                    topic=self.feed.topic,
                    first=gap.first_offset,
                )
                self.state.offset = None
            except LogServiceError as error:
                self._note_failed(error)
                await self._back_off()

    async def _read(self) -> None:
        """Read once, at another host or else in the store."""
        offset = self.state.offset
        if offset is None:
            await self._read_all()
        else:
            relayed = await self.relaying.ask(self.feed.topic, offset)
            if relayed is not None:
                self._apply_relayed(relayed)
                return
            await self._read_since(offset)
        self.backoff_s = INITIAL_BACKOFF_S
        await self._question_outage()
        await anyio.sleep(self.feed.pause_s)

    async def _read_all(self) -> None:
        sent_at = boot_time()
        feed = self.feed
        page = await self.store.read_newest(feed.topic, feed.partition)
        self._note_answer(sent_at)
        self.relaying.on_era(page.era)
        if page.era != self.state.reach.era:
            self._enter_era(page.era)
        self.apply_all(page.records)
        self.tail.replace_all(page.records, page.next_offset)
        self._note_read(page.next_offset, sent_at)

    async def _read_since(self, offset: int) -> None:
        sent_at = boot_time()
        feed = self.feed
        page = await self.store.read_since(
            feed.topic, feed.partition, offset, feed.wait_s
        )
        self._note_answer(sent_at)
        self.relaying.on_era(page.era)
        if page.era != self.state.reach.era:
            # The offset may stand for another record by now.
            self._enter_era(page.era)
            return
        if page.records:
            self.apply(page.records)
            self.tail.extend(page.records, page.next_offset)
        if page.is_last:
            proven_at = self._proof(sent_at, bool(page.records))
        else:
            proven_at = self.state.proven_at
        self._note_read(page.next_offset, proven_at)

    def _apply_relayed(self, relayed: RelayedPage) -> None:
        """Apply what another host told."""
        page = relayed.page
        proven_at = relayed.proven_at
        if proven_at is None:
            proven_at = self.state.proven_at
        self._note_answer(proven_at, relayed.witness)
        self._refute_outage(relayed.witness)
        if page.records:
            self.apply(page.records)
        self.tail.extend(page.records, page.next_offset)
        self._note_read(page.next_offset, proven_at)

    def _note_read(self, next_offset: int, proven_at: float) -> None:
        self.state.offset = next_offset
        reach = self.state.reach
        reach.proven_at = max(reach.proven_at, proven_at)
        self.relaying.on_read(self.feed.topic)

    def _proof(self, sent_at: float, has_records: bool) -> float:
        # A read that returns no record after its full wait proves that none
        # arrived until the end of the wait, not only until it was sent.
        if has_records or boot_time() - sent_at < self.feed.wait_s:
            return sent_at
        return sent_at + self.feed.wait_s

    def _note_failed(self, error: LogServiceError) -> None:
        if self.state.reach.note_failure(boot_time()):
            self.log(
                'store_lost',
                topic=self.feed.topic,
                why=str(error),
                offset=self.state.offset,
            )

    def _note_answer(
        self, proven_at: float, witness: Witness | None = None
    ) -> None:
        reach = self.state.reach
        failing_since = reach.failing_since
        now = boot_time()
        reach.note_answer(proven_at, now, witness)
        if failing_since is None or reach.failing_since is not None:
            return
        self.log(
            'store_regained',
            topic=self.feed.topic,
            away_s=now - failing_since,
            offset=self.state.offset,
            is_told=witness is not None,
            was_outage=reach.recovered_at > failing_since,
        )

    def _enter_era(self, era: int) -> None:
        """Start anew, as the store has come back from an older copy."""
        reach = self.state.reach
        self.log(
            'store_rolled_back',
            topic=self.feed.topic,
            era=era,
            era_before=reach.era,
            offset=self.state.offset,
        )
        if self.tail.first_offset is None:
            reach.era = era
            return
        reach.note_era(era, boot_time())
        self.state.offset = None
        self.tail.clear()

    async def _question_outage(self) -> None:
        """Ask another host whether the store was away, or only cut off."""
        offset = self.state.offset
        if not self.feed.expires or offset is None:
            return
        if boot_time() - self.state.reach.recovered_at > QUESTIONED_S:
            return
        for witness in await self.relaying.find_witnesses(
            self.feed.topic, offset
        ):
            self._refute_outage(witness)

    def _refute_outage(self, witness: Witness) -> None:
        if self.state.reach.refute_outage(witness):
            self.log('outage_refuted', topic=self.feed.topic)

    async def _back_off(self) -> None:
        low, high = BACKOFF_SPREAD
        await anyio.sleep(self.backoff_s * self.rng.uniform(low, high))
        self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)
