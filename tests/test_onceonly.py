"""Tests of the table of once-only calls: claims, expiry and size limits."""

import random

import pytest

from ebonywell.logtime import LogTime, advance
from ebonywell.onceonly import (
    EXPIRY_INTERVAL_S,
    MAX_BODY_BYTES,
    MAX_CALL_S,
    MAX_KEPT_BYTES,
    CallAbandoned,
    CallClaimed,
    CallFinished,
    OnceOnly,
    Outcome,
    Verdict,
    apply,
    check_call,
    expire,
    make_outcome,
)

DAY_S = 24 * 3600.0
NOON = 1.8e9


@pytest.fixture
def table():
    return OnceOnly()


def _claim(key, claim_id='c1', digest='d'):
    return CallClaimed(key, claim_id, 'w', 'desk', digest, 'h/1')


def _alive(host):
    return True


def test_only_the_first_claim_takes_effect_and_only_its_owner_ends_it(table):
    assert apply(table, _claim('k', 'c1'))
    assert not apply(table, _claim('k', 'c2'))
    assert not apply(table, CallAbandoned('k', 'c2'))
    assert not apply(table, CallFinished('k', 'c2', None))
    assert apply(table, CallFinished('k', 'c1', Outcome(200)))
    assert not apply(table, CallAbandoned('k', 'c1'))
    assert check_call(table, 'k', 'd', _alive) == Verdict.finished


def test_an_abandoned_key_can_be_claimed_again(table):
    apply(table, _claim('k', 'c1'))
    assert apply(table, CallAbandoned('k', 'c1'))
    assert apply(table, _claim('k', 'c2'))


def test_a_claim_of_a_dead_or_long_silent_host_is_unknown(table):
    apply(table, _claim('k'))
    verdict = check_call(table, 'k', 'd', _alive)
    assert verdict == Verdict.in_progress
    verdict = check_call(table, 'k', 'd', lambda host: False)
    assert verdict == Verdict.unknown
    table.now_s = MAX_CALL_S + 1
    assert check_call(table, 'k', 'd', _alive) == Verdict.unknown


def test_a_claim_is_kept_for_a_day(table):
    apply(table, _claim('k'))
    expire(table, DAY_S)
    assert 'k' in table.calls
    expire(table, DAY_S + 3 * EXPIRY_INTERVAL_S)
    assert not table.calls


def test_the_oldest_bodies_are_dropped_and_the_outcomes_kept(table):
    body = b'x' * MAX_BODY_BYTES
    for number in range(300):
        key = f'k{number}'
        apply(table, _claim(key))
        outcome = make_outcome(201, 'text/plain', body)
        apply(table, CallFinished(key, 'c1', outcome))
        assert table.kept_bytes <= MAX_KEPT_BYTES
    assert len(table.calls) == 300
    assert not table.calls['k0'].outcome.is_kept
    assert table.calls['k0'].outcome.status == 201
    assert table.calls['k299'].outcome.body == body
    assert not make_outcome(200, '', b'x' * (MAX_BODY_BYTES + 1)).is_kept


def test_a_full_table_rejects_new_claims_and_drops_none(table, monkeypatch):
    monkeypatch.setattr('ebonywell.onceonly.MAX_CALLS', 2)
    assert apply(table, _claim('k1'))
    assert apply(table, _claim('k2'))
    assert not apply(table, _claim('k3'))
    assert list(table.calls) == ['k1', 'k2']


@pytest.mark.parametrize('wrong_s', [-400 * DAY_S, -1800, 1800, 400 * DAY_S])
@pytest.mark.parametrize('wrong_hosts', [1, 3])
def test_wrong_clocks_do_not_shorten_a_day(wrong_s, wrong_hosts):
    rng = random.Random(1)
    time = LogTime()
    offset = 0
    for second in range(0, 2 * 3600, 10):
        for host in range(7):
            # A wrong clock is wrong only half of the time, so it jumps.
            is_wrong = host < wrong_hosts and rng.random() < 0.5
            written_at = NOON + second + wrong_s * is_wrong
            advance(time, offset, f'h{host}/1', written_at + rng.random())
            offset += 1
    # The log's time may be off by up to a minute from the start, when few
    # hosts have written.
    assert time.elapsed_s <= 2 * 3600 + 60
    assert time.elapsed_s >= 2 * 3600 - 60


def test_a_wrong_clock_of_the_first_writer_adds_less_than_a_minute():
    time = LogTime()
    advance(time, 0, 'wrong/1', NOON - 400 * DAY_S)
    for offset in range(1, 10):
        advance(time, offset, f'h{offset % 3}/1', NOON + offset)
    assert time.elapsed_s < 60


def test_hosts_that_left_do_not_hold_back_time():
    time = LogTime()
    for host in range(7):
        advance(time, host, f'old{host}/1', NOON)
    for offset in range(7, 20_000):
        advance(time, offset, 'new/1', NOON + offset)
    assert time.elapsed_s > 10_000
