"""Observations in digests that are lost, repeated, late or faulty."""

import msgspec
import pytest

from ebonywell.digests import (
    Digest,
    DigestMessage,
    decode_message,
    encode_message,
)
from ebonywell.fleetview import FleetView
from ebonywell.inbound import PromptPart
from ebonywell.loadboard import LoadBoard
from ebonywell.metrics import Metrics
from ebonywell.pace.gauges import add_pace_gauges
from ebonywell.pace.observations import Observation, prefix_digests
from ebonywell.pace.serverload import ServerLoad
from ebonywell.pace.sharing import (
    LOG_PERIOD_S,
    MAX_PARTS,
    MAX_SHARED,
    MAX_SHARED_BYTES,
    MAX_TOKENS,
    NUMBERS_KEPT,
    SHARED_S,
    SharedObservations,
    is_absurd,
)
from ebonywell.platform.exchange import answer_headers, read_load
from ebonywell.upstream import AnswerHead

GOOD = Observation(1, 't', 1, 'pool', 'm', '', 2000, 0, 200, 100)


def digest_of(shared, now, name='peer', life=1, number=1):
    observations, ages = shared.list_recent(now)
    return Digest(
        name, life, number, 'a:1', 'a:2', 'z', True, 1, 0, False, False, 0,
        observations=observations, observation_ages=ages,
    )  # fmt: skip


def listening():
    shared = SharedObservations()
    heard = []
    shared.listeners.append(lambda *one: heard.append(one))
    return shared, heard


def test_each_observation_is_applied_once_though_digests_repeat_it():
    sender, own = listening()
    receiver, heard = listening()
    for step in range(20):
        now = step * 0.2
        sender.note_own(GOOD, now)
        receiver.receive(digest_of(sender, now), 0, now)
        receiver.receive(digest_of(sender, now), 0, now)
    assert [one.number for one, _ in heard] == list(range(1, 21))
    assert len(own) == 20
    assert receiver.paces.targets['t'].observed == 20


def test_a_digest_holds_the_newest_of_the_last_second():
    sender = SharedObservations()
    for step in range(9):
        sender.note_own(GOOD, step * 0.1)
    observations, ages = sender.list_recent(1.0)
    assert [one.number for one in observations] == [9, 8, 7, 6]
    assert ages == (20, 30, 40, 50)
    observations, _ = sender.list_recent(0.6 + SHARED_S)
    assert [one.number for one in observations] == [9, 8, 7]
    assert not sender.list_recent(9)[0]


def test_lost_digests_lose_nothing_while_an_observation_is_repeated():
    sender = SharedObservations()
    receiver, heard = listening()
    sender.note_own(GOOD, 0)
    sender.note_own(GOOD, 0.3)
    receiver.receive(digest_of(sender, 0.9), 0, 0.9)
    assert [(one.number, at) for one, at in heard] == [
        (2, pytest.approx(0.3)),
        (1, pytest.approx(0.0)),
    ]


def test_a_relayed_digest_is_older_by_those_that_followed_it():
    fleet = FleetView('me', LoadBoard())
    receiver, heard = listening()
    fleet.receive_observations = receiver.receive
    sender = SharedObservations()
    sender.note_own(GOOD, 10)
    fleet.note_digest(digest_of(SharedObservations(), 9, number=1), 9)
    fleet.note_digest_numbers(((1, 5),), 10.9)
    assert fleet.note_digest(digest_of(sender, 10.1, number=3), 11)
    assert heard[0][1] == pytest.approx(11 - 0.1 - 2 * 0.2)
    # A digest that comes after a newer one is not read again.
    assert not fleet.note_digest(digest_of(sender, 10.1, number=2), 11)
    assert len(heard) == 1


def test_numbers_begin_again_with_a_host_s_next_life():
    receiver, heard = listening()
    for life in (1, 2, 2):
        sender = SharedObservations()
        sender.note_own(GOOD, 0)
        receiver.receive(digest_of(sender, 0, life=life), 0, 0)
    assert len(heard) == 2
    receiver.retain({}, {}, 1)
    assert not receiver.heard


def test_what_is_remembered_of_a_host_s_numbers_is_bounded():
    receiver = SharedObservations()
    sender = SharedObservations()
    for step in range(500):
        sender.note_own(GOOD, step)
        receiver.receive(digest_of(sender, step), 0, step)
    heard = receiver.heard['peer']
    assert len(heard.numbers) <= NUMBERS_KEPT
    assert not heard.is_new(heard.newest - NUMBERS_KEPT)


