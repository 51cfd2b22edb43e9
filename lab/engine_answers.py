"""Builds the answers of the engine stand-in.

Word `n` of an answer, counted from 0, is ``D-n`` and a space. `D` is the hex
xxh64 of the model name as the engine received it, a line feed and the prompt.
A caller can therefore tell its own answer from the answer to any other request.
"""

import re
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash

DEFAULT_TOKENS = 8
END_OF_EVENTS = b'data: [DONE]\n\n'
_WORD_COUNT = re.compile(r'words=(\d+)')


class Message(msgspec.Struct):
    """Message of a chat."""

    role: str
    content: Any = ''


class ChatBody(msgspec.Struct):
    """Fields of a chat request that the stand-in reads."""

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int = DEFAULT_TOKENS

    def prompt(self) -> str:
        """Return the text of all messages, joined by line feeds."""
        return '\n'.join(str(message.content) for message in self.messages)

    def word_count(self) -> int:
        """Return the number of words of the answer.

        A prompt that contains ``words=N`` gets N words, any other prompt
        `max_tokens` words. No answer exceeds `max_tokens` words.
        """
        match = _WORD_COUNT.search(self.prompt())
        if match is None:
            return self.max_tokens
        return min(int(match.group(1)), self.max_tokens)


@dataclass(slots=True)
class Completion:
    """Answer in the format of the OpenAI API.

    Attributes
    ----------
    request_id : str
    body : ChatBody
    words : list of str
    created : int
        Time in seconds since the epoch.
    """

    request_id: str
    body: ChatBody
    words: list[str] = field(init=False)
    created: int = field(default_factory=lambda: int(time.time()))

    def __post_init__(self) -> None:
        """Generate the words."""
        self.words = expected_words(
            self.body.model,
            self.body.prompt(),
            self.body.word_count(),
        )

    def usage(self) -> dict[str, int]:
        """Return the token counts; each word is one token."""
        prompt_tokens = len(self.body.prompt().split())
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': len(self.words),
            'total_tokens': prompt_tokens + len(self.words),
        }

    def whole(self) -> dict[str, Any]:
        """Return the body of an answer that is not streamed."""
        message = {'role': 'assistant', 'content': ''.join(self.words)}
        choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
        return self._envelope('chat.completion', choice, usage=self.usage())

    def event(self, index: int) -> bytes:
        """Return the event for one word; the last event has the usage too."""
        delta = {'role': 'assistant', 'content': self.words[index]}
        choice: dict[str, Any] = {'index': 0, 'delta': delta}
        kind = 'chat.completion.chunk'
        if index < len(self.words) - 1:
            return _event(self._envelope(kind, choice))
        choice['finish_reason'] = 'stop'
        return _event(self._envelope(kind, choice, usage=self.usage()))

    def _envelope(self, kind: str, choice: Any, **extra: Any) -> dict[str, Any]:
        return {
            'id': f'chatcmpl-{self.request_id}',
            'object': kind,
            'created': self.created,
            'model': self.body.model,
            'choices': [choice],
            **extra,
        }


def expected_words(model: str, prompt: str, count: int) -> list[str]:
    """Return the words of the answer of a model to a prompt."""
    digest = xxhash.xxh64_hexdigest(f'{model}\n{prompt}'.encode())
    return [f'{digest}-{index} ' for index in range(count)]


def _event(body: dict[str, Any]) -> bytes:
    return b'data: %b\n\n' % msgspec.json.encode(body)
