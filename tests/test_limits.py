"""Limits over all hosts: the bound under faults, and who is refused."""

from functools import partial

import pytest

from lab.limits_fleet import Fleet, find_excess

RATE = 1000
BURST = 4000
NAMES = ['h0', 'h1', 'h2', 'h3', 'h4']
SEEDS = 240
SEED_GROUPS = 24
END_S = 45
HARMLESS_TOKENS = 1e-3


def start(seed, names=NAMES):
    fleet = Fleet(seed, names)
    fleet.run_until(3)
    fleet.add_workspace('w', RATE, BURST)
    fleet.run_until(4)
    return fleet


def call(fleet, until, rate=RATE, size=200, names=NAMES):
    """Send calls to hosts of which some are asked far more than others."""

    def one():
        tokens = fleet.chance.randint(size // 2, size * 3 // 2)
        used = fleet.chance.randint(1, tokens)
        weights = [4**-index for index in range(len(names))]
        name = fleet.chance.choices(names, weights)[0]
        fleet.hosts[name].request('w', tokens, used)
        if fleet.now < until:
            fleet.after(fleet.chance.expovariate(rate / size), one)

    one()


def fault(fleet):
    """Do one thing that may happen to a fleet, and undo it later."""
    chance = fleet.chance
    host = fleet.hosts[chance.choice(sorted(fleet.hosts))]
    name = host.id.name
    others = {frozenset((name, other)) for other in fleet.hosts}
    seconds = chance.choice((0.3, 2, 5, 12, 20))

    def heal():
        host.has_log = True
        fleet.cuts -= others
        fleet.log_is_up = True
        if fleet.hosts[name].is_dead:
            elsewhere = f'{name}:{fleet.now}'
            fleet.start(name, chance.choice((name, elsewhere)))

    match chance.randrange(8):
        case 0 | 1:
            fleet.freeze(host, seconds)
        case 2:
            host.die()
        case 3:
            fleet.cuts |= others
        case 4:
            fleet.cuts |= others
            host.has_log = False
        case 5:
            fleet.log_is_up = False
        case 6:
            # An old life that is frozen, and its successor elsewhere.
            fleet.freeze(host, seconds)
            fleet.start(name, f'{name}:{fleet.now}')
        case 7:
            host.leave()
    fleet.after(seconds, heal)


def run_faults(seed):
    fleet = start(seed)
    fleet.loss = fleet.chance.choice((0, 0.05))
    fleet.doubling = fleet.chance.choice((0, 0.1))
    call(fleet, END_S, rate=2 * RATE, size=fleet.chance.choice((100, 1000)))
    for _ in range(5):
        fleet.after(fleet.chance.uniform(0, 30), partial(fault, fleet))
    fleet.run_until(END_S + 5)
    return fleet


@pytest.mark.parametrize('group', range(SEED_GROUPS))
def test_no_window_holds_more_than_rate_and_burst(group):
    for seed in range(group, SEEDS, SEED_GROUPS):
        fleet = run_faults(seed)
        excess = find_excess(fleet.history, 'w', RATE, BURST)
        assert excess <= HARMLESS_TOKENS, f'seed {seed}'
        assert fleet.tallies['w'].admitted, f'seed {seed}'
