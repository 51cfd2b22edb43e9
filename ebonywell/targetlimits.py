"""Keeps all hosts together within the limits that targets state.

A host tells the others what a target has stated, and asks the host that
schedules the target's requests for permission before each send. Nothing is
asked, and nothing waits, for a target without a limit.

A cold target has a limit too, which it must not exceed even for a second.
Permits for it are therefore granted only by a host that is in contact with most
others, and that has been so for long enough to be known to them.
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
from .evacuation.cold import PERMIT_LATE_S, ColdReport, ColdTargets, Contact
from .evacuation.permits import find_scheduler, least_rate, may_grant_cold
from .fleetview import FleetView, Peer
from .inventory import KnownTarget
from .logs import Logger
from .metrics import Metrics
from .questions import Questions
from .repeats import FRESH_S, DigestRepeats
from .sendschedule import SendSchedule, effective_rate
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
# Age that stands for no statement, in messages on a target that is cold only.
NEVER_S = 1e9


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
    cold : ColdTargets
        Targets that have a limit while they are cold.
    contact : Contact
        This host's contact with the others.
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
    cold: ColdTargets = field(default_factory=ColdTargets)
    contact: Contact = field(default_factory=Contact)

    @property
    def is_empty(self) -> bool:
        """Whether no target has stated anything, or is cold."""
        return not self.statements.known and not self.cold.ends

    def rate_of(self, known: KnownTarget) -> float | None:
        """Return the requests per second to keep for a target, or None."""
        return None if self.is_empty else self._find_rate(known.incarnation)

    def stated_rate_of(self, known: KnownTarget) -> float | None:
        """Return the requests per second that a target states, or None."""
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
            self.network.broadcast(_make_message(self, incarnation))

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
        due_at = boot_time() + due_s
        if not is_granted:
            self.due_at[known.incarnation] = due_at
            return False
        await anyio.sleep(due_s)
        # A host that was frozen meanwhile would send later than scheduled.
        is_late = boot_time() - due_at > PERMIT_LATE_S
        return not (is_late and self.cold.left_s(known.incarnation, due_at))

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
        repeated = dict.fromkeys(self.cold.list_own(now))
        if repeated:
            self.repeats.note_change(now)
        repeated.update(
            (incarnation, None)
            for incarnation, found in self.statements.known.items()
            if _is_repeated(found, now)
        )
        for incarnation in self.repeats.pick(repeated, now):
            yield _make_message(self, incarnation)

    def expire(self, incarnations: Iterable[Incarnation]) -> None:
        """Forget all targets except these."""
        now = boot_time()
        is_sound = self.is_ready() and not self.fleet.is_minority(now)
        self.contact.update(is_sound=is_sound, now=now)
        current = set(incarnations)
        self.cold.retain(current)
        self.statements.retain(current)
        for gone in self.schedules.keys() - current:
            self.schedules.pop(gone)
        for unknown in self.due_at.keys() - current:
            self.due_at.pop(unknown)

    async def _ask(
        self, incarnation: Incarnation, rate: float, max_wait_s: float
    ) -> tuple[bool, float]:
        """Ask the host that schedules a target's requests for permission."""
        is_alone = self.fleet.is_minority(boot_time())
        scheduler = None if is_alone else _find_scheduler(self, incarnation)
        if scheduler is None:
            if not _may_grant(self, incarnation):
                return False, UNANSWERED_RETRY_S
            # The others schedule without a host that is alone.
            share = self.fleet.size if is_alone else 1
            return self._reserve(incarnation, rate / share, max_wait_s)
        statement = _make_message(self, incarnation)

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

    def _reserve(
        self, incarnation: Incarnation, rate: float, max_wait_s: float
    ) -> tuple[bool, float]:
        now = boot_time()
        # The previous scheduler may have granted a request just now.
        schedule = self.schedules.setdefault(incarnation, SendSchedule(now))
        return schedule.reserve(rate, max_wait_s, now)

    def _receive_statement(self, message: StatementMessage) -> None:
        incarnation = (message.target, message.born)
        report = ColdReport(
            message.service, message.cold_left_s, message.cold_age_s
        )
        self.cold.note_told(incarnation, report, boot_time())
        if message.age_s >= NEVER_S:
            return
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
        rate = self._find_rate(incarnation)
        reply = PermitMessage(message.number, is_granted=True, due_s=0)
        if not _may_grant(self, incarnation):
            reply = PermitMessage(
                message.number, is_granted=False, due_s=UNANSWERED_RETRY_S
            )
        elif rate is not None:
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

    def _find_rate(self, incarnation: Incarnation) -> float | None:
        """Return the requests per second to keep for a target, or None."""
        stated = self.statements.get(incarnation).rate_limit
        cold = self.cold.rate_of(incarnation, boot_time())
        return least_rate((effective_rate(stated), cold))


def _is_repeated(found: KnownStatement, now: float) -> bool:
    """Return whether digests repeat a statement.

    A withdrawn one is repeated for a while, for hosts that missed it.
    """
    is_withdrawn = found.statement == NOTHING_STATED
    return not is_withdrawn or now - found.received_at < FRESH_S


def _make_message(
    limits: TargetLimits, incarnation: Incarnation
) -> StatementMessage:
    """Return what a host knows of a target, to tell others."""
    now = boot_time()
    found = limits.statements.known.get(incarnation)
    report = limits.cold.tell(incarnation, now)
    return StatementMessage(
        *incarnation,
        NEVER_S if found is None else now - found.received_at,
        limits.statements.get(incarnation).rate_limit,
        report.service,
        report.left_s,
        report.age_s,
    )


def _find_scheduler(
    limits: TargetLimits, incarnation: Incarnation
) -> Peer | None:
    """Return the host to ask, None for this host."""
    return find_scheduler(
        limits.fleet, incarnation, boot_time(), is_ready=limits.is_ready()
    )


def _may_grant(limits: TargetLimits, incarnation: Incarnation) -> bool:
    """Return whether this host may grant permits for a target."""
    now = boot_time()
    if not limits.cold.left_s(incarnation, now):
        return True
    scheduler = _find_scheduler(limits, incarnation)
    return may_grant_cold(limits.fleet, limits.contact, scheduler, now)
