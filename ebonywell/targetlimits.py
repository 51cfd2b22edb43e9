"""Keeps all hosts together within the limits that targets state.

A host tells the others what a target has stated, and asks the host that
schedules the target's requests for permission before each send. Nothing is
asked, and nothing waits, for a target without a limit.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from .clock import boot_time
from .digests import (
    Message,
    PermitMessage,
    PermitRequestMessage,
    StatementMessage,
)
from .fleetview import FleetView, Peer
from .inventory import KnownTarget
from .logs import Logger
from .metrics import Metrics
from .questions import Questions
from .repeats import FRESH_S, DigestRepeats
from .sendschedule import SendSchedule, effective_rate, pick_scheduler
from .statements import (
    NOTHING_STATED,
    Incarnation,
    KnownStatement,
    Statement,
    Statements,
)

# Longest time ahead for which a request is scheduled. It is the same for
# requests of any urgency, so that patient ones cannot take all times.
MAX_PERMIT_WAIT_S = 0.5
# Time for a question and its answer between two availability zones, on hosts
# that are slow to read their datagrams.
PERMIT_TIMEOUT_S = 0.1
# Time after which a host asks again if it got no answer.
UNANSWERED_RETRY_S = MAX_PERMIT_WAIT_S + PERMIT_TIMEOUT_S


class Network(Protocol):
    """Sends messages to other hosts; any of them may be lost."""

    def send(self, address: str, message: Message) -> None:
        """Send a message to one host."""

    def broadcast(self, message: Message) -> None:
        """Send a message to all hosts."""


@dataclass(slots=True)
class TargetLimits:
    """Statements of targets, and permissions to send to limited ones.

    Attributes
    ----------
    fleet : FleetView
    network : Network
    is_ready : callable
        Returns whether this host serves callers.
    statements : Statements
        What targets stated in answers to any host.
    schedules : dict of (str, int) to SendSchedule
        Schedules of the targets for which this host was asked.
    due_at : dict of (str, int) to float
        When the next request to a target may be due, as this host was told.
    questions : Questions
        Requests for permission that wait for an answer.
    repeats : DigestRepeats
    """

    fleet: FleetView
    network: Network
    is_ready: Callable[[], bool]
    log: Logger
    metrics: Metrics
    statements: Statements = field(default_factory=Statements)
    schedules: dict[Incarnation, SendSchedule] = field(default_factory=dict)
    due_at: dict[Incarnation, float] = field(default_factory=dict)
    questions: Questions[PermitMessage] = field(default_factory=Questions)
    repeats: DigestRepeats = field(default_factory=DigestRepeats)

    @property
    def is_empty(self) -> bool:
        """Whether no target has stated anything."""
        return not self.statements.known

    def rate_of(self, known: KnownTarget) -> float | None:
        """Return the requests per second to keep for a target, or None."""
        if self.is_empty:
            return None
        return effective_rate(self.statements.get(known.incarnation).rate_limit)

    def is_limited(self, known: KnownTarget) -> bool:
        """Return whether a target has a limit."""
        return self.rate_of(known) is not None

    def due_in_s(self, known: KnownTarget) -> float:
        """Return in how many seconds a request to a target may be due."""
        if not self.is_limited(known):
            return 0
        return max(0, self.due_at.get(known.incarnation, 0) - boot_time())

    def note_answer(
        self, known: KnownTarget, statement: Statement, sent_at: float
    ) -> None:
        """Record what an answer says about its target, and tell all hosts.

        Parameters
        ----------
        known : KnownTarget
        statement : Statement
        sent_at : float
            When the request was sent.
        """
        incarnation = known.incarnation
        if self.statements.note_answer(
            incarnation, statement, sent_at, boot_time()
        ):
            self._note_change(incarnation)
            self.network.broadcast(self._make_message(incarnation))

    async def claim(self, known: KnownTarget, max_wait_s: float) -> bool:
        """Wait until a request may be sent to a target.

        Parameters
        ----------
        known : KnownTarget
        max_wait_s : float
            How long the request can wait for its turn.

        Returns
        -------
        bool
            False if its turn would come too late; it must not be sent.
        """
        rate = self.rate_of(known)
        if rate is None:
            return True
        wait_s = min(max_wait_s, MAX_PERMIT_WAIT_S)
        is_granted, due_s = await self._ask(known.incarnation, rate, wait_s)
        self.metrics.count('target_permits_total', granted=str(is_granted))
        if is_granted:
            await anyio.sleep(due_s)
        else:
            self.due_at[known.incarnation] = boot_time() + due_s
        return is_granted

    def receive(
        self,
        message: StatementMessage | PermitRequestMessage | PermitMessage,
    ) -> None:
        """Handle a message from another host."""
        match message:
            case StatementMessage():
                self._receive_statement(message)
            case PermitRequestMessage():
                self._receive_request(message)
            case PermitMessage():
                self.questions.answer(message.number, message)

    def list_messages(self) -> Iterator[StatementMessage]:
        """Yield the statements to repeat with the next digest."""
        now = boot_time()
        repeated = (
            incarnation
            for incarnation, found in self.statements.known.items()
            if _is_repeated(found, now)
        )
        for incarnation in self.repeats.pick(repeated, now):
            yield self._make_message(incarnation)

    def expire(self, incarnations: Iterable[Incarnation]) -> None:
        """Forget all targets except these."""
        if not self.statements.known and not self.schedules:
            return
        current = set(incarnations)
        self.statements.retain(current)
        for gone in self.schedules.keys() - current:
            self.schedules.pop(gone)
        for unknown in self.due_at.keys() - current:
            self.due_at.pop(unknown)

    async def _ask(
        self, incarnation: Incarnation, rate: float, max_wait_s: float
    ) -> tuple[bool, float]:
        """Ask the host that schedules a target's requests for permission."""
        if self.fleet.is_minority(boot_time()):
            # The others schedule without this host.
            return self._reserve(
                incarnation, rate / self.fleet.size, max_wait_s
            )
        scheduler = self._find_scheduler(incarnation)
        if scheduler is None:
            return self._reserve(incarnation, rate, max_wait_s)
        statement = self._make_message(incarnation)

        def send(number: int) -> None:
            message = PermitRequestMessage(
                self.fleet.own_name, number, statement, max_wait_s
            )
            self.network.send(scheduler.address, message)

        reply = await self.questions.ask(send, PERMIT_TIMEOUT_S)
        if reply is None:
            self.log(
                'permit_unanswered',
                target=incarnation[0],
                peer=scheduler.name,
            )
            return False, UNANSWERED_RETRY_S
        return reply.is_granted, reply.due_s

    def _find_scheduler(self, incarnation: Incarnation) -> Peer | None:
        """Return the host to ask, None for this host."""
        names = {
            one.name
            for one in self.fleet.recent_digests(boot_time())
            if one.is_ready
        }
        own_name = self.fleet.own_name
        if self.is_ready() or not names:
            names.add(own_name)
        name = pick_scheduler(names, incarnation)
        return None if name == own_name else self.fleet.peers.get(name)

    def _reserve(
        self, incarnation: Incarnation, rate: float, max_wait_s: float
    ) -> tuple[bool, float]:
        now = boot_time()
        # The previous scheduler may have granted a request just now.
        schedule = self.schedules.setdefault(incarnation, SendSchedule(now))
        return schedule.reserve(rate, max_wait_s, now)

    def _receive_statement(self, message: StatementMessage) -> None:
        incarnation = (message.target, message.born)
        statement = Statement(message.rate_limit)
        if self.statements.merge(
            incarnation, statement, boot_time() - message.age_s
        ):
            self._note_change(incarnation)

    def _receive_request(self, message: PermitRequestMessage) -> None:
        self._receive_statement(message.statement)
        sender = self.fleet.peers.get(message.sender)
        if sender is None:
            return
        incarnation = (message.statement.target, message.statement.born)
        rate = effective_rate(self.statements.get(incarnation).rate_limit)
        reply = PermitMessage(message.number, is_granted=True, due_s=0)
        if rate is not None:
            reply = PermitMessage(
                message.number,
                *self._reserve(incarnation, rate, message.max_wait_s),
            )
        self.network.send(sender.address, reply)

    def _note_change(self, incarnation: Incarnation) -> None:
        self.repeats.note_change(boot_time())
        target, born = incarnation
        self.log(
            'target_stated',
            target=target,
            born=born,
            rate_limit=self.statements.get(incarnation).rate_limit,
        )

    def _make_message(self, incarnation: Incarnation) -> StatementMessage:
        found = self.statements.known[incarnation]
        return StatementMessage(
            *incarnation,
            boot_time() - found.received_at,
            found.statement.rate_limit,
        )


def _is_repeated(found: KnownStatement, now: float) -> bool:
    """Return whether digests repeat a statement.

    A withdrawn one is repeated for a while, for hosts that missed it.
    """
    is_withdrawn = found.statement == NOTHING_STATED
    return not is_withdrawn or now - found.received_at < FRESH_S
