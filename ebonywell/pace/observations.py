"""What one exchange with a target showed, as hosts tell each other.

Answers the load of many hosts with few targets, where each host sees too few
exchanges to know a target's pace or what its prefix cache holds.
"""

from collections.abc import Sequence

import msgspec
import xxhash

from ..inbound import PromptPart

# Part of a target's start time that identifies its incarnation in messages.
BORN_MASK = 0xFFFF


class Observation(msgspec.Struct, frozen=True, array_like=True):
    """One exchange with a target, from the send to the first byte.

    Attributes
    ----------
    number : int
        Counts the observations of one life of a host.
    target : str
    born : int
        Low bits of the target's start time; see `BORN_MASK`.
    service : str
    model, adapter : str
        Empty for a plain service.
    new_tokens : int
        Prompt tokens that the target had to read for the request.
    ahead_tokens : int
        Prompt tokens that it was expected to read before them.
    waited_ms : int
        Time from the send to the first byte.
    machine_percent : int
        How long work took on the target's machine at that moment, as it stated
        (100 is usual); 0 if unknown.
    parts : tuple of int
        Digests of the prompt's shared prefixes; see `prefix_digests`.
    """

    number: int
    target: str
    born: int
    service: str
    model: str
    adapter: str
    new_tokens: int
    ahead_tokens: int
    waited_ms: int
    machine_percent: int = 0
    parts: tuple[int, ...] = ()


def prefix_digests(
    namespace: str, prefix: Sequence[PromptPart]
) -> tuple[int, ...]:
    """Return a 32-bit digest for each prefix that requests may share.

    Parameters
    ----------
    namespace : str
        Model and adapter; a prompt is cached for each pair separately.
    prefix : sequence of PromptPart
        All parts of a prompt, in order. The last one belongs to the request or
        to its session, so no digest covers it.
    """
    hasher = xxhash.xxh32(namespace.encode())
    digests = []
    for part in prefix[:-1]:
        hasher.update(f' {part.part_id}'.encode())
        digests.append(hasher.intdigest())
    return tuple(digests)
