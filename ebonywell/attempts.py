"""Sends a request to one target and forwards the answer."""

from dataclasses import dataclass

import anyio

from .answerbuffers import AnswerBuffers
from .clock import boot_time
from .coordination import Coordination
from .events import EventBoundary, EventSplitter
from .exceptions import (
    EventOrderError,
    EventTooLongError,
    TargetUnreachableError,
)
from .exposures import Exposure, Phase
from .fingerprints import request_digest
from .health import HealthTracker
from .inbound import AdmittedRequest, Responder
from .inventory import KnownTarget
from .loadboard import LoadBoard, Run
from .logs import Logger
from .pace.firstbytes import (
    FirstByte,
    Observer,
    ignore_first_byte,
    pace_fields,
)
from .prefixcache.index import PrefixCacheIndex
from .prefixcache.sends import SentPrompt, make_sent_prompt
from .progress import (
    NOT_RUN_VERDICTS,
    AttemptError,
    Outcome,
    Progress,
    Selector,
    TargetFormat,
    Verdict,
)
from .routetable import RequestKind
from .selection import Choice
from .statements import NO_NOTICE
from .streamheads import continues, is_event_stream
from .targetreach import TargetReach
from .upstream import AnswerHead, Connection, ConnectionPool, Ending, Exchange

# Time-out of one attempt of a repeatable request, as a multiple of the
# goal of its route, within which the caller expects the first byte. After the
# time-out, the request is sent to another target.
ATTEMPT_TIMEOUT_GOALS = 2.5
# Maximum size of an answer that is buffered before it is forwarded, and of one
# that is discarded. Faulty targets may send endless bodies.
MAX_ANSWER_BYTES = 16_777_216
MAX_REJECTION_BYTES = 65_536
# The body of a rejection is read only to make the connection reusable.
REJECTION_BODY_TIMEOUT_S = 0.1
# The time left until the deadline must allow at least a round trip and the
# work on the target.
MIN_LEFT_S = 0.03
# Parts of a stream after which its target has survived the request.
PARTS_TO_SURVIVE = 2
# Reason that is reported if a target accepts no connection.
UNREACHABLE = 'unreachable'
# Reason that is reported if the zone of a target was evacuated while a request
# waited to be sent there.
EVACUATED = 'evacuated'


