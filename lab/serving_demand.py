"""Requests for many models whose places in the demand change in seconds."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from ebonywell.inbound import Generation

_GB = 1_000_000_000


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request.

    Attributes
    ----------
    name : str
    requests_per_s : float
        Over all models.
    prompt_tokens, output_tokens : float
        Means; the sizes spread log-normally.
    goal_s, deadline_s : float
    rank : int
    worth : float
        Of an answer in time.
    is_rare : bool
        Whether it asks for the many rare models and not for the busy ones.
    """

    name: str
    requests_per_s: float
    prompt_tokens: float
    output_tokens: float
    goal_s: float
    deadline_s: float
    rank: int
    worth: float
    is_rare: bool = False


@dataclass(slots=True, frozen=True)
class Scenario:
    """A load and what serves it; the figures are those of a small site.

    Attributes
    ----------
    kinds : tuple of Kind
    busy_models, rare_models : int
    concurrent_busy_models : int
        Of the busy models, those that are asked for at a time.
    shift_interval_s : float
        Between two moves of the demand to other busy models.
    engines, hosts : int
    load_factor : float
        Of the kinds' rates.
    duration_s : float
    seed : int
    loads_per_s : float
        That the weight store begins.
    """

    kinds: tuple[Kind, ...]
    busy_models: int = 15
    rare_models: int = 16
    concurrent_busy_models: int = 6
    shift_interval_s: float = 7.0
    engines: int = 9
    hosts: int = 7
    load_factor: float = 1.0
    duration_s: float = 40.0
    seed: int = 1
    loads_per_s: float = 2.1


@dataclass(slots=True, eq=False)
class Request:
    """One request, over all its caller's attempts.

    Attributes
    ----------
    kind : Kind
    generation : Generation
    arrived_at : float
        The first attempt's arrival.
    requested_at : float
        The last attempt's arrival.
    deadline : float
    retries_left : int
        How often its caller may still come back.
    """

    kind: Kind
    generation: Generation
    arrived_at: float
    requested_at: float
    deadline: float
    retries_left: int = 1

    @property
    def worth(self) -> float:
        """What an answer in time is worth; large prompts are worth more."""
        size = self.generation.prompt_tokens / self.kind.prompt_tokens
        return self.kind.worth * min(4, 0.3 + 0.7 * size)


SMALL_SITE = (
    Kind('urgent', 8.8, 1460, 171, 0.5, 15.0, 0, 2.5),
    Kind('usual', 32.3, 2368, 24, 0.6, 4.0, 1, 1.8),
    Kind('batch', 4.5, 2368, 24, 1.5, 6.0, 2, 1.8, is_rare=True),
)


def model_sizes(scenario: Scenario) -> dict[str, int]:
    """Return the size of each model, in bytes; busy ones come first."""
    rng = random.Random(scenario.seed)
    count = scenario.busy_models + scenario.rare_models
    sizes = (72_700_000_000, 65_000_000_000, 34_300_000_000)
    return {
        f'm{place}': rng.choices(sizes, (5, 2, 3))[0] for place in range(count)
    }


def make_requests(scenario: Scenario) -> Iterator[Request]:
    """Iterate over the requests in the order of their arrival."""
    rng = random.Random(scenario.seed)
    total = (
        sum(kind.requests_per_s for kind in scenario.kinds)
        * scenario.load_factor
    )
    now = rng.expovariate(total)
    while now < scenario.duration_s:
        kind = rng.choices(
            scenario.kinds,
            [one.requests_per_s for one in scenario.kinds],
        )[0]
        prompt = _spread(rng, kind.prompt_tokens, 1.0)
        output = _spread(rng, kind.output_tokens, 0.8)
        model = _pick_model(scenario, kind, now, rng)
        yield Request(
            kind,
            Generation(model, '', prompt, output, output),
            now,
            now,
            now + kind.deadline_s,
        )
        now += rng.expovariate(total)


def _pick_model(
    scenario: Scenario,
    kind: Kind,
    now: float,
    rng: random.Random,
) -> str:
    if kind.is_rare:
        place = rng.randrange(scenario.rare_models) + scenario.busy_models
        return f'm{place}'
    ranks = range(scenario.concurrent_busy_models)
    weights = [1 / (one + 1) for one in ranks]
    shift = int(now / scenario.shift_interval_s)
    # Callers move over one after the other.
    if rng.random() > (now / scenario.shift_interval_s - shift) * 2:
        shift -= 1
    place = rng.choices(ranks, weights)[0] + max(0, shift)
    return f'm{place % scenario.busy_models}'


def _spread(rng: random.Random, mean: float, sigma: float) -> int:
    """Return a size from a log-normal distribution, bounded above."""
    size = rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
    return max(1, int(min(size, 4 * mean)))
