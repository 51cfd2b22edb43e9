"""Plays a heavy load with and without headroom; checks what callers get.

Three times of a less urgent kind, two workspaces at seven times their load, a
quarter of the engines at 0.4 of their pace in turns, and arrivals in bursts of
three, all at once.
"""

import statistics
from collections import Counter
from types import SimpleNamespace

import pytest

from tests.headroomworld import FLOODING, KINDS, WORKSPACES, play
from tests.virtualclock import run_virtually

USUAL = tuple(set(WORKSPACES) - set(FLOODING))
NAMES = tuple(kind.name for kind in KINDS)
LATE_WORTH = 0.1


def count(world, kinds=None, workspaces=WORKSPACES):
    """Return the share of requests by their result, and of the worth."""
    chosen = Counter()
    for (kind, workspace, result), number in world.results.items():
        if workspace in workspaces and kind in (kinds or {kind}):
            chosen[result] += number
    total = sum(chosen.values())
    earned = chosen['on time'] + LATE_WORTH * chosen['late']
    return SimpleNamespace(
        on_time=chosen['on time'] / total,
        served=1 - chosen['rejected'] / total,
        earned=earned / total,
        total=total,
    )


@pytest.fixture(scope='module')
def worlds():
    """Return what callers got without and with headroom."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        return [
            play(monkeypatch, run_virtually, has_headroom=has_headroom)
            for has_headroom in (False, True)
        ]


def test_headroom_earns_more_under_a_heavy_load(worlds):
    """Late answers must give way to fewer that are in time."""
    before, after = (
        sum(
            kind.worth * count(world, {kind.name}).earned * kind.per_s
            for kind in KINDS
        )
        for world in worlds
    )
    assert after > 1.5 * before


def test_urgent_kinds_are_served_no_less_often(worlds):
    served = [count(worlds[1], {name}).served for name in NAMES]
    for urgent, other in zip(served, served[1:], strict=False):
        assert urgent >= other - 0.05


def test_no_kind_is_starved(worlds):
    assert all(count(worlds[1], {name}).served > 0.1 for name in NAMES)


@pytest.mark.parametrize('name', NAMES[1:])
def test_each_kind_gets_more_answers_in_time(worlds, name):
    before, after = (count(world, {name}).on_time for world in worlds)
    assert after >= before


def test_workspaces_at_seven_times_their_load_take_nothing_from_others(worlds):
    usual = count(worlds[1], workspaces=USUAL)
    flooding = count(worlds[1], workspaces=FLOODING)
    assert usual.served > flooding.served + 0.2
    assert usual.on_time >= flooding.on_time
    assert usual.on_time > count(worlds[0], workspaces=USUAL).on_time


def test_requests_that_are_turned_away_are_held_briefly(worlds):
    held = worlds[1].rejected_held_s
    calls = sum(worlds[1].results.values())
    assert len(held) < 0.3 * calls
    assert statistics.mean(held) < 0.2


def test_urgent_kinds_earn_no_smaller_share(worlds):
    """Long streams must not all be late by the pauses that others cause."""
    earned = [count(worlds[1], {name}).earned for name in NAMES]
    for urgent, other in zip(earned, earned[1:], strict=False):
        assert urgent >= other - 0.15