class Attempts:
    """Sends requests to targets, one attempt per call of `run`.

    Attributes
    ----------
    pool : ConnectionPool
    board : LoadBoard
    health : HealthTracker
    format : TargetFormat
    selector : Selector
    guard : CrashGuard
    limits : TargetLimits
    origins : StreamOrigins
    reach : TargetReach
    buffers : AnswerBuffers
    observer : callable
        Called with the head of each answer of the right target.
    prefixes : PrefixCacheIndex
    """

    def __init__(
        self,
        pool: ConnectionPool,
        board: LoadBoard,
        health: HealthTracker,
        target_format: TargetFormat,
        selector: Selector,
        coordination: Coordination,
        reach: TargetReach,
        log: Logger,
    ) -> None:
        self.pool = pool
        self.reach = reach
        self.board = board
        self.health = health
        self.format = target_format
        self.selector = selector
        self.guard = coordination.guard
        self.limits = coordination.limits
        self.origins = coordination.origins
        self.buffers = AnswerBuffers()
        self.observer: Observer = ignore_first_byte
        self.prefixes = PrefixCacheIndex()
        self.log = log

    async def run(
        self,
        request: AdmittedRequest,
        responder: Responder,
        progress: Progress,
        selected: tuple[KnownTarget, Choice],
    ) -> Outcome:
        """Send a request to one target and forward the answer.

        Raises
        ------
        AttemptError
            If there is no answer to forward, or only a part of one.
        """
        target, choice = selected
        progress.avoided.add(target.name)
        progress.target = target.name
        run = _make_run(request, choice)
        sent = make_sent_prompt(request, selected)
        with self.board.running(run), self.prefixes.sending(sent):
            connection = await self._connect(target, progress)
            try:
                with self.guard.exposures.track(
                    request, target, progress.trial
                ) as exposure:
                    return await self._exchange(
                        request,
                        responder,
                        progress,
                        Sending(
                            target, choice, run, connection, exposure, sent
                        ),
                    )
            finally:
                self.pool.release(target.announcement.address, connection)

    async def _connect(
        self, target: KnownTarget, progress: Progress
    ) -> Connection:
        """Return a connection to a target.

        A late copy of the target's answer to an earlier send of the request
        would name the right request, so a later send uses a new connection.
        """
        address = target.announcement.address
        started_at = boot_time()
        try:
            return await self.pool.acquire(
                address, is_new=address in progress.addresses
            )
        except TargetUnreachableError as error:
            target.refused_at = boot_time()
            self.reach.note_failure(target.name, started_at, boot_time())
            self.health.record_result(target.name, boot_time(), is_good=False)
            self.log('target_unreachable', target=target.name, why=str(error))
            raise AttemptError(UNREACHABLE, has_run=False) from error

    async def _exchange(
        self,
        request: AdmittedRequest,
        responder: Responder,
        progress: Progress,
        sending: 'Sending',
    ) -> Outcome:
        left_s = request.deadline - boot_time()
        if left_s < MIN_LEFT_S:
            raise AttemptError('deadline', has_run=False)
        if self.selector.is_closed(sending.target):
            raise AttemptError(EVACUATED, has_run=False)
        last_id = progress.splitter.last_id if progress.splitter else b''
        encoded = self.format.encode(request, sending.target, left_s, last_id)
        exchange = _send(sending.connection, encoded, request.body)
        progress.note_sent()
        progress.addresses.add(sending.target.announcement.address)
        sending.sent_at = boot_time()
        self.prefixes.note_written(sending.prompt, sending.sent_at)
        self._log_attempt(request, progress, sending)
        head = await self._receive_head(request, progress, sending, exchange)
        verdict = self._judge(request, progress, sending, head)
        if verdict in NOT_RUN_VERDICTS:
            progress.note_not_run()
        now = boot_time()
        self._note_statement(sending, verdict, head)
        self._observe(request, progress, sending, FirstHead(verdict, head, now))
        if verdict is Verdict.answer or verdict is Verdict.failed:
            is_good = verdict is Verdict.answer
            self.health.record_result(sending.target.name, now, is_good=is_good)
            if sending.choice.expected_s:
                self.health.record_wait(
                    sending.target.name,
                    now,
                    now - sending.sent_at,
                    sending.choice.expected_s,
                )
        if verdict is Verdict.answer:
            sending.exposure.phase = Phase.begun
            self.board.note_first_token(sending.run)
            return await self._forward_answer(
                request, responder, progress, sending, head
            )
        raise await self._read_rejection(request, sending, verdict, head)

    def _observe(
        self,
        request: AdmittedRequest,
        progress: Progress,
        sending: 'Sending',
        first: 'FirstHead',
    ) -> None:
        """Record what the head of an answer shows of its target."""
        is_answer = first.verdict is Verdict.answer
        if is_answer:
            # The observation of this exchange then adds nothing.
            self.prefixes.note_first_byte(sending.prompt, first.received_at)
        if first.verdict in {Verdict.crossed, Verdict.other_target}:
            return
        self.observer(
            FirstByte(
                request,
                sending.target,
                sending.choice,
                self.format.read_load(first.head),
                sending.sent_at,
                first.received_at,
                is_answer=is_answer and progress.sends == 1,
            )
        )

    def _judge(
        self,
        request: AdmittedRequest,
        progress: Progress,
        sending: 'Sending',
        head: AnswerHead,
    ) -> Verdict:
        verdict = self.format.judge(request, sending.target, head)
        begun = progress.begun_head
        if verdict is not Verdict.answer or begun is None:
            return verdict
        if continues(begun, head):
            return verdict
        self.log(
            'continuation_unfit',
            request=request.request_id,
            target=sending.target.name,
            status=head.status,
        )
        return Verdict.unfit

    def _note_statement(
        self, sending: 'Sending', verdict: Verdict, head: AnswerHead
    ) -> None:
        """Record what an answer says about its target."""
        if verdict in {Verdict.crossed, Verdict.other_target}:
            return
        target = sending.target
        try:
            statement = self.format.read_statement(head)
            notice = self.format.read_notice(head)
        except ValueError as error:
            self.log('statement_unreadable', target=target.name, why=str(error))
            return
        self.limits.note_answer(target, statement, sending.sent_at)
        if notice != NO_NOTICE or target.max_rejections is not None:
            self.selector.record_notice(target, notice, verdict)

    def _log_attempt(
        self,
        request: AdmittedRequest,
        progress: Progress,
        sending: 'Sending',
    ) -> None:
        """Log which target was selected, and the loads behind the choice."""
        chosen = sending.choice.candidate
        self.log(
            'request_routed',
            request=request.request_id,
            target=sending.target.name,
            release=sending.target.announcement.release or None,
            resumes=request.resumes,
            sends=progress.sends,
            rank=request.rank,
            ahead=chosen.load.waiting,
            ahead_tokens=sum(chosen.load.waiting_tokens.values()),
            new_tokens=chosen.new_tokens,
            kept_tokens=chosen.kept_tokens,
            is_gathered=chosen.fill_order is not None,
            running=chosen.load.running,
            **pace_fields(chosen.pace),
            held_tokens=chosen.load.held_tokens,
            failing=chosen.health.failure_share,
            slowness=chosen.health.slowness,
            wait_s=sending.choice.wait_s,
            choose_s=sending.sent_at - request.received_at,
            proof_age_s=sending.choice.proof_age_s,
            is_missing=sending.target.missing_since is not None,
        )

    def _note_broken(
        self,
        request: AdmittedRequest,
        progress: Progress,
        sending: 'Sending',
        reason: str,
    ) -> AttemptError:
        """Record a broken exchange, and return the attempt's error."""
        address = sending.target.announcement.address
        exchange = sending.connection.exchange
        self.log(
            'attempt_broken',
            request=request.request_id,
            reason=reason,
            digest=format(request_digest(request), 'x'),
            target=sending.target.name,
            born=sending.target.announcement.born,
            phase=sending.exposure.phase.value,
            parts=_format_parts(request),
            after_s=boot_time() - sending.sent_at,
            open_connections=self.pool.count_open(address),
            invalid_status=exchange.invalid_status if exchange else None,
        )
        progress.breakage = self.guard.note_broken(sending.exposure)
        return AttemptError(reason, has_run=True)

    async def _receive_head(
        self,
        request: AdmittedRequest,
        progress: Progress,
        sending: 'Sending',
        exchange: Exchange,
    ) -> AnswerHead:
        """Return the head of the answer.

        Raises
        ------
        AttemptError
            If the target does not answer in time or the connection breaks.
        """
        timeout_s = _attempt_timeout_s(request, progress)
        part: AnswerHead | bytes | Ending | None = None
        with anyio.move_on_after(timeout_s):
            part = await sending.connection.receive(exchange)
        now = boot_time()
        if isinstance(part, AnswerHead):
            self.reach.note_answer(now)
            return part
        self.reach.note_failure(sending.target.name, sending.sent_at, now)
        self.health.record_result(
            sending.target.name,
            boot_time(),
            is_good=False,
        )
        if part is None:
            raise AttemptError('silent', has_run=True)
        raise self._note_broken(request, progress, sending, 'broken')

    async def _read_rejection(
        self,
        request: AdmittedRequest,
        sending: 'Sending',
        verdict: Verdict,
        head: AnswerHead,
    ) -> AttemptError:
        """Return the error of an attempt whose answer is not forwarded."""
        body: bytes | None = None
        if verdict is Verdict.failed:
            body = await self._read_body(sending, MAX_ANSWER_BYTES)
            if body is not None:
                self.guard.note_survived(sending.exposure)
        elif verdict not in {Verdict.crossed, Verdict.unfit}:
            with anyio.move_on_after(REJECTION_BODY_TIMEOUT_S):
                await self._read_body(sending, MAX_REJECTION_BYTES)
        if verdict in {Verdict.absent, Verdict.other_target}:
            self.selector.record_rejection(request, sending.target, verdict)
        if verdict in {Verdict.unclear, Verdict.crossed}:
            self.health.record_result(
                sending.target.name,
                boot_time(),
                is_good=False,
            )
        return AttemptError(
            verdict.value,
            has_run=verdict not in NOT_RUN_VERDICTS,
            head=None if body is None else head,
            body=body or b'',
        )

    async def _forward_answer(
        self,
        request: AdmittedRequest,
        responder: Responder,
        progress: Progress,
        sending: 'Sending',
        head: AnswerHead,
    ) -> Outcome:
        if request.route.kind is RequestKind.stream and is_event_stream(head):
            return await self._forward_stream(
                request,
                responder,
                progress,
                sending,
                head,
            )
        body = await self._read_body(sending, MAX_ANSWER_BYTES)
        if body is None:
            raise self._note_broken(request, progress, sending, 'cut_short')
        self.guard.note_survived(sending.exposure)
        progress.first_byte_s = boot_time() - request.received_at
        headers = add_content_length(self.format.answer_headers(head), body)
        await responder.start(head.status, headers)
        progress.is_started = True
        await responder.send(body)
        await responder.finish()
        return Outcome(head.status, 'answered')

    async def _read_body(
        self,
        sending: 'Sending',
        max_bytes: int,
    ) -> bytes | None:
        """Return a whole body, None if it is truncated or too long."""
        exchange = sending.connection.exchange
        assert exchange is not None
        with self.buffers.open() as buffer:
            while True:
                part = await sending.connection.receive(exchange)
                if part is Ending.broken:
                    return None
                if isinstance(part, Ending):
                    return bytes(buffer.body)
                if isinstance(part, bytes):
                    self.buffers.add(buffer, part)
                if buffer.is_dropped or len(buffer.body) > max_bytes:
                    self.log(
                        'answer_too_long',
                        target=sending.target.name,
                        read=len(buffer.body),
                        is_dropped=buffer.is_dropped,
                        buffered=self.buffers.total_bytes,
                    )
                    return None

    async def _forward_stream(
        self,
        request: AdmittedRequest,
        responder: Responder,
        progress: Progress,
        sending: 'Sending',
        head: AnswerHead,
    ) -> Outcome:
        exchange = sending.connection.exchange
        assert exchange is not None
        exchange.arrivals.take_up(progress.arrivals, request.route.pause_goal_s)
        progress.arrivals = exchange.arrivals
        await self._note_begun(request, progress, sending)
        if not progress.is_started:
            progress.first_byte_s = boot_time() - request.received_at
            await responder.start(head.status, self.format.answer_headers(head))
            progress.is_started = True
            progress.begun_head = head
        received_parts = 0
        boundary = EventBoundary()
        part = await sending.connection.receive(exchange)
        while isinstance(part, bytes):
            received_parts += 1
            try:
                boundary.feed(part)
            except EventTooLongError as error:
                _record_broken_stream(self.health, sending, progress)
                raise self._note_broken(
                    request, progress, sending, 'event_too_long'
                ) from error
            if received_parts == PARTS_TO_SURVIVE:
                self.guard.note_survived(sending.exposure)
            await self._forward_events(
                request, responder, progress, sending, part
            )
            if progress.splitter and progress.splitter.last_id:
                progress.release = sending.target.announcement.release
            part = await sending.connection.receive(exchange)
        if not _is_complete(part, received_parts, boundary):
            _record_broken_stream(self.health, sending, progress)
            raise self._note_broken(request, progress, sending, 'stream_broken')
        self.guard.note_survived(sending.exposure)
        await responder.finish()
        return Outcome(head.status, 'answered')

    async def _forward_events(
        self,
        request: AdmittedRequest,
        responder: Responder,
        progress: Progress,
        sending: 'Sending',
        part: bytes,
    ) -> None:
        """Forward the events that a part of a stream completes.

        Raises
        ------
        AttemptError
            If they do not continue the stream that was begun.
        """
        try:
            events = progress.splitter.feed(part) if progress.splitter else part
        except EventOrderError as error:
            _record_broken_stream(self.health, sending, progress)
            self.log(
                'continuation_unfit',
                request=request.request_id,
                target=sending.target.name,
                why=str(error),
            )
            raise AttemptError(Verdict.unfit.value, has_run=True) from error
        if events:
            await responder.send(events)

    async def _note_begun(
        self,
        request: AdmittedRequest,
        progress: Progress,
        sending: 'Sending',
    ) -> None:
        """Remember where a resumable stream begins, before its first event.

        Raises
        ------
        AttemptError
            If that failed; a caller could not resume the stream.
        """
        if not request.route.is_resumable:
            return
        if progress.splitter is None:
            progress.splitter = EventSplitter()
        if progress.splitter.last_id or request.resumes is not None:
            return
        release = sending.target.announcement.release
        if not await self.origins.note_begun(request, release):
            raise AttemptError('origin_unwritten', has_run=True)


