"""Carries a request to a target, and its answer back to the caller."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from .clock import boot_time
from .events import EventSplitter
from .exceptions import TargetUnreachableError
from .health import HealthBook
from .inbound import InboundCall, Refund, RejectionError, Responder
from .inventory import KnownTarget
from .loadboard import LoadBoard, Run
from .logs import Logger
from .retries import WindowBudget
from .routetable import RequestKind
from .selection import Choice
from .upstream import AnswerHead, Connection, ConnectionPool, Ending, Exchange

# Sends of one request, those that targets rejected among them.
MAX_SENDS = 5
# Of the time that is left, what a try of an idempotent request may take
# before another target is asked; the goal is what its caller looks for.
TRY_GOALS = 2.5
# What is left of a deadline must allow at least a round trip and the work.
MIN_LEFT_S = 0.03
_BAD_GATEWAY = 502
_UNAVAILABLE = 503


class Verdict(enum.StrEnum):
    """What the head of a target's answer means.

    Attributes
    ----------
    answer
        The request's own answer, to be passed on.
    failed
        The request ran and failed; the answer may be passed on.
    not_run
        The target is full, and has not run the request.
    absent
        The target does not hold the model or the adapter.
    other_target
        Another target has the address now.
    unclear
        A status that promises that the request has not run, without the
        target's word for it.
    crossed
        The answer to another request.
    """

    answer = 'answer'
    failed = 'failed'
    not_run = 'not_run'
    absent = 'absent'
    other_target = 'other_target'
    unclear = 'unclear'
    crossed = 'crossed'


@dataclass(slots=True, frozen=True)
class TargetFormat:
    """How requests and answers are written for targets.

    Attributes
    ----------
    encode : callable
        Takes the call, its target, the seconds left and the id of the last
        event that the caller has; returns the request's bytes.
    judge : callable
        Takes the call, its target and the head of an answer.
    answer_headers : callable
        Returns the headers that go on to the caller.
    """

    encode: Callable[[InboundCall, KnownTarget, float, bytes], bytes]
    judge: Callable[[InboundCall, KnownTarget, AnswerHead], Verdict]
    answer_headers: Callable[[AnswerHead], list[tuple[bytes, bytes]]]


@dataclass(slots=True)
class Progress:
    """How far a request has come.

    Attributes
    ----------
    sends : int
        To any target.
    runs : int
        That began, or may have begun.
    may_run : bool
        Whether it has run or may run still.
    is_pending : bool
        Whether a target has it that has not answered yet.
    is_started : bool
        Whether the caller has the head of the answer.
    avoided : set of str
        Targets that failed or rejected it.
    last_reason : str
        Of the last failed try.
    splitter : EventSplitter or None
        Of a stream that may be resumed, once it has begun.
    first_byte_s : float or None
        From the request's arrival to the first byte of its answer.
    target : str
        The last one that it was sent to.
    refund : callable or None
        Takes back what it counts against its workspace's limit.
    """

    sends: int = 0
    runs: int = 0
    may_run: bool = False
    is_pending: bool = False
    is_started: bool = False
    avoided: set[str] = field(default_factory=set)
    last_reason: str = ''
    splitter: EventSplitter | None = None
    first_byte_s: float | None = None
    target: str = ''
    refund: Refund | None = None


@dataclass(slots=True, frozen=True)
class Outcome:
    """How a request ended, for logs and metrics."""

    status: int
    reason: str


class TryError(Exception):
    """A try at one target brought no answer to pass on.

    Attributes
    ----------
    reason : str
    has_run : bool
        Whether the target has or may have run the request.
    head : AnswerHead or None
        A failure to be passed on if no other target is asked.
    body : bytes
    """

    def __init__(
        self,
        reason: str,
        *,
        has_run: bool,
        head: AnswerHead | None = None,
        body: bytes = b'',
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.has_run = has_run
        self.head = head
        self.body = body


class Placer(Protocol):
    """Chooses targets, and learns of those that turn requests away."""

    def place(
        self,
        call: InboundCall,
        avoided: set[str],
    ) -> tuple[KnownTarget, Choice] | None:
        """Return the target to send a request to, None if there is none."""

    def note_absent(
        self,
        call: InboundCall,
        known: KnownTarget,
        verdict: Verdict,
    ) -> None:
        """Learn that a target has not what a request needs."""


class Proxy:
    """Sends requests to targets, repeating what may be repeated.

    Attributes
    ----------
    pool : ConnectionPool
    board : LoadBoard
    health : HealthBook
    format : TargetFormat
    budget_of : callable
        The retry budget of a service.
    placer : Placer
    """

    def __init__(
        self,
        pool: ConnectionPool,
        board: LoadBoard,
        health: HealthBook,
        target_format: TargetFormat,
        budget_of: Callable[[str], WindowBudget],
        placer: Placer,
        log: Logger,
    ) -> None:
        self.pool = pool
        self.board = board
        self.health = health
        self.format = target_format
        self.budget_of = budget_of
        self.placer = placer
        self.log = log

    async def serve(
        self,
        call: InboundCall,
        responder: Responder,
        progress: Progress,
        first: tuple[KnownTarget, Choice],
    ) -> Outcome:
        """Bring a request to an answer.

        Parameters
        ----------
        call : InboundCall
        responder : Responder
        progress : Progress
        first : (KnownTarget, Choice)
            Where to send it first.

        Raises
        ------
        RejectionError
            If this host has to answer it.
        """
        budget = self.budget_of(call.service)
        budget.count_request(boot_time())
        placed: tuple[KnownTarget, Choice] | None = first
        while placed is not None:
            try:
                return await self._try(call, responder, progress, placed)
            except TryError as error:
                placed = await self._next(call, responder, progress, error)
                if placed is None and error.head is not None:
                    return await self._pass_failure(
                        responder,
                        progress,
                        error,
                    )
        return self._give_up(progress)

    async def _next(
        self,
        call: InboundCall,
        responder: Responder,
        progress: Progress,
        error: TryError,
    ) -> tuple[KnownTarget, Choice] | None:
        """Return where to send a request next, None if nowhere."""
        progress.last_reason = error.reason
        if error.has_run:
            progress.runs += 1
            progress.may_run = True
            if not call.route.is_repeatable:
                return None
            if progress.runs >= call.route.max_runs:
                return None
        if progress.sends >= MAX_SENDS:
            return None
        if call.deadline - boot_time() < MIN_LEFT_S:
            return None
        placed = self.placer.place(call, progress.avoided)
        is_arrival = error.reason != 'unreachable'
        if placed is None or not is_arrival:
            return placed
        if not self.budget_of(call.service).spend(boot_time()):
            self.log(
                'retry_budget_empty',
                request=call.request_id,
                service=call.service,
            )
            return None
        self.log(
            'request_retried',
            request=call.request_id,
            reason=error.reason,
            target=placed[0].name,
            runs=progress.runs,
        )
        return placed

    def _give_up(self, progress: Progress) -> Outcome:
        if progress.is_started:
            return Outcome(0, f'cut_{progress.last_reason}')
        if progress.may_run:
            raise RejectionError(_BAD_GATEWAY, progress.last_reason)
        raise RejectionError(_UNAVAILABLE, progress.last_reason)

    async def _pass_failure(
        self,
        responder: Responder,
        progress: Progress,
        error: TryError,
    ) -> Outcome:
        assert error.head is not None
        if progress.is_started:
            return Outcome(0, f'cut_{error.reason}')
        progress.is_started = True
        headers = _framed(self.format.answer_headers(error.head), error.body)
        await responder.start(error.head.status, headers)
        await responder.send(error.body)
        await responder.finish()
        return Outcome(error.head.status, 'target_failed')

    async def _try(
        self,
        call: InboundCall,
        responder: Responder,
        progress: Progress,
        placed: tuple[KnownTarget, Choice],
    ) -> Outcome:
        target, choice = placed
        progress.avoided.add(target.name)
        progress.target = target.name
        run = _make_run(call, choice)
        with self.board.running(run):
            connection = await self._connect(target)
            try:
                return await self._exchange(
                    call,
                    responder,
                    progress,
                    Sending(target, choice, run, connection),
                )
            finally:
                self.pool.release(target.said.address, connection)

    async def _connect(self, target: KnownTarget) -> Connection:
        try:
            return await self.pool.acquire(target.said.address)
        except TargetUnreachableError as error:
            target.refused_at = boot_time()
            self.health.note_ending(target.name, boot_time(), is_good=False)
            self.log('target_unreachable', target=target.name, why=str(error))
            raise TryError('unreachable', has_run=False) from error

    async def _exchange(
        self,
        call: InboundCall,
        responder: Responder,
        progress: Progress,
        sending: 'Sending',
    ) -> Outcome:
        left_s = call.deadline - boot_time()
        if left_s < MIN_LEFT_S:
            raise TryError('deadline', has_run=False)
        last_id = progress.splitter.last_id if progress.splitter else b''
        request = self.format.encode(call, sending.target, left_s, last_id)
        exchange = _send(sending.connection, request)
        progress.sends += 1
        progress.is_pending = True
        sending.sent_at = boot_time()
        self._note_send(call, progress, sending)
        head = await self._receive_head(call, progress, sending, exchange)
        progress.is_pending = False
        verdict = self.format.judge(call, sending.target, head)
        now = boot_time()
        if verdict is Verdict.answer or verdict is Verdict.failed:
            is_good = verdict is Verdict.answer
            self.health.note_ending(sending.target.name, now, is_good=is_good)
            if sending.choice.expected_s:
                self.health.note_wait(
                    sending.target.name,
                    now,
                    now - sending.sent_at,
                    sending.choice.expected_s,
                )
        if verdict is Verdict.answer:
            self.board.start(sending.run)
            return await self._pass_on(call, responder, progress, sending, head)
        raise await self._read_rejection(call, sending, verdict, head)

    def _note_send(
        self,
        call: InboundCall,
        progress: Progress,
        sending: 'Sending',
    ) -> None:
        """Log which target was chosen, and by what."""
        chosen = sending.choice.candidate
        self.log(
            'request_routed',
            request=call.request_id,
            target=sending.target.name,
            sends=progress.sends,
            rank=call.rank,
            ahead=chosen.load.waiting,
            ahead_tokens=sum(chosen.load.waiting_tokens.values()),
            new_tokens=chosen.new_tokens,
            running=chosen.load.running,
            held_tokens=chosen.load.held_tokens,
            failing=chosen.health.failure_share,
            slowness=chosen.health.slowness,
            wait_s=sending.choice.wait_s,
            choose_s=sending.sent_at - call.received_at,
        )

    async def _receive_head(
        self,
        call: InboundCall,
        progress: Progress,
        sending: 'Sending',
        exchange: Exchange,
    ) -> AnswerHead:
        """Return the head, or raise `TryError` if there will be none."""
        timeout_s = _try_timeout_s(call, progress)
        part: AnswerHead | bytes | Ending | None = None
        with anyio.move_on_after(timeout_s):
            part = await sending.connection.receive(exchange)
        if isinstance(part, AnswerHead):
            return part
        self.health.note_ending(
            sending.target.name,
            boot_time(),
            is_good=False,
        )
        reason = 'silent' if part is None else 'broken'
        raise TryError(reason, has_run=True)

    async def _read_rejection(
        self,
        call: InboundCall,
        sending: 'Sending',
        verdict: Verdict,
        head: AnswerHead,
    ) -> TryError:
        """Return the error of a try whose answer is not to be passed on."""
        body = b''
        if verdict is not Verdict.crossed:
            body = await self._read_body(sending) or b''
        if verdict in {Verdict.absent, Verdict.other_target}:
            self.placer.note_absent(call, sending.target, verdict)
        if verdict in {Verdict.unclear, Verdict.crossed}:
            self.health.note_ending(
                sending.target.name,
                boot_time(),
                is_good=False,
            )
        has_run = verdict in {
            Verdict.failed,
            Verdict.unclear,
            Verdict.crossed,
        }
        return TryError(
            verdict.value,
            has_run=has_run,
            head=head if verdict is Verdict.failed else None,
            body=body,
        )

    async def _pass_on(
        self,
        call: InboundCall,
        responder: Responder,
        progress: Progress,
        sending: 'Sending',
        head: AnswerHead,
    ) -> Outcome:
        if call.route.kind is RequestKind.stream:
            return await self._pass_stream(
                call,
                responder,
                progress,
                sending,
                head,
            )
        body = await self._read_body(sending)
        if body is None:
            raise TryError('cut_short', has_run=True)
        progress.first_byte_s = boot_time() - call.received_at
        progress.is_started = True
        headers = _framed(self.format.answer_headers(head), body)
        await responder.start(head.status, headers)
        await responder.send(body)
        await responder.finish()
        return Outcome(head.status, 'answered')

    async def _read_body(self, sending: 'Sending') -> bytes | None:
        """Return a whole body, None if it is not whole."""
        exchange = sending.connection.exchange
        assert exchange is not None
        body = bytearray()
        while True:
            part = await sending.connection.receive(exchange)
            if part is Ending.broken:
                return None
            if isinstance(part, Ending):
                return bytes(body)
            if isinstance(part, bytes):
                body += part

    async def _pass_stream(
        self,
        call: InboundCall,
        responder: Responder,
        progress: Progress,
        sending: 'Sending',
        head: AnswerHead,
    ) -> Outcome:
        exchange = sending.connection.exchange
        assert exchange is not None
        if call.route.is_resumable and progress.splitter is None:
            progress.splitter = EventSplitter()
        if not progress.is_started:
            progress.is_started = True
            progress.first_byte_s = boot_time() - call.received_at
            await responder.start(head.status, self.format.answer_headers(head))
        part = await sending.connection.receive(exchange)
        while isinstance(part, bytes):
            await _forward(responder, progress, part)
            part = await sending.connection.receive(exchange)
        if part is Ending.broken:
            raise self._note_broken(sending, progress)
        if progress.splitter and progress.splitter.rest:
            await responder.send(progress.splitter.rest)
        await responder.finish()
        return Outcome(head.status, 'answered')

    def _note_broken(self, sending: 'Sending', progress: Progress) -> TryError:
        now = boot_time()
        self.health.note_ending(sending.target.name, now, is_good=False)
        if progress.splitter:
            progress.splitter.restart()
        return TryError('stream_broken', has_run=True)


@dataclass(slots=True, eq=False)
class Sending:
    """One try: where it goes, and over which connection."""

    target: KnownTarget
    choice: Choice
    run: Run
    connection: Connection
    sent_at: float = 0


async def _forward(
    responder: Responder,
    progress: Progress,
    part: bytes,
) -> None:
    whole = progress.splitter.feed(part) if progress.splitter else part
    if whole:
        await responder.send(whole)


def _send(connection: Connection, request: bytes) -> Exchange:
    try:
        return connection.send(request)
    except TargetUnreachableError as error:
        raise TryError('unreachable', has_run=False) from error


def _make_run(call: InboundCall, choice: Choice) -> Run:
    generation = call.generation
    if generation is None:
        return Run(choice.name, 0, 0)
    needs: tuple[str, ...] = (generation.model,)
    if generation.adapter:
        needs = (*needs, f'{generation.model}/{generation.adapter}')
    chosen = choice.candidate
    return Run(
        choice.name,
        chosen.new_tokens,
        chosen.total_tokens,
        call.rank,
        needs,
    )


def _try_timeout_s(call: InboundCall, progress: Progress) -> float | None:
    """Return how long a try may stay without an answer, None for no bound.

    Only a request that may run once more gains by giving up on a target.
    """
    if not call.route.is_repeatable:
        return None
    if progress.runs + 1 >= call.route.max_runs:
        return None
    return TRY_GOALS * call.route.goal_s


def _framed(
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> list[tuple[bytes, bytes]]:
    length = str(len(body)).encode()
    return [*headers, (b'content-length', length)]
