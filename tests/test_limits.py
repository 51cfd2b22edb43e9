"""Limits over all hosts: rate and burst hold under faults."""

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
MAX_EXCESS_TOKENS = 1e-3


def start(seed, names=NAMES, tokens=BURST, expel_after_s=decider.EXPEL_AFTER_S):
    fleet = Fleet(seed, names, expel_after_s)
    fleet.run_until(3)
    fleet.add_workspace('w', RATE, tokens)
    fleet.run_until(4)
    return fleet


def send_request(fleet, host, size, part_used=1.0):
    tokens = fleet.chance.randint(size // 2, size * 3 // 2)
    host.request('w', tokens, int(tokens * part_used))


def send_requests(fleet, until, rate=RATE, size=200):
    """Send requests to hosts with a skewed distribution."""
    names = sorted(fleet.hosts)
    weights = [4**-index for index in range(len(names))]
    name = fleet.chance.choices(names, weights)[0]
    send_request(fleet, fleet.hosts[name], size, fleet.chance.random())
    if fleet.now < until:
        gap_s = fleet.chance.expovariate(rate / size)
        fleet.after(gap_s, partial(send_requests, fleet, until, rate, size))


def exhaust(fleet, tokens, size, parts_used=(0.05, 1)):
    """Request more than the limits from every life of every host at once."""
    part_used = fleet.chance.choice(parts_used)
    for host in fleet.lives:
        for _ in range(tokens // size):
            send_request(fleet, host, size, part_used)


def inject_fault(fleet, exhaust_all):
    """Inject a random fault, and undo it later."""
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
            # A frozen life and its successor at another address.
            fleet.freeze(host, seconds)
            fleet.start(name, f'{name}:{fleet.now}')
        case 7:
            host.leave()
    fleet.after(seconds, heal)
    # A host that still admits requests by an outdated share does so at these
    # times.
    for delay_s in (STALE_AFTER_S - 0.1, seconds - 0.001, seconds + 0.1):
        fleet.after(delay_s, exhaust_all)


def run_faults(seed):
    tokens = BURSTS[seed % len(BURSTS)]
    names = NAMES[: 3 + seed % 3]
    # The bound must not depend on a late expulsion of hosts.
    expel_after_s = (1, decider.EXPEL_AFTER_S)[seed % 2]
    fleet = start(seed, names, tokens, expel_after_s)
    fleet.max_request_s = fleet.chance.choice((1, 12))
    fleet.loss = fleet.chance.choice((0, 0.05))
    fleet.duplicate_probability = fleet.chance.choice((0, 0.1))
    size = tokens // fleet.chance.choice((4, 20))
    exhaust_all = partial(exhaust, fleet, tokens, size)
    send_requests(fleet, END_S, fleet.chance.choice((0.1, 1)) * RATE, size)
    for _ in range(5):
        at = fleet.chance.uniform(0, 30)
        fleet.after(at, partial(inject_fault, fleet, exhaust_all))
        fleet.after(fleet.chance.uniform(0, END_S), exhaust_all)
    fleet.run_until(END_S + 5)
    return fleet.tallies['w'], find_excess(fleet.history, 'w', RATE, tokens)


@pytest.mark.parametrize('group', range(SEED_GROUPS))
def test_no_window_admits_more_than_rate_and_burst(group):
    for seed in range(group, SEEDS, SEED_GROUPS):
        tally, excess = run_faults(seed)
        assert excess <= MAX_EXCESS_TOKENS, f'seed {seed}'
        assert tally.admitted, f'seed {seed}'


def test_a_host_that_registers_after_expulsion_holds_no_tokens():
    fleet = start(1, NAMES[:3])
    host = fleet.hosts['h2']
    host.frozen_until = math.inf
    fleet.append(HostExpelled(host.id.name, host.id.incarnation))
    fleet.run_until(15)
    fleet.append(HostRegistered(host.id.name, host.id.incarnation, 'h2'))
    for offset, record in enumerate(fleet.records):
        host.replica.apply(offset, record)
    host.limits.apply_epoch()
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


def worst_excess(scenario, tokens=1000):
    """Exhaust every life at the most critical time of a scenario."""
    fleet = start(1, NAMES[:3], tokens)
    fleet.run_until(10)
    fleet.after(
        scenario(fleet), partial(exhaust, fleet, tokens, tokens // 80, [1])
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


def trust_late_reads(patch):
    take_page = FakeHost.take_page
    patch.setattr(
        FakeHost,
        'take_page',
        lambda host, page, _: take_page(host, page, host.clock()),
    )


def grow_at_once(patch):
    """Raise a host to its new share while others still hold the old ones."""
    patch.setattr(ledger, 'shrink', shares.grow)


@pytest.mark.parametrize(
    ('scenario', 'break_guard'),
    [
        (replace_cut_host, settle_at_once),
        (join_while_one_is_cut, settle_unacknowledged),
        (freeze_for_long, trust_late_reads),
        (replace_cut_host, grow_at_once),
    ],
)
def test_each_guard_keeps_the_bound(scenario, break_guard, monkeypatch):
    assert worst_excess(scenario) <= MAX_EXCESS_TOKENS
    break_guard(monkeypatch)
    assert worst_excess(scenario) > 50


@pytest.mark.parametrize('created_at', [0.5, 1.2, 1.4, 2, 3])
def test_a_new_workspace_gets_its_burst_exactly_once(created_at):
    fleet = Fleet(1, NAMES[:3])
    fleet.after(
        created_at,
        partial(fleet.add_workspace, 'w', RATE, BURST),
    )
    fleet.run_until(4)
    held = sum(host.limits.ledger.accounts['w'].level for host in fleet.lives)
    assert held == pytest.approx(BURST, rel=1e-6)
