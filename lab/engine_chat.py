"""Runs the chat requests of the engine stand-in."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from .engine_answers import END_OF_EVENTS, ChatBody, Completion
from .engine_cache import PrefixCache
from .engine_memory import Memory, Resident
from .engine_slots import BusyError, RequestSlots
from .standin_common import (
    STATUS_OK,
    AbortedResponse,
    JournalLine,
    abort_connection,
    answer,
    failure,
    not_run,
)
from .standin_target import TargetState

QUEUE_LIMIT = 256
DISCONNECT_POLL_S = 0.05
_REQUEST_ID = 'x-request-id'
_BAD_REQUEST = 400
_NOT_FOUND = 404
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503


class NotRunError(Exception):
    """A request is rejected before any part of it has run."""

    def __init__(self, status: int, code: str) -> None:
        super().__init__(code)
        self.status = status
        self.code = code


@dataclass(slots=True)
class Chat:
    """Runs chat requests.

    Attributes
    ----------
    state : TargetState
    memory : Memory
    request_slots : RequestSlots
    cache : PrefixCache
    token_s : float
        The time per word of an answer, in seconds.
    prefill_s : float
        The time before the first word of an answer if the prefix of the
        prompt is not cached, in seconds.
    """

    state: TargetState
    memory: Memory
    request_slots: RequestSlots
    cache: PrefixCache
    token_s: float
    prefill_s: float = 0

    async def post(self, request: Request) -> Response:
        """Answer ``POST /v1/chat/completions``."""
        try:
            body = msgspec.json.decode(await request.body(), type=ChatBody)
        except msgspec.MsgspecError as error:
            return failure(_BAD_REQUEST, 'bad_request', str(error))
        line = await self.state.journal.record(request)
        request_id = request.headers.get(_REQUEST_ID, '')
        completion = Completion(request_id, body)
        if body.stream:
            return EventStream(request, completion, line, self)
        return await self._answer_whole(request, completion, line)

    async def cache_events(self, request: Request) -> Response:
        """Answer ``GET /cache-events``."""
        after = int(request.query_params.get('after', '0'))
        events = self.cache.published_after(after)
        newest = events[-1].number if events else after
        return answer({'events': events, 'next': newest})

    @asynccontextmanager
    async def run(
        self,
        request: Request,
        body: ChatBody,
    ) -> AsyncIterator[None]:
        """Run the body of the context once the request has a slot.

        Raises
        ------
        NotRunError
            If the request is rejected.
        """
        self._find_model(body)
        priority = int(request.headers.get('x-ebonywell-priority', '0'))
        try:
            async with self.request_slots.acquire(priority):
                # The model may have been unloaded while the request waited.
                with self._find_model(body).count_request():
                    yield
        except BusyError as error:
            raise NotRunError(_TOO_MANY_REQUESTS, 'busy') from error

    async def words(self, completion: Completion) -> AsyncIterator[int]:
        """Yield the index of each word when it is generated."""
        if not self.cache.use(completion.body.prompt()):
            await anyio.sleep(self.prefill_s)
        for index, _ in enumerate(completion.words):
            extra_s = self.state.faults.field('slow', 'seconds', 0)
            await anyio.sleep(self.token_s + extra_s)
            yield index

    async def apply_faults(self, line: JournalLine) -> None:
        """Crash or hang if such a fault is set."""
        self.state.crash_if_triggered(line.body)
        if self.state.faults.consume('hang'):
            await anyio.sleep_forever()

    def _find_model(self, body: ChatBody) -> Resident:
        if self.state.faults.is_set('draining'):
            raise NotRunError(_UNAVAILABLE, 'draining')
        model, _, adapter = body.model.partition(':')
        if not self.memory.is_ready(model, adapter):
            raise NotRunError(_NOT_FOUND, 'model_not_loaded')
        return self.memory.models[model]

    async def _answer_whole(
        self,
        request: Request,
        completion: Completion,
        line: JournalLine,
    ) -> Response:
        # This response is only used if the caller disconnects meanwhile, and
        # then nobody reads it.
        response: Response = AbortedResponse()
        async with _while_connected(request):
            try:
                async with self.run(request, completion.body):
                    response = await self._run_whole(completion, line)
            except NotRunError as error:
                response = not_run(error.status, error.code)
        response.headers[_REQUEST_ID] = completion.request_id
        return response

    async def _run_whole(
        self,
        completion: Completion,
        line: JournalLine,
    ) -> Response:
        await self.apply_faults(line)
        async for _ in self.words(completion):
            """Wait for every word."""
        line.finished = True
        if self.state.faults.consume('cut_stream'):
            return AbortedResponse()
        return answer(completion.whole())


class EventStream(Response):
    """Runs a streamed request and sends its answer meanwhile.

    Attributes
    ----------
    request : Request
        The request, whose body has been read.
    completion : Completion
    line : JournalLine
    chat : Chat
    """

    def __init__(
        self,
        request: Request,
        completion: Completion,
        line: JournalLine,
        chat: Chat,
    ) -> None:
        super().__init__(media_type='text/event-stream')
        self.request = request
        self.completion = completion
        self.line = line
        self.chat = chat

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Send the answer; a disconnect of the caller cancels the request."""
        async with _while_connected(self.request):
            try:
                async with self.chat.run(self.request, self.completion.body):
                    await self._send_events(scope, send)
            except NotRunError as error:
                response = not_run(error.status, error.code)
                response.headers[_REQUEST_ID] = self.completion.request_id
                await response(scope, receive, send)

    async def _send_events(self, scope: Scope, send: Send) -> None:
        await self.chat.apply_faults(self.line)
        faults = self.chat.state.faults
        cut_after = faults.field('cut_stream', 'after')
        is_cut = faults.consume('cut_stream')
        await self._start(send)
        async for index in self.chat.words(self.completion):
            if is_cut and index == cut_after:
                await abort_connection(scope)
                return
            await _send_part(send, self.completion.event(index))
        self.line.finished = True
        await _send_part(send, END_OF_EVENTS)
        await _send_part(send, b'', has_more=False)

    async def _start(self, send: Send) -> None:
        request_id = self.completion.request_id.encode()
        await send(
            {
                'type': 'http.response.start',
                'status': STATUS_OK,
                'headers': [
                    (b'content-type', b'text/event-stream'),
                    (b'cache-control', b'no-store'),
                    (_REQUEST_ID.encode(), request_id),
                ],
            },
        )


@asynccontextmanager
async def _while_connected(request: Request) -> AsyncIterator[None]:
    """Cancel the body of the context once the caller disconnects."""
    async with anyio.create_task_group() as group:
        group.start_soon(_cancel_on_disconnect, request, group.cancel_scope)
        yield
        group.cancel_scope.cancel()


async def _cancel_on_disconnect(
    request: Request, scope: anyio.CancelScope
) -> None:
    while not await request.is_disconnected():
        await anyio.sleep(DISCONNECT_POLL_S)
    scope.cancel()


async def _send_part(send: Send, part: bytes, *, has_more: bool = True) -> None:
    await send(
        {'type': 'http.response.body', 'body': part, 'more_body': has_more},
    )
