"""Measures the limits across hosts: refusals, waits and messages.

The program's own limits run at eight members under a virtual clock, with
messages that take 1.5 to 3.5 ms. ``python -m lab.limits_bench`` prints the
rows.
"""

import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import msgspec

from .limits_fleet import Fleet
from .limits_tally import find_excess

NAMES = tuple(f'h{index}' for index in range(8))
RATE = 1000.0
BURST = 4000.0
MEAN_TOKENS = 200
SMALL_TOKENS = 40
STEADY_LOAD = 0.9
LOSS_LOAD = 0.8
OVERLOAD = 10.0
BEGIN_S = 10.0
SETTLED_S = 5.0
RUN_S = 300.0
LOSS_AT_S = 60.0
LOSS_RUN_S = 120.0
MOVE_S = 30.0
RECONNECT_S = 1.0
PERCENT = 100
MS = 1000
_HIGH = 0.99

Pick = Callable[[Fleet], str]


class Row(msgspec.Struct, frozen=True):
    """What one design did in one scenario.

    Attributes
    ----------
    design, scenario : str
    requests : int
    attained_percent : float
        Tokens admitted, in parts of what one bucket for the whole fleet
        would have admitted.
    wrongful_percent : float
        Refused although one bucket for the whole fleet had the tokens.
    waited_percent : float
        Admitted after waiting for other hosts.
    wait_p99_ms, wait_max_ms : float
    messages_per_s, bytes_per_s : float
        For limits alone, of all hosts together, per workspace.
    excess_tokens : float
        By how much the worst window exceeds rate and burst; at most 0.
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
    """A way to divide a bucket among hosts."""

    name: str
    home_count: int = 8
    lends: bool = True


DESIGNS = (
    Design('static split', lends=False),
    Design('owner with grants', home_count=1),
    Design('cash', home_count=8),
)


@dataclass(slots=True)
class Bucket:
    """The one bucket that a perfect fleet would be."""

    level: float = BURST
    at: float = 0

    def take(self, tokens: int, now: float) -> bool:
        """Take tokens if there are as many."""
        self.level = min(BURST, self.level + (now - self.at) * RATE)
        self.at = now
        is_there = tokens <= self.level
        self.level -= tokens if is_there else 0
        return is_there


@dataclass(slots=True)
class Load:
    """Requests of one workspace, Poisson with sizes around a mean.

    Attributes
    ----------
    workspace : str
    load : float
        Offered tokens as a part of the rate.
    pick : callable
        Returns the host that the next request goes to.
    until : float
        Seconds since the start.
    """

    workspace: str
    load: float
    pick: Pick
    until: float
    chance: random.Random
    mean_tokens: int = MEAN_TOKENS
    bucket: Bucket = field(default_factory=Bucket)
    requests: int = 0
    due_tokens: int = 0

    def send(self, fleet: Fleet) -> None:
        """Send a request, and the next one later."""
        half = self.mean_tokens // 2
        tokens = self.chance.randint(half, 3 * half)
        is_due = self.bucket.take(tokens, fleet.now)
        host = fleet.hosts[self.pick(fleet)]
        host.request(self.workspace, tokens, tokens, is_due=is_due)
        self.requests += 1
        self.due_tokens += tokens if is_due else 0
        if fleet.now < self.until:
            gap_s = self.chance.expovariate(self.load * RATE / self.mean_tokens)
            fleet.after(gap_s, lambda: self.send(fleet))


def pick_one(fleet: Fleet) -> str:
    """Send every request to one host."""
    return NAMES[0]


def pick_any(fleet: Fleet) -> str:
    """Spread requests evenly over the hosts that run."""
    running = [name for name in NAMES if not fleet.hosts[name].is_dead]
    return fleet.chance.choice(running)


def pick_moving(fleet: Fleet) -> str:
    """Send every request to one host, another one every while."""
    return NAMES[int(fleet.now / MOVE_S) % len(NAMES)]


def pick_first_running(fleet: Fleet) -> str:
    """Send every request to the first host that runs."""
    return next(name for name in NAMES if not fleet.hosts[name].is_dead)


def measure(seed: int) -> list[Row]:
    """Return the rows of all designs and scenarios for one seed."""
    rows = []
    for design in DESIGNS:
        rows += _measure_steady(design, seed)
        rows += _measure_loss(design, seed)
        rows += _measure_overload(design, seed)
    return rows


def _start(design: Design, seed: int, workspaces: tuple[str, ...]) -> Fleet:
    fleet = Fleet(seed, list(NAMES))
    for host in fleet.lives:
        host.limits.ledger.max_owners = design.home_count
        host.limits.ledger.lends = design.lends
    fleet.run_until(SETTLED_S)
    for workspace in workspaces:
        fleet.add_workspace(workspace, RATE, BURST)
    fleet.run_until(BEGIN_S)
    fleet.messages = 0
    fleet.message_bytes = 0
    return fleet


def _row(design: Design, scenario: str, fleet: Fleet, load: Load) -> Row:
    tally = fleet.tallies[load.workspace]
    elapsed = fleet.now - BEGIN_S
    waits = sorted(tally.waits_s) or [0]
    return Row(
        design.name,
        scenario,
        load.requests,
        round(PERCENT * _admitted(fleet, load.workspace) / load.due_tokens, 1),
        round(PERCENT * tally.wrongful / load.requests, 3),
        round(PERCENT * tally.waited / max(1, tally.admitted), 2),
        round(MS * waits[int(_HIGH * (len(waits) - 1))], 1),
        round(MS * waits[-1], 1),
        round(fleet.messages / elapsed, 1),
        round(fleet.message_bytes / elapsed),
        round(_excess(fleet, load.workspace), 1),
    )


def _admitted(fleet: Fleet, workspace: str) -> int:
    return sum(
        one.tokens for one in fleet.history if one.workspace == workspace
    )


def _excess(fleet: Fleet, workspace: str) -> float:
    return find_excess(fleet.history, workspace, RATE, BURST)


def _run(fleet: Fleet, loads: list[Load]) -> None:
    for load in loads:
        load.bucket.at = fleet.now
        load.send(fleet)
    fleet.run_until(max(one.until for one in loads) + 1)


def _measure_steady(design: Design, seed: int) -> list[Row]:
    rows = []
    cases = (
        ('even', pick_any, MEAN_TOKENS),
        ('even, small requests', pick_any, SMALL_TOKENS),
        ('one address', pick_one, MEAN_TOKENS),
        ('one address, small requests', pick_one, SMALL_TOKENS),
        ('moving address', pick_moving, MEAN_TOKENS),
    )
    for scenario, pick, mean_tokens in cases:
        fleet = _start(design, seed, ('a',))
        chance = random.Random(seed)
        until = BEGIN_S + RUN_S
        load = Load('a', STEADY_LOAD, pick, until, chance, mean_tokens)
        _run(fleet, [load])
        rows.append(_row(design, scenario, fleet, load))
    return rows


def _measure_loss(design: Design, seed: int) -> list[Row]:
    rows = []
    picks = {
        'loss of a host, even': pick_any,
        'loss of the one address': pick_first_running,
    }
    for scenario, pick in picks.items():
        fleet = _start(design, seed, ('a',))
        lost = fleet.hosts[NAMES[0]]
        fleet.after(LOSS_AT_S, partial(setattr, lost, 'is_dead', True))
        chance = random.Random(seed)
        load = Load('a', LOSS_LOAD, pick, BEGIN_S + LOSS_RUN_S, chance)
        _run(fleet, [load])
        rows.append(_row(design, scenario, fleet, load))
    return rows


def _measure_overload(design: Design, seed: int) -> list[Row]:
    rows = []
    cases = (
        ('beside 1x', 1.0, pick_any),
        ('beside 10x', OVERLOAD, pick_any),
        ('beside 10x on one address', OVERLOAD, pick_one),
    )
    for scenario, other, pick in cases:
        fleet = _start(design, seed, ('a', 'b'))
        until = BEGIN_S + LOSS_RUN_S
        load = Load('a', STEADY_LOAD, pick_one, until, random.Random(seed))
        beside = Load('b', other, pick, until, random.Random(seed + 1))
        _run(fleet, [load, beside])
        rows.append(_row(design, scenario, fleet, load))
        rows.append(_row(design, f'{scenario}: b', fleet, beside))
    return rows


def main() -> None:
    """Print the rows for the seed given, or for seed 1."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    for row in measure(seed):
        sys.stdout.write(f'{msgspec.json.encode(row).decode()}\n')


if __name__ == '__main__':
    main()
