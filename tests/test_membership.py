"""Freshness, relayed records and expulsion when hosts are cut off."""

import pytest

from ebonywell import changes, wire
from ebonywell.exceptions import MalformedFrameError
from lab.limits_fleet import Fleet

NAMES = ['h0', 'h1', 'h2', 'h3', 'h4']
STALE_WITHIN_S = 5
RELAYED_WITHIN_S = 3


@pytest.fixture
def fleet():
    """Run five hosts until they have registered."""
    running = Fleet(1, NAMES)
    running.run_until(5)
    return running


def cut(fleet, names):
    """Cut the named hosts off from the log and from hosts not named."""
    for name in names:
        fleet.hosts[name].has_log = False
    fleet.cuts = {
        frozenset((name, other))
        for name in names
        for other in fleet.hosts
        if other not in names
    }


def stale_hosts(fleet):
    return [
        name
        for name, host in fleet.hosts.items()
        if host.membership.is_stale(host.clock())
    ]


@pytest.mark.parametrize('names', [['h3'], ['h3', 'h4']])
def test_hosts_that_are_cut_off_turn_stale_together(fleet, names):
    cut(fleet, names)
    fleet.run_until(6)
    assert not stale_hosts(fleet)
    fleet.run_until(5 + STALE_WITHIN_S)
    assert stale_hosts(fleet) == names
    fleet.run_until(60)
    assert stale_hosts(fleet) == names


def test_hosts_stay_fresh_through_a_log_outage(fleet):
    fleet.log_is_up = False
    fleet.hosts['h4'].is_dead = True
    for now in range(6, 120):
        fleet.run_until(now)
        assert set(stale_hosts(fleet)) <= {'h4'}


def test_a_long_log_outage_makes_hosts_stale(fleet):
    host = fleet.hosts['h0']
    fleet.log_is_up = False
    fleet.run_until(10)
    assert not host.membership.is_stale(host.clock())
    assert host.membership.is_stale(host.clock() + 4000)


def test_a_record_reaches_a_host_cut_off_from_the_log(fleet):
    host = fleet.hosts['h2']
    host.has_log = False
    fleet.run_until(30)
    fleet.append(changes.KeyWithdrawn('k'))
    fleet.run_until(30 + RELAYED_WITHIN_S)
    assert host.replica.state.applied == len(fleet.records) - 1
    fleet.run_until(60)
    assert not stale_hosts(fleet)


def test_a_host_starts_from_a_peer_while_the_log_is_down(fleet):
    fleet.log_is_up = False
    fleet.hosts['h0'].replica.tail.clear()
    newcomer = fleet.start('h5')
    fleet.run_until(10)
    assert newcomer.replica.is_complete
    assert newcomer.replica.state == fleet.hosts['h1'].replica.state


def test_a_leaving_host_is_not_listed_for_callers(fleet):
    names = fleet.hosts['h0'].membership.hosts()['az1']
    assert names == NAMES
    fleet.hosts['h1'].membership.is_leaving = True
    fleet.run_until(6)
    assert 'h1' not in fleet.hosts['h0'].membership.hosts()['az1']


def test_a_silent_host_is_expelled_and_the_epoch_settled(fleet):
    fleet.hosts['h1'].is_dead = True
    fleet.run_until(25)
    table = fleet.hosts['h0'].replica.state.registry
    assert 'h1' not in table.members
    assert table.settled == table.epoch


def test_a_fleet_that_restarts_at_once_settles_without_waiting(fleet):
    for name in NAMES:
        fleet.hosts[name].is_dead = True
        fleet.start(name)
    fleet.run_until(9)
    table = fleet.hosts['h0'].replica.state.registry
    assert table.settled == table.epoch


def test_a_minority_expels_no_host(fleet):
    cut(fleet, ['h2', 'h3', 'h4'])
    fleet.run_until(40)
    assert len(fleet.hosts['h0'].replica.state.registry.members) == len(NAMES)


def test_a_host_without_peers_does_not_register_repeatedly(fleet):
    cut(fleet, ['h0'])
    fleet.hosts['h0'].has_log = True
    fleet.run_until(60)
    assert 'h0' not in fleet.hosts['h1'].replica.state.registry.members
    assert len(fleet.records) < 2 * len(NAMES)
    fleet.cuts.clear()
    fleet.run_until(70)
    assert 'h0' in fleet.hosts['h1'].replica.state.registry.members


def test_a_relayed_record_that_is_not_json_is_a_malformed_frame(fleet):
    host = fleet.hosts['h0']
    broken = wire.LogRecord(host.replica.state.applied + 1, b'{')
    with pytest.raises(MalformedFrameError):
        host.peers.handle_message(host.id, wire.LogRecords((broken,)))