@pytest.mark.parametrize(
    'change',
    [
        {'number': 0},
        {'new_tokens': -1},
        {'ahead_tokens': MAX_TOKENS + 1},
        {'waited_ms': -1},
        {'waited_ms': 10**12},
        {'new_tokens': MAX_TOKENS, 'waited_ms': 1},
        {'machine_percent': 1},
        {'machine_percent': -100},
        {'machine_percent': 10**6},
    ],
)
def test_no_observation_of_a_digest_with_an_absurd_one_is_believed(change):
    receiver, heard = listening()
    lines = []
    receiver.log = lambda event, **fields: lines.append((event, fields))
    faulty = msgspec.structs.replace(GOOD, **change)
    assert is_absurd(faulty)
    second = msgspec.structs.replace(GOOD, number=2)
    for now in (0, 1, LOG_PERIOD_S):
        digest = msgspec.structs.replace(
            digest_of(SharedObservations(), 0), observations=(second, faulty)
        )
        receiver.receive(digest, 0, now)
    assert not heard
    assert not receiver.paces.targets
    line = ('observations_absurd', {'peer': 'peer'})
    assert lines == [line, line]


def test_ages_that_are_missing_or_wrong_are_bounded():
    receiver, heard = listening()
    observations = tuple(
        msgspec.structs.replace(GOOD, number=number) for number in range(1, 9)
    )
    digest = msgspec.structs.replace(
        digest_of(SharedObservations(), 0),
        observations=observations,
        observation_ages=(-5, 10**9),
    )
    receiver.receive(digest, 0, 100)
    assert [at for _, at in heard] == [100, 90, 100, 100]
    assert len(heard) == MAX_SHARED


def test_long_names_and_many_parts_keep_a_digest_within_its_bytes():
    sender = SharedObservations()
    prefix = [PromptPart(f'p{number}', 9) for number in range(50)]
    long = msgspec.structs.replace(
        GOOD, target='t' * 90, parts=prefix_digests('m/', prefix)
    )
    for _ in range(MAX_SHARED):
        sender.note_own(long, 0)
    bare = len(encode_message(DigestMessage(digest_of(sender, 9))))
    full = len(encode_message(DigestMessage(digest_of(sender, 0))))
    assert 90 < full - bare <= MAX_SHARED_BYTES + MAX_SHARED
    assert len(sender.own[0].observation.parts) == MAX_PARTS


def test_builds_without_observations_still_exchange_digests():
    sender = SharedObservations()
    sender.note_own(GOOD, 0)
    new = digest_of(sender, 0)
    fields = msgspec.msgpack.decode(encode_message(DigestMessage(new)))
    assert fields[0] == 'd'
    old = [fields[0], fields[1][:15], *fields[2:]]
    received = decode_message(msgspec.msgpack.encode(old)).own
    assert received.name == new.name
    assert not received.observations
    # An old build ignores the fields that it does not know.
    old_type = msgspec.defstruct(
        'Old', [('name', str), ('life', int)], array_like=True
    )
    assert msgspec.msgpack.decode(
        msgspec.msgpack.encode(new), type=old_type
    ) == old_type('peer', 1)


def test_an_answer_s_load_is_read_and_not_forwarded():
    head = AnswerHead(200, [(b'server-load', b'3,1,64,250'), (b'x', b'y')])
    assert read_load(head) == ServerLoad(3, 1, 64, 250)
    assert answer_headers(head) == [(b'x', b'y')]


def test_faulty_figures_are_counted_and_logged_at_a_bounded_rate():
    shared = SharedObservations()
    lines = []
    shared.log = lambda event, **fields: lines.append(event)
    for step in range(100):
        shared.note_load('t', 1, ServerLoad(1, 1, 1, 0, 2), step * 0.1)
    assert lines == ['server_load_unreadable']
    shown = shared.metrics.expose()
    assert 'ebonywell_server_load_faults_total 200' in shown


def test_gauges_show_how_far_the_targets_differ():
    shared = SharedObservations()
    metrics = Metrics()
    add_pace_gauges(metrics, shared)
    assert 'ebonywell_paced_targets 0' in metrics.expose()
    shared.note_own(GOOD, 0)
    assert 'ebonywell_paced_targets 1' in metrics.expose()


def test_a_changed_belief_of_a_target_s_pace_is_logged_once():
    shared = SharedObservations()
    lines = []
    shared.log = lambda event, **fields: lines.append((event, fields))
    slow = msgspec.structs.replace(GOOD, target='slow', waited_ms=500)
    for step in range(400):
        shared.note_own(GOOD, step * 0.1)
        shared.note_own(slow, step * 0.1)
    events = [(event, fields['target']) for event, fields in lines]
    assert ('target_pace_changed', 'slow') in events
    assert len(events) < 6
    factor = shared.paces.pace('pool', 'm', 'slow', 40).target_factor
    last = [one['factor'] for _, one in lines if one['target'] == 'slow'][-1]
    assert last == pytest.approx(factor, 0.34)