@dataclass(slots=True, frozen=True)
class FirstHead:
    """The head of an answer, what it means, and when it arrived."""

    verdict: Verdict
    head: AnswerHead
    received_at: float


@dataclass(slots=True, eq=False)
class Sending:
    """One attempt: its target and its connection.

    Attributes
    ----------
    target : KnownTarget
    choice : Choice
    run : Run
        Entry of the request on the load board.
    connection : Connection
    exposure : Exposure
    prompt : SentPrompt
    sent_at : float
        Time in seconds by the clock of the process.
    """

    target: KnownTarget
    choice: Choice
    run: Run
    connection: Connection
    exposure: Exposure
    prompt: SentPrompt
    sent_at: float = 0


def _record_broken_stream(
    health: HealthTracker, sending: Sending, progress: Progress
) -> None:
    health.record_result(sending.target.name, boot_time(), is_good=False)
    if progress.splitter:
        progress.splitter.resume()


def _is_complete(
    ending: Ending | AnswerHead, received_parts: int, boundary: EventBoundary
) -> bool:
    """Return whether a stream has ended after its last event.

    One without any event is complete only if its length or chunks say so: the
    caller may have had all events before the stream was resumed.
    """
    if ending is Ending.broken:
        return False
    if not received_parts:
        return ending is Ending.whole
    return boundary.is_reached


