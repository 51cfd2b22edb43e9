"""Measures token limits shared by hosts: rejections, waits and messages.

The production code of the limits runs on eight simulated hosts under a virtual
clock. Messages between hosts take 1.5 to 3.5 ms. Run ``python -m
lab.limits_bench`` to print the rows.
"""

import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import msgspec

from .limits_fleet import Fleet
from .limits_tally import find_excess

HOST_NAMES = tuple(f'h{index}' for index in range(8))
RATE_TOKENS_PER_S = 1000.0
BURST_TOKENS = 4000.0
MEAN_TOKENS = 200
SMALL_MEAN_TOKENS = 40
STEADY_LOAD = 0.9
LOSS_LOAD = 0.8
OVERLOAD = 10.0
LOAD_START_S = 10.0
WORKSPACE_CREATION_S = 5.0
RUN_S = 300.0
LOSS_DELAY_S = 60.0
SHORT_RUN_S = 120.0
MOVE_INTERVAL_S = 30.0
RECONNECT_S = 1.0
PERCENT = 100
MS_PER_S = 1000
_P99 = 0.99

HostSelector = Callable[[Fleet], str]


class Row(msgspec.Struct, frozen=True):
    """Results of one design in one scenario.

    Attributes
    ----------
    design, scenario : str
    requests : int
    attained_percent : float
        Tokens admitted, as a percentage of those that a single bucket for
        the whole fleet would have admitted.
    wrongful_percent : float
        Requests rejected although a single bucket for the whole fleet had
        the tokens.
    waited_percent : float
        Requests admitted after waiting for tokens from other hosts.
    wait_p99_ms, wait_max_ms : float
    messages_per_s, bytes_per_s : float
        Token transfers of all hosts together, for all workspaces of the
        scenario. Other messages are not counted.
    excess_tokens : float
        Tokens by which the worst window exceeds rate and burst; 0 or less
        if the limit holds.
    """

    design: str
    scenario: str
    requests: int
    attained_percent: float
    wrongful_percent: float
    waited_percent: float
    wait_p99_ms: float
    wait_max_ms: float
    messages_per_s: float
    bytes_per_s: float
    excess_tokens: float


@dataclass(slots=True)
class Design:
    """A way to divide a token bucket among hosts.

    Attributes
    ----------
    name : str
    home_count : int
        Hosts that own a share of the bucket.
    lends : bool
        Whether hosts pass tokens to each other.
    """

    name: str
    home_count: int = 8
    lends: bool = True


DESIGNS = (
    Design('static split', lends=False),
    Design('owner with grants', home_count=1),
    Design('cash', home_count=8),
)


@dataclass(slots=True)
class ReferenceBucket:
    """A single token bucket for the whole fleet, the ideal to compare with."""

    level: float = BURST_TOKENS
    updated_at: float = 0

    def take(self, tokens: int, now: float) -> bool:
        """Refill the bucket and take tokens if it holds enough."""
        self.level = min(
            BURST_TOKENS,
            self.level + (now - self.updated_at) * RATE_TOKENS_PER_S,
        )
        self.updated_at = now
        has_tokens = tokens <= self.level
        self.level -= tokens if has_tokens else 0
        return has_tokens


@dataclass(slots=True)
class OfferedLoad:
    """Requests of one workspace, with Poisson arrivals.

    Sizes are uniform between half and one and a half times the mean.

    Attributes
    ----------
    workspace : str
    rate_fraction : float
        Offered tokens as a fraction of the rate.
    select_host : callable
        Returns the name of the host that gets the next request.
    end_s : float
        Time of the last request, in seconds since the start.
    bucket : ReferenceBucket
    conforming_tokens : int
        Tokens of the requests that the reference bucket admits.
    """

    workspace: str
    rate_fraction: float
    select_host: HostSelector
    end_s: float
    chance: random.Random
    mean_tokens: int = MEAN_TOKENS
    bucket: ReferenceBucket = field(default_factory=ReferenceBucket)
    requests: int = 0
    conforming_tokens: int = 0

    def send(self, fleet: Fleet) -> None:
        """Send a request and schedule the next one."""
        half = self.mean_tokens // 2
        tokens = self.chance.randint(half, 3 * half)
        is_conforming = self.bucket.take(tokens, fleet.now)
        host = fleet.hosts[self.select_host(fleet)]
        host.request(
            self.workspace, tokens, tokens, is_conforming=is_conforming
        )
        self.requests += 1
        self.conforming_tokens += tokens if is_conforming else 0
        if fleet.now < self.end_s:
            delay_s = self.chance.expovariate(
                self.rate_fraction * RATE_TOKENS_PER_S / self.mean_tokens
            )
            fleet.after(delay_s, lambda: self.send(fleet))


def select_one_host(fleet: Fleet) -> str:
    """Return the same host for every request."""
    return HOST_NAMES[0]


def select_any_running(fleet: Fleet) -> str:
    """Return a random host among those that run."""
    running = [name for name in HOST_NAMES if not fleet.hosts[name].is_dead]
    return fleet.chance.choice(running)


def select_moving_host(fleet: Fleet) -> str:
    """Return one host for all requests; it changes at a fixed interval."""
    return HOST_NAMES[int(fleet.now / MOVE_INTERVAL_S) % len(HOST_NAMES)]


