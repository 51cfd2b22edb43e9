"""How the engine's stand-in answers chat requests.

The answer's words are made from a digest of the model's name and the prompt,
so that a caller can tell its own answer from anybody else's.
"""

import heapq
import itertools
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec
import xxhash
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse

from .engine_memory import Memory
from .standin_common import Cut, JournalLine, answer, not_run
from .standin_target import TargetState

DEFAULT_TOKENS = 8
QUEUE_LIMIT = 256
PREFIX_CHARACTERS = 256
GAP_EVERY = 7
_NOT_FOUND = 404
_BUSY = 429
_DOWN = 503


class Message(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: Any = ''


class ChatBody(msgspec.Struct):
    """The part of a chat request that the stand-in reads."""

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int = DEFAULT_TOKENS


@dataclass(slots=True, order=True)
class Waiting:
    """A call that waits for its turn; lower priorities go first."""

    priority: int
    number: int
    turn: anyio.Event = field(compare=False)


def prompt_text(body: ChatBody) -> str:
    """Return the text of all messages."""
    return '\n'.join(str(message.content) for message in body.messages)


def expected_words(model: str, prompt: str, count: int) -> list[str]:
    """Return the words that a model answers to a prompt."""
    mark = xxhash.xxh64_hexdigest(f'{model}\n{prompt}'.encode())
    return [f'{mark}-{index} ' for index in range(count)]


class Chat:
    """Runs chat requests, some at once, the rest by priority.

    Attributes
    ----------
    running : int
    queue : list of Waiting
        A heap.
    """

    def __init__(
        self,
        state: TargetState,
        memory: Memory,
        token_ms: float,
        max_running: int,
    ) -> None:
        self.target = state
        self.memory = memory
        self.token_s = token_ms / 1000
        self.max_running = max_running
        self.running = 0
        self.queue: list[Waiting] = []
        self.numbers = itertools.count()
        self.events: list[dict[str, Any]] = []

    async def post(self, request: Request) -> Response:
        """Answer ``POST /v1/chat/completions``."""
        body = msgspec.json.decode(await request.body(), type=ChatBody)
        refused = self._refuse(body)
        if refused is not None:
            return refused
        line = await self.target.journal.receive(request)
        self.target.crash_if_asked(line.body)
        if self.target.faults.take('hang'):
            await anyio.sleep_forever()
        priority = int(request.headers.get('x-ebonywell-priority', '0'))
        request_id = request.headers.get('x-request-id', '')
        words = expected_words(
            body.model,
            prompt_text(body),
            body.max_tokens,
        )
        if body.stream:
            events = self._stream(body, words, line, priority)
            response: Response = StreamingResponse(
                events,
                media_type='text/event-stream',
            )
        else:
            response = await self._whole(body, words, line, priority)
        response.headers['x-request-id'] = request_id
        return response

    async def cache_events(self, request: Request) -> Response:
        """Answer ``GET /cache-events``, with gaps."""
        after = int(request.query_params.get('after', '-1'))
        shown = [
            event
            for event in self.events
            if event['number'] > after and event['number'] % GAP_EVERY
        ]
        return answer({'events': shown, 'next': len(self.events)})

    def _refuse(self, body: ChatBody) -> Response | None:
        model, _, adapter = body.model.partition(':')
        if self.target.faults.is_set('draining'):
            return not_run(_DOWN, 'draining')
        if not self.memory.is_ready(model, adapter):
            return not_run(_NOT_FOUND, 'model_not_loaded')
        if len(self.queue) >= QUEUE_LIMIT:
            return not_run(_BUSY, 'busy')
        return None

    async def _whole(
        self,
        body: ChatBody,
        words: list[str],
        line: JournalLine,
        priority: int,
    ) -> Response:
        text = []
        async for word in self._words(body, words, priority):
            text.append(word)
        line.finished = True
        if self.target.faults.take('cut_stream'):
            return Cut()
        return answer(_completion(body, ''.join(text), len(text)))

    async def _stream(
        self,
        body: ChatBody,
        words: list[str],
        line: JournalLine,
        priority: int,
    ) -> AsyncIterator[bytes]:
        cut_after = self.target.faults.field('cut_stream', 'after')
        async for word in self._words(body, words, priority):
            yield _event(_delta(body, word))
            if cut_after is not None:
                cut_after -= 1
                if cut_after < 1 and self.target.faults.take('cut_stream'):
                    raise ConnectionError('cut as asked')
        line.finished = True
        yield b'data: [DONE]\n\n'

    async def _words(
        self,
        body: ChatBody,
        words: list[str],
        priority: int,
    ) -> AsyncIterator[str]:
        await self._take_turn(priority)
        try:
            self._note_prefix(prompt_text(body))
            for word in words:
                extra_s = self.target.faults.field('slow', 'seconds', 0)
                await anyio.sleep(self.token_s + extra_s)
                yield word
        finally:
            self._end_turn()

    async def _take_turn(self, priority: int) -> None:
        if self.running < self.max_running:
            self.running += 1
            return
        waiting = Waiting(priority, next(self.numbers), anyio.Event())
        heapq.heappush(self.queue, waiting)
        try:
            await waiting.turn.wait()
        except BaseException:
            if waiting.turn.is_set():
                self._end_turn()
            else:
                self.queue.remove(waiting)
                heapq.heapify(self.queue)
            raise

    def _end_turn(self) -> None:
        if self.queue:
            heapq.heappop(self.queue).turn.set()
        else:
            self.running -= 1

    def _note_prefix(self, text: str) -> None:
        prefix = xxhash.xxh64_hexdigest(text[:PREFIX_CHARACTERS].encode())
        self.events.append(
            {
                'number': len(self.events),
                'prefix': prefix,
                'event': 'stored',
            }
        )


def _delta(body: ChatBody, word: str) -> dict[str, Any]:
    return {
        'object': 'chat.completion.chunk',
        'model': body.model,
        'choices': [{'index': 0, 'delta': {'content': word}}],
    }


def _completion(body: ChatBody, text: str, tokens: int) -> dict[str, Any]:
    prompt_tokens = len(prompt_text(body).split())
    return {
        'object': 'chat.completion',
        'model': body.model,
        'choices': [
            {
                'index': 0,
                'message': {'role': 'assistant', 'content': text},
                'finish_reason': 'stop',
            },
        ],
        'usage': {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': tokens,
            'total_tokens': prompt_tokens + tokens,
        },
    }


def _event(body: dict[str, Any]) -> bytes:
    return b'data: %b\n\n' % msgspec.json.encode(body)
