"""Measures what a host spends on its knowledge of the targets' prefix caches.

The load of one host stays the same while the fleet grows: 3.2 prompts a second
for each host, and 45 targets for 70 hosts, as in docs/design/hard-load.md.
Run as ``python -m lab.prefix_cache_cost``.
"""

import collections
import random
import sys
import time
from collections.abc import Iterable

import msgspec

from ebonywell.inbound import Generation, PromptPart
from ebonywell.pace.observations import Observation
from ebonywell.prefixcache.index import PrefixCacheIndex, TargetMemory
from ebonywell.prefixcache.prompts import Prompt, describe_prompt
from ebonywell.prefixcache.targetcache import SentPrompt

HOST_COUNTS = (8, 72, 300, 918)
PROMPTS_PER_S = 3.2
TARGETS_PER_HOST = 45 / 70
ROOM_TOKENS = 100_000
MODELS = 147
PREFIXES_PER_MODEL = 3
CANDIDATES = 6
SIMULATED_S = 10
# Digests that repeat one observation, and hosts to which each one goes.
REPEATS = 5
FANOUT = 10


def count_bytes(roots: Iterable[object]) -> int:
    """Return the bytes of some objects and of all that they refer to."""
    sizes: dict[int, int] = {}
    left = list(roots)
    while left:
        one = left.pop()
        if id(one) in sizes:
            continue
        sizes[id(one)] = sys.getsizeof(one)
        if isinstance(one, dict):
            left.extend(one.keys())
            left.extend(one.values())
        elif isinstance(one, (list, tuple, collections.deque)):
            left.extend(one)
        else:
            slots = getattr(type(one), '__slots__', ())
            left.extend(getattr(one, name) for name in slots)
    return sum(sizes.values())


def main() -> None:
    """Print a row for each size of the fleet."""
    for hosts in HOST_COUNTS:
        print(measure(hosts))
    print('bytes of a shared prefix in an observation:', part_bytes())


def measure(hosts: int) -> str:
    """Return the cost of one host in a fleet of some hosts."""
    rng = random.Random(hosts)
    names = [
        f'target-{number}' for number in range(int(hosts * TARGETS_PER_HOST))
    ]
    memories = {name: TargetMemory(1, ROOM_TOKENS) for name in names}
    index = PrefixCacheIndex(memory_of=memories.get)
    prompts = [_make_prompt(rng) for _ in range(2000)]
    heard = int(hosts * PROMPTS_PER_S * SIMULATED_S)
    started_s = time.process_time()
    for number in range(heard):
        prompt = rng.choice(prompts)
        now = number / (hosts * PROMPTS_PER_S)
        index.note_observation(_observe(rng.choice(names), prompt), now)
    heard_s = time.process_time() - started_s
    own = int(PROMPTS_PER_S * SIMULATED_S)
    started_s = time.process_time()
    for _ in range(own):
        prompt = rng.choice(prompts)
        for name in rng.choices(names, k=CANDIDATES):
            index.kept_tokens((name, 1), prompt, 0, SIMULATED_S)
        sent = SentPrompt((names[0], 1), prompt, 0, 1500)
        with index.sending(sent):
            index.note_first_byte(sent, SIMULATED_S)
    own_s = time.process_time() - started_s
    kept_bytes = count_bytes([index.caches, index.own_exchanges])
    sent_bytes = PROMPTS_PER_S * REPEATS * FANOUT * part_bytes()
    return (
        f'{hosts:4} hosts, {len(names):3} targets: {index.size} parts, '
        f'{kept_bytes / 1000:.0f} kB; processor ms/s: '
        f'{heard_s / SIMULATED_S * 1000:.2f} for what others observe, '
        f'{own_s / SIMULATED_S * 1000:.2f} for own requests; '
        f'{sent_bytes:.0f} bytes/s sent first hand'
    )


def part_bytes() -> int:
    """Return the bytes that one shared prefix adds to an observation."""
    prompt = _make_prompt(random.Random(1))
    with_parts = _observe('target-1', prompt)
    without = msgspec.structs.replace(with_parts, parts=())
    return len(msgspec.msgpack.encode(with_parts)) - len(
        msgspec.msgpack.encode(without)
    )


def _make_prompt(rng: random.Random) -> Prompt:
    model = f'm{rng.randrange(MODELS)}'
    parts = (
        PromptPart(f'system-{rng.randrange(PREFIXES_PER_MODEL)}', 500),
        PromptPart(f'request-{rng.random()}', 1500),
    )
    return describe_prompt(Generation(model, '', 2000, 100, 100, parts))


def _observe(target: str, prompt: Prompt) -> Observation:
    model = prompt.namespace.partition('/')[0]
    return Observation(
        1, target, 1, 'chat', model, '', 1500, 0, 90, 100, prompt.shared_digests
    )


if __name__ == '__main__':
    main()
