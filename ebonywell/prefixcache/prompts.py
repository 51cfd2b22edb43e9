"""Names the parts of a prompt under which targets cache them."""

import sys
from dataclasses import dataclass

from ..inbound import Generation
from ..pace.observations import prefix_digests

# Parts of a prompt that are considered. Callers name them, and a prompt with
# thousands of parts must not fill the index.
MAX_PARTS_PER_PROMPT = 16


@dataclass(slots=True, frozen=True)
class Prompt:
    """The parts of a prompt, as a target caches them.

    Attributes
    ----------
    namespace : str
        Model and adapter; a prompt is cached for each pair separately.
    digests : tuple of int
        A digest for each prefix of the prompt, the shortest first. The last
        one covers the part that belongs to the request or its session.
    tokens : tuple of int
        Tokens of each part.
    prompt_tokens : int
        Tokens of the whole prompt.
    """

    namespace: str = ''
    digests: tuple[int, ...] = ()
    tokens: tuple[int, ...] = ()
    prompt_tokens: int = 0

    @property
    def shared_digests(self) -> tuple[int, ...]:
        """Digests of the prefixes that other requests may share."""
        return self.digests[:-1]


NO_PROMPT = Prompt()


def describe_prompt(generation: Generation | None) -> Prompt:
    """Return the cached parts of a request's prompt."""
    if generation is None:
        return NO_PROMPT
    parts = generation.prefix[:MAX_PARTS_PER_PROMPT]
    namespace = cache_namespace(generation.model, generation.adapter)
    # `prefix_digests` leaves out the last part.
    digests = prefix_digests(namespace, (*parts, *parts[-1:]))
    tokens = tuple(max(0, part.tokens) for part in parts)
    return Prompt(namespace, digests, tokens, generation.prompt_tokens)


def cache_namespace(model: str, adapter: str) -> str:
    """Return the name under which a target caches prompts.

    Many parts share a name, so that it is kept in memory once.
    """
    return sys.intern(f'{model}/{adapter}')
