"""Requests for many models; the most requested ones change within seconds."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from ebonywell.inbound import Generation

_GB = 1_000_000_000


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request; requests of one kind have the same goal and deadline.

    Attributes
    ----------
    name : str
    requests_per_s : float
        Rate over all models.
    prompt_tokens, output_tokens : float
        Means of log-normally distributed sizes.
    goal_s, deadline_s : float
    rank : int
        Rank of the priority; 0 is the most urgent.
    worth : float
        Worth of an answer within the goal.
    is_rare : bool
        Whether the requests are for the many rare models instead of the busy
        ones.
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
    """A demand and the site that serves it; the defaults are a small site.

    Attributes
    ----------
    kinds : tuple of Kind
    busy_models, rare_models : int
    concurrent_busy_models : int
        Number of busy models that are requested at any one time.
    shift_interval_s : float
        Time between two shifts of the demand to other busy models.
    engines, hosts : int
    load_factor : float
        Factor on the rates of all kinds.
    duration_s : float
    seed : int
    loads_per_s : float
        Rate at which the weight store starts loads.
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
    """One request, including the retries of its caller.

    Attributes
    ----------
    kind : Kind
    generation : Generation
    arrived_at : float
        When the caller first sent the request.
    requested_at : float
        When the caller last sent the request.
    deadline : float
    retries_left : int
        How often the caller may still retry.
    """

    kind: Kind
    generation: Generation
    arrived_at: float
    requested_at: float
    deadline: float
    retries_left: int = 1

    @property
    def worth(self) -> float:
        """Worth of an answer in time; large prompts are worth more."""
        size = self.generation.prompt_tokens / self.kind.prompt_tokens
        return self.kind.worth * min(4, 0.3 + 0.7 * size)


SMALL_SITE = (
    Kind('urgent', 8.8, 1460, 171, 0.5, 15.0, 0, 2.5),
    Kind('usual', 32.3, 2368, 24, 0.6, 4.0, 1, 1.8),
    Kind('batch', 4.5, 2368, 24, 1.5, 6.0, 2, 1.8, is_rare=True),
)


def model_sizes(scenario: Scenario) -> dict[str, int]:
    """Return the size of each model, in bytes; busy models come first."""
    rng = random.Random(scenario.seed)
    count = scenario.busy_models + scenario.rare_models
    sizes = (72_700_000_000, 65_000_000_000, 34_300_000_000)
    return {
        f'm{place}': rng.choices(sizes, (5, 2, 3))[0] for place in range(count)
    }


def make_requests(scenario: Scenario) -> Iterator[Request]:
    """Iterate over the requests in the order in which they are sent."""
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
    # Callers switch gradually, over the first half of each interval.
    if rng.random() > (now / scenario.shift_interval_s - shift) * 2:
        shift -= 1
    place = rng.choices(ranks, weights)[0] + max(0, shift)
    return f'm{place % scenario.busy_models}'


def _spread(rng: random.Random, mean: float, sigma: float) -> int:
    """Return a size from a log-normal distribution, bounded above."""
    size = rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
    return max(1, int(min(size, 4 * mean)))
