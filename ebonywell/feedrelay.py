"""Lets few hosts read the shared store, and the others ask them.

A host asks a reader of its availability zone what is new in a topic. The reader
holds the question for a moment if nothing is, so a change is passed on at once.
No clock is compared between hosts: an answer states ages only, and counts as
given right after its question was sent and held. It may arrive late, but it
never makes a host believe that its knowledge is newer than it is.

What does not fit into a datagram, such as a configuration, is read from the
store by each host. So no host can give another one a false configuration.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio
import msgspec

from .clock import boot_time
from .digests import FeedAnswerMessage, FeedQuestionMessage, Message
from .feedpages import (
    ANSWER_TIMEOUT_S,
    HOLD_S,
    RelayedPage,
    pack_records,
    read_answer,
)
from .feedreaders import order_readers, order_witnesses, pick_readers
from .feedtail import FeedTail
from .fleetview import FleetView, Peer
from .logs import Logger
from .questions import Questions
from .storereach import StoreReach, Witness

# Readers that a host asks before it reads the store itself.
MAX_ASKED = 2
# Hosts that are asked at once whether the store was away.
MAX_WITNESSES = 3
# A reader that did not answer is not asked again for this long.
AVOID_S = 3.0
# If a reader's proof is older than this, the reader seems to be cut off from
# the store, and the hosts that ask it try the store themselves now and then.
MAX_PROOF_AGE_S = 1.2
# Longest time until a host tries that first.
FIRST_OWN_READ_S = 0.2
# Shortest and longest time until it tries again.
OWN_READ_PERIOD_S = (0.5, 0.9)
# A host that was asked reads the store itself for this long, whatever it
# thinks of who the readers are.
WANTED_S = 3.0
ANSWER_PERIOD_S = 0.05
# Reads of the store that a fleet may start per second when all of its hosts
# need the same record.
MAX_READS_PER_S = 2000
# Questions that wait for news.
MAX_HELD = 1000


class Network(Protocol):
    """Sends messages to other hosts, such as `Gossip`."""

    def send(self, address: str, message: Message) -> None:
        """Send a message; it may be lost."""


@dataclass(slots=True, frozen=True)
class FeedKnowledge:
    """What a host knows of a topic that it follows.

    Attributes
    ----------
    tail : FeedTail
    reach : StoreReach
    """

    tail: FeedTail
    reach: StoreReach


@dataclass(slots=True, frozen=True)
class Told:
    """What a reader told, and whether the store has to be read for the rest.

    Attributes
    ----------
    relayed : RelayedPage
    must_read : bool
        Whether there is more than the reader could tell.
    """

    relayed: RelayedPage
    must_read: bool


@dataclass(slots=True, frozen=True)
class HeldQuestion:
    """A question that waits for news."""

    question: FeedQuestionMessage
    received_at: float


@dataclass(slots=True)
class FeedRelay:
    """Asks other hosts what is new, and answers their questions.

    Attributes
    ----------
    fleet : FleetView
    network : Network
    known : dict of str to FeedKnowledge
        By topic.
    held : list of HeldQuestion
    avoided_until : dict of str to float
        Readers that are not asked for a while.
    is_asked : anyio.Event
        Set when a question is held.
    own_read_at : dict of str to float
        When this host tries the store itself although a reader answers, by
        topic.
    wanted_until : float
        Until when this host reads because others ask it.
    reader : str
        The reader that answered last; empty while this host reads itself.
    """

    fleet: FleetView
    network: Network
    log: Logger
    rng: random.Random
    known: dict[str, FeedKnowledge] = field(default_factory=dict)
    held: list[HeldQuestion] = field(default_factory=list)
    avoided_until: dict[str, float] = field(default_factory=dict)
    is_asked: anyio.Event = field(default_factory=anyio.Event)
    own_read_at: dict[str, float] = field(default_factory=dict)
    wanted_until: float = -math.inf
    reader: str = ''
    questions: Questions[FeedAnswerMessage] = field(default_factory=Questions)

    async def run(self) -> None:
        """Answer questions that were held for long enough, until cancelled."""
        while True:
            if not self.held:
                self.is_asked = anyio.Event()
                await self.is_asked.wait()
            await anyio.sleep(ANSWER_PERIOD_S)
            self._answer_held(_has_waited)

    async def read(self, topic: str, offset: int) -> RelayedPage | None:
        """Return what a reader knows from an offset on.

        Returns
        -------
        RelayedPage or None
            None if this host has to read the store itself.
        """
        for reader in self._list_readers(boot_time())[:MAX_ASKED]:
            self._note_reader(reader)
            told = await self._ask(reader, topic, offset)
            if told is not None:
                return await self._choose_page(topic, told)
            if self._is_outdated(topic):
                break
        self._note_reader('')
        return None

    async def find_witnesses(self, topic: str, offset: int) -> list[Witness]:
        """Ask some hosts how long the store has answered them."""
        found: list[Witness] = []

        async def ask(peer: Peer) -> None:
            asked_at = boot_time()
            answer = await self._question(peer, topic, offset, 0)
            if answer is None:
                return
            page = read_answer(answer, offset, asked_at, boot_time())
            if page is not None:
                found.append(page.witness)

        hosts = [
            (digest.name, digest.zone)
            for digest in self.fleet.recent_digests(boot_time())
            if digest.is_ready
        ]
        names = order_witnesses(hosts, self.fleet.zone, self.rng)
        async with anyio.create_task_group() as group:
            for name in names[:MAX_WITNESSES]:
                group.start_soon(ask, self.fleet.peers[name])
        return found

    def note_read(self, topic: str) -> None:
        """Pass on what is new in a topic to the hosts that wait for it."""
        end = self.known[topic].tail.next_offset
        self._answer_held(
            lambda one: (
                one.question.topic == topic and one.question.offset < end
            )
        )

    def receive(self, message: Message) -> bool:
        """Handle a message from another host; return whether it was for this.

        A question about an unknown topic is left without an answer.
        """
        if isinstance(message, FeedAnswerMessage):
            self.questions.answer(message.number, message)
            return True
        if not isinstance(message, FeedQuestionMessage):
            return False
        now = boot_time()
        self.wanted_until = now + WANTED_S
        known = self.known.get(message.topic)
        if known is None or known.tail.first_offset is None:
            self.log('question_unanswerable', topic=message.topic)
            return True
        held = HeldQuestion(message, now)
        is_news = message.offset < known.tail.next_offset
        if is_news or len(self.held) >= MAX_HELD:
            self._answer(held)
        else:
            self.held.append(held)
            self.is_asked.set()
        return True

    def _list_readers(self, now: float) -> list[str]:
        """Return the readers to ask; none if this host is a reader."""
        if now < self.wanted_until:
            return []
        own = self.fleet.own_name
        hosts = [
            digest.name
            for digest in self.fleet.recent_digests(now)
            if digest.zone == self.fleet.zone and digest.is_ready
        ]
        readers = pick_readers((own, *hosts), self.fleet.zone)
        if own in readers:
            return []
        return [
            name
            for name in order_readers(readers, own)
            if self.avoided_until.get(name, now) <= now
        ]

    async def _ask(self, reader: str, topic: str, offset: int) -> Told | None:
        """Return what a reader told, None if that is of no use."""
        peer = self.fleet.peers.get(reader)
        if peer is None:
            return None
        asked_at = boot_time()
        answer = await self._question(peer, topic, offset, HOLD_S)
        if answer is None:
            self._avoid(reader, 'silent')
            return None
        relayed = read_answer(answer, offset, asked_at, boot_time())
        if relayed is None:
            self._avoid(reader, 'malformed')
            return None
        is_told = answer.told_offset > offset or answer.next_offset <= offset
        is_same_era = answer.era == self.known[topic].reach.era
        return Told(relayed, not (is_told and is_same_era))

    async def _question(
        self, peer: Peer, topic: str, offset: int, hold_s: float
    ) -> FeedAnswerMessage | None:
        """Return a host's answer, None if there was none in time."""
        message = FeedQuestionMessage(
            self.fleet.own_name, 0, topic, offset, hold_s
        )

        def send(number: int) -> None:
            self.network.send(
                peer.address, msgspec.structs.replace(message, number=number)
            )

        return await self.questions.ask(send, hold_s + ANSWER_TIMEOUT_S)

    async def _choose_page(self, topic: str, told: Told) -> RelayedPage | None:
        """Return the page of a reader, None if the store has to be read."""
        if told.must_read:
            await anyio.sleep(self.rng.uniform(0, self._spread_s()))
            return None
        if await self._is_own_read_due(topic, told.relayed):
            return None
        return told.relayed

    def _is_outdated(self, topic: str) -> bool:
        """Return whether this host's own proof is too old to ask others."""
        age_s = boot_time() - self.known[topic].reach.proven_at
        return age_s > MAX_PROOF_AGE_S

    async def _is_own_read_due(self, topic: str, relayed: RelayedPage) -> bool:
        """Return whether to try the store, which the reader does not reach.

        The reader alone may be cut off. Hosts try at random times, as mostly
        none of them reaches the store either.
        """
        now = boot_time()
        if relayed.proven_at is None or (
            now - relayed.proven_at <= MAX_PROOF_AGE_S
        ):
            self.own_read_at.pop(topic, None)
            return False
        due_at = self.own_read_at.get(topic)
        if due_at is not None and now < due_at:
            return False
        delay_s = self.rng.uniform(*OWN_READ_PERIOD_S)
        self.own_read_at[topic] = now + delay_s
        if due_at is None:
            self.log(
                'reader_outdated',
                topic=topic,
                reader=self.reader,
                age_s=now - relayed.proven_at,
            )
            await anyio.sleep(self.rng.uniform(0, FIRST_OWN_READ_S))
        return True

    def _answer_held(self, is_due: Callable[[HeldQuestion], bool]) -> None:
        due = [one for one in self.held if is_due(one)]
        if not due:
            return
        self.held = [one for one in self.held if one not in due]
        for held in due:
            self._answer(held)

    def _answer(self, held: HeldQuestion) -> None:
        question = held.question
        peer = self.fleet.peers.get(question.sender)
        if peer is None:
            return
        known = self.known[question.topic]
        now = boot_time()
        told_offset = question.offset
        changes = b''
        found = known.tail.since(question.offset)
        if found is not None:
            changes, told_offset = pack_records(found, known.tail.next_offset)
        self.network.send(
            peer.address,
            FeedAnswerMessage(
                question.number,
                known.tail.next_offset,
                told_offset,
                now - known.reach.proven_at,
                now - held.received_at,
                max(0, now - known.reach.reached_since),
                changes,
                known.reach.era,
            ),
        )

    def _spread_s(self) -> float:
        """Return over how long the fleet's reads of one record are spread."""
        return self.fleet.size / MAX_READS_PER_S

    def _avoid(self, reader: str, why: str) -> None:
        """Ask a reader no more for a while."""
        self.avoided_until[reader] = boot_time() + AVOID_S
        self.log('reader_avoided', reader=reader, why=why)

    def _note_reader(self, reader: str) -> None:
        if reader != self.reader:
            self.log('reader_changed', reader=reader or None)
            self.reader = reader


def _has_waited(held: HeldQuestion) -> bool:
    return boot_time() - held.received_at >= held.question.wait_s
