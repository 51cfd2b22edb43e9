"""Limits over all hosts: the bound under faults, and who is refused."""

import math
from functools import partial

import pytest

from ebonywell import decider, ledger, shares
from ebonywell.freshness import STALE_AFTER_S
from ebonywell.registry import HostExpelled, HostRegistered
from lab.limits_fleet import FakeHost, Fleet
from lab.limits_tally import find_excess

RATE = 1000
BURST = 4000
BURSTS = (400, 1000, BURST)
NAMES = ['h0', 'h1', 'h2', 'h3', 'h4']
SEEDS = 200
SEED_GROUPS = 20
END_S = 45
HARMLESS_TOKENS = 1e-3


def start(seed, names=NAMES, tokens=BURST, expel_after_s=decider.EXPEL_AFTER_S):
    fleet = Fleet(seed, names, expel_after_s)
    fleet.run_until(3)
    fleet.add_workspace('w', RATE, tokens)
    fleet.run_until(4)
    return fleet


def ask(fleet, host, size, part_used=1.0):
    tokens = fleet.chance.randint(size // 2, size * 3 // 2)
    host.request('w', tokens, int(tokens * part_used))


def call(fleet, until, rate=RATE, size=200):
    """Send calls to hosts of which some are asked far more than others."""
    names = sorted(fleet.hosts)
    weights = [4**-index for index in range(len(names))]
    name = fleet.chance.choices(names, weights)[0]
    ask(fleet, fleet.hosts[name], size, fleet.chance.random())
    if fleet.now < until:
        gap_s = fleet.chance.expovariate(rate / size)
        fleet.after(gap_s, partial(call, fleet, until, rate, size))


def drain(fleet, tokens, size, parts_used=(0.05, 1)):
    """Ask every life of every host for more than it can have, at once."""
    part_used = fleet.chance.choice(parts_used)
    for host in fleet.lives:
        for _ in range(tokens // size):
            ask(fleet, host, size, part_used)


def fault(fleet, drain_all):
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
            host.is_dead = True
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
    # Whoever may still admit what is no longer its own is asked to.
    for delay_s in (STALE_AFTER_S - 0.1, seconds - 0.001, seconds + 0.1):
        fleet.after(delay_s, drain_all)


def run_faults(seed):
    tokens = BURSTS[seed % len(BURSTS)]
    names = NAMES[: 3 + seed % 3]
    # Safety must not rest on hosts being expelled late.
    expel_after_s = (1, decider.EXPEL_AFTER_S)[seed % 2]
    fleet = start(seed, names, tokens, expel_after_s)
    fleet.max_request_s = fleet.chance.choice((1, 12))
    fleet.loss_probability = fleet.chance.choice((0, 0.05))
    fleet.duplicate_probability = fleet.chance.choice((0, 0.1))
    size = tokens // fleet.chance.choice((4, 20))
    drain_all = partial(drain, fleet, tokens, size)
    call(fleet, END_S, fleet.chance.choice((0.1, 1)) * RATE, size)
    for _ in range(5):
        at = fleet.chance.uniform(0, 30)
        fleet.after(at, partial(fault, fleet, drain_all))
        fleet.after(fleet.chance.uniform(0, END_S), drain_all)
    fleet.run_until(END_S + 5)
    return fleet.tallies['w'], find_excess(fleet.history, 'w', RATE, tokens)


@pytest.mark.parametrize('group', range(SEED_GROUPS))
def test_no_window_holds_more_than_rate_and_burst(group):
    for seed in range(group, SEEDS, SEED_GROUPS):
        tally, excess = run_faults(seed)
        assert excess <= HARMLESS_TOKENS, f'seed {seed}'
        assert tally.admitted, f'seed {seed}'


def test_a_host_that_was_expelled_and_is_back_holds_nothing():
    fleet = start(1, NAMES[:3])
    host = fleet.hosts['h2']
    host.frozen_until = math.inf
    fleet.append(HostExpelled(host.id.name, host.id.incarnation))
    fleet.run_until(15)
    fleet.append(HostRegistered(host.id.name, host.id.incarnation, 'h2'))
    for offset, record in enumerate(fleet.records):
        host.replica.take(offset, record)
    host.limits.follow()
    account = host.limits.ledger.accounts['w']
    assert (account.level, account.cap, account.share) == (0, 0, 0)


def replace_cut_host(fleet):
    fleet.hosts['h2'].is_cut = True
    fleet.start('h2', 'elsewhere')
    return STALE_AFTER_S - 1


def join_while_one_is_cut(fleet):
    fleet.hosts['h2'].is_cut = True
    fleet.start('h3')
    return STALE_AFTER_S - 1


def freeze_for_long(fleet):
    fleet.freeze(fleet.hosts['h2'], 20)
    return 19.999


def worst(scenario, tokens=1000):
    """Ask every life for all it has at the worst moment of a scenario."""
    fleet = start(1, NAMES[:3], tokens)
    fleet.run_until(10)
    fleet.after(
        scenario(fleet), partial(drain, fleet, tokens, tokens // 80, [1])
    )
    fleet.run_until(40)
    return find_excess(fleet.history, 'w', RATE, tokens)


def settle_at_once(patch):
    patch.setattr(decider, 'EXPELLED_WAIT_S', 0)


def settle_unacknowledged(patch):
    patch.setattr(
        decider,
        'may_settle',
        lambda table, acks: table.settled != table.epoch,
    )


def trust_late_answers(patch):
    take_page = FakeHost.take_page
    patch.setattr(
        FakeHost,
        'take_page',
        lambda host, page, _: take_page(host, page, host.clock()),
    )


def mint_twice(patch):
    """Take a new share at once, while others still hold the old ones."""
    patch.setattr(ledger, 'shrink', shares.grow)


@pytest.mark.parametrize(
    ('scenario', 'break_guard'),
    [
        (replace_cut_host, settle_at_once),
        (join_while_one_is_cut, settle_unacknowledged),
        (freeze_for_long, trust_late_answers),
        (replace_cut_host, mint_twice),
    ],
)
def test_each_guard_keeps_the_bound(scenario, break_guard, monkeypatch):
    assert worst(scenario) <= HARMLESS_TOKENS
    break_guard(monkeypatch)
    assert worst(scenario) > 50


@pytest.mark.parametrize('created_at', [0.5, 1.2, 1.4, 2, 3])
def test_a_new_workspace_starts_with_its_burst_once(created_at):
    fleet = Fleet(1, NAMES[:3])
    fleet.after(
        created_at,
        partial(fleet.add_workspace, 'w', RATE, BURST),
    )
    fleet.run_until(4)
    held = sum(host.limits.ledger.accounts['w'].level for host in fleet.lives)
    assert held == pytest.approx(BURST, rel=1e-6)