def _send(connection: Connection, encoded: bytes, body: bytes) -> Exchange:
    try:
        return connection.send(encoded, body)
    except TargetUnreachableError as error:
        raise AttemptError(UNREACHABLE, has_run=False) from error


def _make_run(request: AdmittedRequest, choice: Choice) -> Run:
    generation = request.generation
    if generation is None:
        return Run(choice.name, 0, 0)
    resources: tuple[str, ...] = (generation.model,)
    if generation.adapter:
        resources = (*resources, f'{generation.model}/{generation.adapter}')
    chosen = choice.candidate
    return Run(
        choice.name,
        chosen.usual_tokens,
        chosen.total_tokens,
        request.rank,
        resources,
    )


def _format_parts(request: AdmittedRequest) -> str | None:
    """Return the ids of the parts of a prompt, for the log."""
    if request.generation is None:
        return None
    return ','.join(one.part_id for one in request.generation.prefix)


def _attempt_timeout_s(
    request: AdmittedRequest, progress: Progress
) -> float | None:
    """Return the time-out of an attempt in seconds, None for no time-out.

    A time-out helps only if the request may run once more on another target.
    """
    if not request.route.is_repeatable:
        return None
    if progress.runs + 1 >= request.route.max_runs:
        return None
    return ATTEMPT_TIMEOUT_GOALS * request.route.goal_s


def add_content_length(
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> list[tuple[bytes, bytes]]:
    """Return the headers with the length of the body appended."""
    length = str(len(body)).encode()
    return [*headers, (b'content-length', length)]
