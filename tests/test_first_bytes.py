"""What a host observes at the first byte, and what it passes on of others."""

import random

import pytest

from ebonywell.digestrelay import take_for_relay
from ebonywell.digests import Digest
from ebonywell.fleetview import FleetView
from ebonywell.health import TargetHealth
from ebonywell.inbound import AdmittedRequest, Generation, PromptPart
from ebonywell.inventory import Announcement, KnownTarget, TargetState
from ebonywell.loadboard import LoadBoard, TargetLoad
from ebonywell.pace.firstbytes import (
    FirstByte,
    classify_wait,
    count_ahead,
    make_observation,
    make_observer,
    pace_fields,
)
from ebonywell.pace.observations import Observation, prefix_digests
from ebonywell.pace.pacebook import PLAIN_AHEAD_UNIT
from ebonywell.pace.serverload import ServerLoad
from ebonywell.pace.sharing import SharedObservations
from ebonywell.selection import (
    FULL_SLOT_MS,
    PROMPT_TOKENS_PER_MS,
    Candidate,
    Choice,
    choose,
)

BORN = 70_000
PREFIX = (PromptPart('shared', 500), PromptPart('own', 900))
LOAD = ServerLoad(3, 1, 64, 250)


def engine(waiting, **more):
    load = TargetLoad({0: waiting}, 1)
    return Candidate('t', load, TargetHealth(), 64, 120_000, 900, 1500, **more)


def first_byte(candidate=None, waited_s=0.1, expected_s=0.1, **more):
    generation = Generation('m', 'a', 1400, 100, 100, PREFIX)
    request = AdmittedRequest(
        'id', 'POST', b'/', (), b'', None, 'pool', None, generation, 0, 9
    )
    target = KnownTarget(
        Announcement('t', BORN, 'pool', 'a:1', 'z', TargetState.ready, 64), {}
    )
    choice = Choice('t', expected_s, expected_s, candidate or engine(4400))
    fields = {'is_answer': True, **more}
    return FirstByte(
        request, target, choice, LOAD, 10.0, 10.0 + waited_s, **fields
    )


def test_an_observation_says_what_was_ahead_by_the_load_at_the_choice():
    made = make_observation(first_byte())
    assert made == Observation(
        0, 't', BORN & 0xFFFF, 'pool', 'm', 'a', 900, 4400, 100, 250,
        prefix_digests('m/a', PREFIX),
    )  # fmt: skip


def test_a_wait_for_room_is_not_taken_for_slowness():
    """A full target answers late although it reads as fast as others."""
    load = TargetLoad({}, 0, 70)
    full = Candidate('t', load, TargetHealth(), 64, 120_000, 900, 1500)
    assert count_ahead(full) == round(7 * FULL_SLOT_MS * PROMPT_TOKENS_PER_MS)
    plain = Candidate('t', TargetLoad({}, 0, 8), TargetHealth(), 6)
    assert count_ahead(plain) == PLAIN_AHEAD_UNIT // 2


def test_an_answer_to_a_later_send_tells_the_machine_s_state_only():
    """Its wait includes what the target did for the first send."""
    shared = SharedObservations()
    observe = make_observer(shared)
    observe(first_byte(is_answer=False))
    assert not shared.own
    assert not shared.paces.services
    assert shared.paces.targets['t'].machine.percent == 250
    observe(first_byte())
    assert [one.observation.number for one in shared.own] == [1]
    assert shared.paces.targets['t'].observed == 1


@pytest.mark.parametrize(
    ('waited_s', 'kind'),
    [(0.05, 'shorter'), (0.1, 'expected'), (0.19, 'longer')],
)
def test_waits_are_counted_by_how_well_they_were_expected(waited_s, kind):
    assert classify_wait(first_byte(waited_s=waited_s)) == kind


def test_a_target_that_is_slow_now_is_left_for_one_that_is_not():
    shared = SharedObservations()
    observe = make_observer(shared)
    observe(first_byte())
    now = 10.1
    slow = engine(0, pace=shared.paces.pace('pool', 'm', 't', now))
    other = engine(0, pace=shared.paces.pace('pool', 'm', 'other', now))
    rng = random.Random(1)
    chosen = [choose((slow, other), rng).candidate for _ in range(20)]
    assert all(one is other for one in chosen)
    assert pace_fields(slow.pace)['machine_percent'] == 250
    assert pace_fields(None) == {}


def make_fleet(count):
    observations = tuple(
        Observation(number, 't', 1, 'pool', 'm', '', 9, 0, 9)
        for number in (2, 1)
    )
    fleet = FleetView('me', LoadBoard())
    for number in range(count):
        digest = Digest(
            f'h{number}', number + 1, 5, 'a', 'b', 'z', True, 1, 0,
            False, False, 0, observations=observations,
            observation_ages=(3, 9),
        )  # fmt: skip
        fleet.note_digest(digest, 100 + number * 0.01)
    return fleet


def test_a_relayed_digest_keeps_its_newest_observation():
    fleet = make_fleet(1)
    relayed = take_for_relay(
        list(fleet.recent_digests(100)), fleet, 100, random.Random(1)
    )
    assert [one.number for one in relayed.observations] == [2]
    assert relayed.observation_ages == (3,)


def test_newer_digests_are_relayed_first_but_each_host_is_at_times():
    """A host whose digests are always older would seem silent elsewhere."""
    fleet = make_fleet(40)
    rng = random.Random(1)
    places = []
    for _ in range(600):
        digests = list(fleet.recent_digests(100.4))
        relayed = take_for_relay(digests, fleet, 100.4, rng)
        assert len(digests) == 39
        places.append(int(relayed.name[1:]))
    assert sum(places) / len(places) > 30
    assert min(places) < 10