def select_first_running(fleet: Fleet) -> str:
    """Return the first host that runs."""
    return next(name for name in HOST_NAMES if not fleet.hosts[name].is_dead)


def measure(seed: int) -> list[Row]:
    """Return the rows of all designs and scenarios for one seed."""
    rows = []
    for design in DESIGNS:
        rows += _measure_steady(design, seed)
        rows += _measure_loss(design, seed)
        rows += _measure_overload(design, seed)
    return rows


def _start_fleet(
    design: Design, seed: int, workspaces: tuple[str, ...]
) -> Fleet:
    fleet = Fleet(seed, list(HOST_NAMES))
    for host in fleet.lives:
        host.limits.ledger.max_owners = design.home_count
        host.limits.ledger.lends = design.lends
    fleet.run_until(WORKSPACE_CREATION_S)
    for workspace in workspaces:
        fleet.add_workspace(workspace, RATE_TOKENS_PER_S, BURST_TOKENS)
    fleet.run_until(LOAD_START_S)
    fleet.messages = 0
    fleet.message_bytes = 0
    return fleet


def _make_row(
    design: Design, scenario: str, fleet: Fleet, load: OfferedLoad
) -> Row:
    tally = fleet.tallies[load.workspace]
    elapsed_s = fleet.now - LOAD_START_S
    waits = sorted(tally.waits_s) or [0]
    return Row(
        design.name,
        scenario,
        load.requests,
        round(
            PERCENT
            * _admitted_tokens(fleet, load.workspace)
            / load.conforming_tokens,
            1,
        ),
        round(PERCENT * tally.wrongful_rejections / load.requests, 3),
        round(PERCENT * tally.waited / max(1, tally.admitted), 2),
        round(MS_PER_S * waits[int(_P99 * (len(waits) - 1))], 1),
        round(MS_PER_S * waits[-1], 1),
        round(fleet.messages / elapsed_s, 1),
        round(fleet.message_bytes / elapsed_s),
        round(_excess_tokens(fleet, load.workspace), 1),
    )


def _admitted_tokens(fleet: Fleet, workspace: str) -> int:
    return sum(
        one.tokens for one in fleet.history if one.workspace == workspace
    )


def _excess_tokens(fleet: Fleet, workspace: str) -> float:
    return find_excess(
        fleet.history, workspace, RATE_TOKENS_PER_S, BURST_TOKENS
    )


def _run_loads(fleet: Fleet, loads: list[OfferedLoad]) -> None:
    for load in loads:
        load.bucket.updated_at = fleet.now
        load.send(fleet)
    fleet.run_until(max(one.end_s for one in loads) + 1)


def _measure_steady(design: Design, seed: int) -> list[Row]:
    rows = []
    cases = (
        ('even', select_any_running, MEAN_TOKENS),
        ('even, small requests', select_any_running, SMALL_MEAN_TOKENS),
        ('one address', select_one_host, MEAN_TOKENS),
        ('one address, small requests', select_one_host, SMALL_MEAN_TOKENS),
        ('moving address', select_moving_host, MEAN_TOKENS),
    )
    for scenario, select_host, mean_tokens in cases:
        fleet = _start_fleet(design, seed, ('a',))
        chance = random.Random(seed)
        until = LOAD_START_S + RUN_S
        load = OfferedLoad(
            'a', STEADY_LOAD, select_host, until, chance, mean_tokens
        )
        _run_loads(fleet, [load])
        rows.append(_make_row(design, scenario, fleet, load))
    return rows


def _measure_loss(design: Design, seed: int) -> list[Row]:
    rows = []
    selectors = {
        'loss of a host, even': select_any_running,
        'loss of the one address': select_first_running,
    }
    for scenario, select_host in selectors.items():
        fleet = _start_fleet(design, seed, ('a',))
        lost = fleet.hosts[HOST_NAMES[0]]
        fleet.after(LOSS_DELAY_S, partial(setattr, lost, 'is_dead', True))
        chance = random.Random(seed)
        load = OfferedLoad(
            'a', LOSS_LOAD, select_host, LOAD_START_S + SHORT_RUN_S, chance
        )
        _run_loads(fleet, [load])
        rows.append(_make_row(design, scenario, fleet, load))
    return rows


def _measure_overload(design: Design, seed: int) -> list[Row]:
    rows = []
    cases = (
        ('beside 1x', 1.0, select_any_running),
        ('beside 10x', OVERLOAD, select_any_running),
        ('beside 10x on one address', OVERLOAD, select_one_host),
    )
    for scenario, other, select_host in cases:
        fleet = _start_fleet(design, seed, ('a', 'b'))
        until = LOAD_START_S + SHORT_RUN_S
        load = OfferedLoad(
            'a', STEADY_LOAD, select_one_host, until, random.Random(seed)
        )
        neighbour = OfferedLoad(
            'b', other, select_host, until, random.Random(seed + 1)
        )
        _run_loads(fleet, [load, neighbour])
        rows.append(_make_row(design, scenario, fleet, load))
        rows.append(_make_row(design, f'{scenario}: b', fleet, neighbour))
    return rows


def main() -> None:
    """Print the rows for the seed on the command line; the default is 1."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    for row in measure(seed):
        sys.stdout.write(f'{msgspec.json.encode(row).decode()}\n')


if __name__ == '__main__':
    main()
