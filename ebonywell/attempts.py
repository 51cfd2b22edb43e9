"""Tries a request at one target, and passes its answer on."""

from dataclasses import dataclass

import anyio

from .clock import boot_time
from .events import EventSplitter
from .exceptions import TargetUnreachableError
from .health import HealthBook
from .inbound import InboundCall, Responder
from .inventory import KnownTarget
from .loadboard import LoadBoard, Run
from .logs import Logger
from .progress import (
    Outcome,
    Placer,
    Progress,
    TargetFormat,
    TryError,
    Verdict,
)
from .routetable import RequestKind
from .selection import Choice
from .upstream import AnswerHead, Connection, ConnectionPool, Ending, Exchange

# Of the time that is left, what a try of an idempotent request may take
# before another target is asked; the goal is what its caller looks for.
TRY_GOALS = 2.5
# Of an answer that is passed on whole, and of one that is not passed on;
# targets in trouble send bodies without end.
MAX_ANSWER_BYTES = 16_777_216
MAX_REJECTION_BYTES = 65_536
# The body of a rejection is read only to keep the connection.
REJECTION_BODY_S = 0.1
# What is left of a deadline must allow at least a round trip and the work.
MIN_LEFT_S = 0.03


class Attempts:
    """Sends requests to targets, one try at a time.

    Attributes
    ----------
    pool : ConnectionPool
    board : LoadBoard
    health : HealthBook
    format : TargetFormat
    placer : Placer
    """

    def __init__(
        self,
        pool: ConnectionPool,
        board: LoadBoard,
        health: HealthBook,
        target_format: TargetFormat,
        placer: Placer,
        log: Logger,
    ) -> None:
        self.pool = pool
        self.board = board
        self.health = health
        self.format = target_format
        self.placer = placer
        self.log = log

    async def run(
        self,
        call: InboundCall,
        responder: Responder,
        progress: Progress,
        placed: tuple[KnownTarget, Choice],
    ) -> Outcome:
        """Try a request at one target, and pass its answer on.

        Raises
        ------
        TryError
            If there is no answer to pass on, or not the whole of it.
        """
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
                self.pool.release(target.announcement.address, connection)

    async def _connect(self, target: KnownTarget) -> Connection:
        try:
            return await self.pool.acquire(target.announcement.address)
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
            self.board.note_first_token(sending.run)
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
        body: bytes | None = None
        if verdict is Verdict.failed:
            body = await self._read_body(sending, MAX_ANSWER_BYTES)
        elif verdict is not Verdict.crossed:
            with anyio.move_on_after(REJECTION_BODY_S):
                await self._read_body(sending, MAX_REJECTION_BYTES)
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
            head=None if body is None else head,
            body=body or b'',
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
        body = await self._read_body(sending, MAX_ANSWER_BYTES)
        if body is None:
            raise TryError('cut_short', has_run=True)
        progress.first_byte_s = boot_time() - call.received_at
        headers = frame(self.format.answer_headers(head), body)
        await responder.start(head.status, headers)
        progress.is_started = True
        await responder.send(body)
        await responder.finish()
        return Outcome(head.status, 'answered')

    async def _read_body(
        self,
        sending: 'Sending',
        most_bytes: int,
    ) -> bytes | None:
        """Return a whole body, None if it is not whole or too long."""
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
            if len(body) > most_bytes:
                self.log(
                    'answer_too_long',
                    target=sending.target.name,
                    read=len(body),
                )
                return None

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
            progress.first_byte_s = boot_time() - call.received_at
            await responder.start(head.status, self.format.answer_headers(head))
            progress.is_started = True
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


def frame(
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> list[tuple[bytes, bytes]]:
    """Return an answer's headers with the length of its body."""
    length = str(len(body)).encode()
    return [*headers, (b'content-length', length)]
