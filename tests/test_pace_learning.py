"""Paces that are learned from few, noisy and faulty observations."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonywell.health import TargetHealth
from ebonywell.loadboard import TargetLoad
from ebonywell.pace.learning import FADE_HALF_LIFE_S, MAX_LOG, MAX_STEP
from ebonywell.pace.machines import STATE_S
from ebonywell.pace.observations import Observation
from ebonywell.pace.pacebook import MAX_COST, MAX_MODELS, PaceBook
from ebonywell.pace.serverload import (
    MAX_PERCENT,
    MAX_REQUESTS,
    MIN_PERCENT,
    ServerLoad,
    read_server_load,
)
from ebonywell.selection import (
    PROMPT_TOKENS_PER_MS,
    Candidate,
    estimate_first_byte_ms,
)


def observe(target='t', model='m', new=2000, ahead=0, waited=100, **more):
    fields = {'born': 1, 'service': 'pool', 'machine_percent': 100, **more}
    return Observation(
        1, target, fields['born'], fields['service'], model, '', new, ahead,
        round(waited), fields['machine_percent'],
    )  # fmt: skip


def read_ms(new, cost=1.0, factor=1.0, ahead=0):
    """Return the actual time of a request on a machine in its usual state."""
    return factor * ((new * cost + ahead) / PROMPT_TOKENS_PER_MS + 9)


def factor_of(book, target, now=0.0):
    return book.pace('pool', 'm', target, now).target_factor


# Figures of Server-Load


@pytest.mark.parametrize(
    ('text', 'load'),
    [
        ('3,2,64', ServerLoad(3, 2, 64)),
        ('3, 2,64,250', ServerLoad(3, 2, 64, 250)),
        ('3,2,64,0', ServerLoad(3, 2, 64, 0, 1)),
        ('3,-2,64,-5', ServerLoad(3, None, 64, 0, 2)),
        ('x,2', ServerLoad(None, 2, None, 0, 2)),
        ('', ServerLoad(faults=3)),
        (f'{"9" * 12},2,64,1', ServerLoad(MAX_REQUESTS, 2, 64, MIN_PERCENT, 2)),
        (f'{"9" * 9999},2,64,99999', ServerLoad(None, 2, 64, MAX_PERCENT, 2)),
        ('1e3,2,64,nan,7', ServerLoad(None, 2, 64, 0, 3)),
        ('\u0663,2,64,\u00b2', ServerLoad(None, 2, 64, 0, 2)),
    ],
)
def test_unusable_figures_are_left_out_and_the_others_count(text, load):
    assert read_server_load(text.split(',')) == load


@given(st.text(max_size=80))
def test_no_header_makes_the_reading_fail(text):
    load = read_server_load(text.split(','))
    assert 0 <= load.machine_percent <= MAX_PERCENT


# What is learned


def test_services_whose_targets_state_no_percent_are_estimated_as_before():
    book = PaceBook()
    for _ in range(50):
        book.note(observe(waited=900, machine_percent=0), 0)
    assert book.pace('pool', 'm', 't', 0) is None
    assert book.tokens_per_ms('pool', 'm', 't', 0) is None
    assert book.plain_ms('pool', 't', 0) is None


def test_models_that_differ_by_three_to_one_are_estimated_as_before():
    book = PaceBook()
    for step in range(200):
        for model, waited in (('fast', 33), ('dear', 100)):
            seen = observe(model=model, waited=waited, machine_percent=0)
            book.note(seen, step)
    assert book.pace('pool', 'fast', 't', 200) is None
    assert book.cost('pool', 'fast', 200) == 1


def test_plain_services_without_a_percent_are_estimated_as_before():
    book = PaceBook()
    for _ in range(50):
        book.note(observe(model='', waited=900, machine_percent=0), 0)
    assert book.pace('pool', '', 't', 0) is None
    assert book.plain_ms('pool', 't', 0) is None


def test_models_that_differ_are_told_apart_without_a_percent():
    """A model that is read nine times as fast was sent to like all others."""
    book = PaceBook()
    for step in range(200):
        for model, waited in (('fast', 12), ('dear', 100)):
            seen = observe(model=model, waited=waited, machine_percent=0)
            book.note(seen, step)
    fast = book.tokens_per_ms('pool', 'fast', 't', 200)
    dear = book.tokens_per_ms('pool', 'dear', 't', 200)
    assert fast > 4 * dear
    assert book.cost('pool', 'fast', 200) < book.cost('pool', 'dear', 200) / 4


def test_a_target_that_is_slow_for_good_is_known_as_such_between_statements():
    book = PaceBook()
    for step in range(60):
        for target, percent in (('slow', 170), ('quick', 70)):
            waited = percent
            seen = observe(
                target=target, waited=waited, machine_percent=percent
            )
            book.note(seen, step)
    slow, quick = (
        book.tokens_per_ms('pool', 'm', name, 70) for name in ('slow', 'quick')
    )
    assert quick > 2 * slow
    factors = [book.time_factor('pool', name, 70) for name in ('slow', 'quick')]
    assert factors[0] > 2 * factors[1]


def test_a_slow_target_a_dear_model_and_a_slow_machine_are_told_apart():
    book = PaceBook()
    rng = random.Random(1)
    costs = {'cheap': 1.0, 'dear': 3.2}
    factors = {'a': 1.0, 'b': 1.0, 'slow': 2.4}
    for step in range(600):
        model = rng.choice(list(costs))
        target = rng.choice(list(factors))
        new = rng.randint(400, 4000)
        percent = rng.choice((100, 100, 100, 250))
        waited = read_ms(new, costs[model], factors[target])
        waited *= rng.lognormvariate(0, 0.1)
        # The machine's state is known for all of a short wait only, so waits
        # that it changed are left out here.
        if percent == 100 or waited < 100:
            waited *= percent / 100
            book.note(
                observe(target, model, new, 0, waited, machine_percent=percent),
                step * 0.05,
            )
    now = 30.0
    slow = book.pace('pool', 'cheap', 'slow', now + 9)
    quick = book.pace('pool', 'cheap', 'a', now + 9)
    dear = book.pace('pool', 'dear', 'a', now + 9)
    assert slow.target_factor / quick.target_factor == pytest.approx(2.4, 0.15)
    assert quick.tokens_per_ms / dear.tokens_per_ms == pytest.approx(3.2, 0.15)
    assert slow.tokens_per_ms < quick.tokens_per_ms / 2


def test_a_request_behind_prompts_of_a_dear_model_waits_by_their_cost():
    book = PaceBook()
    for step in range(300):
        for model, cost in (('cheap', 1.0), ('dear', 3.0)):
            book.note(observe('t', model, 2000, 0, read_ms(2000, cost)), step)
    dear = book.pace('pool', 'dear', 't', 300)
    cheap = book.pace('pool', 'cheap', 't', 300)
    waiting = TargetLoad({0: dear.usual_tokens(4000)}, 2)
    candidate = Candidate(
        't', waiting, TargetHealth(), 64, 120_000, 1000, 1100, pace=cheap
    )
    actual = read_ms(1000, 1.0, 1.0, ahead=4000 * 3.0)
    assert estimate_first_byte_ms(candidate) == pytest.approx(actual, 0.1)


def test_unexpected_queueing_hardly_counts_as_slowness_of_the_target():
    book = PaceBook()
    rng = random.Random(2)
    for step in range(400):
        for target in ('plain', 'queued'):
            new = rng.randint(400, 4000)
            waited = read_ms(new) * rng.lognormvariate(0, 0.1)
            if target == 'queued' and rng.random() < 0.2:
                waited += rng.uniform(1000, 8000)
            book.note(observe(target, 'm', new, 0, waited), step * 0.1)
    ratio = factor_of(book, 'queued', 40) / factor_of(book, 'plain', 40)
    assert ratio < 1.2


def test_waits_behind_many_prompts_teach_less_than_waits_behind_none():
    factors = []
    for ahead in (0, 20_000):
        book = PaceBook()
        waited = read_ms(2000, 1.0, 2.4, ahead)
        book.note(observe('t', 'm', 2000, ahead, waited), 0)
        factors.append(factor_of(book, 't'))
    assert 1 < factors[1] < factors[0]


@pytest.mark.parametrize('waited', [1, 3_600_000])
def test_one_observation_changes_no_factor_by_more_than_a_step(waited):
    book = PaceBook()
    book.note(observe(), 0)
    before = factor_of(book, 't')
    book.note(observe(waited=waited), 1)
    change = abs(math.log(factor_of(book, 't') / before))
    # The factor also fades a little in the second between.
    assert 0 < change < MAX_STEP * 1.001
    for step in range(500):
        book.note(observe(waited=waited), step)
    assert abs(book.targets['t'].factor.mean) <= MAX_LOG


def test_a_machine_that_was_slow_for_a_moment_is_not_avoided_for_seconds():
    book = PaceBook()
    for step in range(100):
        book.note(observe(waited=read_ms(2000)), step * 0.1)
    usual = book.tokens_per_ms('pool', 'm', 't', 10)
    slow = observe(waited=read_ms(2000) * 2.5, machine_percent=250)
    book.note(slow, 10)
    assert book.tokens_per_ms('pool', 'm', 't', 10) < usual / 2
    assert book.tokens_per_ms('pool', 'm', 't', 10 + 3 * STATE_S) > usual * 0.85
    assert factor_of(book, 't', 10) < 1.1 * factor_of(book, 't', 9.9)


def test_an_older_statement_does_not_replace_a_newer_one():
    book = PaceBook()
    book.note(observe(machine_percent=100), 5)
    book.note(observe(machine_percent=250), 4.9)
    assert book.pace('pool', 'm', 't', 5).machine_percent == 100
    book.note_machine('t', 1, 250, 5.1)
    book.note_machine('t', 2, 100, 5.2)
    assert book.pace('pool', 'm', 't', 5.2).machine_percent == 250


def test_lasting_factors_end_with_the_life_of_the_target():
    book = PaceBook()
    for step in range(60):
        book.note(observe(waited=read_ms(2000)), step)
        book.note(observe('slow', waited=read_ms(2000, 1, 2.4)), step)
    factor = factor_of(book, 'slow', 60)
    book.retain({'slow': 1, 't': 1}, 60)
    assert factor_of(book, 'slow', 60) == factor
    assert factor > 1.3
    book.retain({'slow': 7, 't': 1}, 60)
    assert factor_of(book, 'slow', 60) == 1
    # Late news of the old incarnation change nothing.
    book.note(observe('slow', waited=900), 61)
    assert factor_of(book, 'slow', 61) == 1
    book.retain({'t': 1}, 61)
    assert 'slow' not in book.targets


def test_paces_that_nothing_confirms_fade_slowly():
    book = PaceBook()
    for step in range(60):
        book.note(observe(waited=read_ms(2000, 3)), step)
    learned = book.tokens_per_ms('pool', 'm', 't', 60)
    later = book.tokens_per_ms('pool', 'm', 't', 120)
    much_later = book.tokens_per_ms('pool', 'm', 't', 20 * FADE_HALF_LIFE_S)
    assert later == pytest.approx(learned, 0.05)
    assert much_later == pytest.approx(PROMPT_TOKENS_PER_MS, 0.01)


def test_the_time_of_a_plain_request_is_learned_behind_a_queue_too():
    book = PaceBook()
    for step in range(200):
        ahead = step % 3 * 500
        waited = 20 * (1 + ahead / 1000)
        book.note(observe('t', '', 0, ahead, waited), step * 0.1)
    assert book.plain_ms('pool', 't', 20) == pytest.approx(20, 0.1)
    load = TargetLoad({}, 0, 0)
    pace = book.pace('pool', '', 't', 20)
    idle = Candidate('t', load, TargetHealth(slowness=9), 6, pace=pace)
    assert estimate_first_byte_ms(idle) == pytest.approx(20, 0.1)
    assert idle.slowness == 1


def test_names_that_a_faulty_host_makes_up_take_a_bounded_memory():
    book = PaceBook()
    for number in range(MAX_MODELS + 300):
        book.note(observe(model=f'm{number}', service=f's{number}'), number)
    assert len(book.models) <= MAX_MODELS
    assert len(book.services) <= 200


def test_waits_in_queues_do_not_raise_the_demand_for_a_model_without_bound():
    """A model whose targets were overloaded counted as 45 engines of demand."""
    book = PaceBook()
    for step in range(300):
        book.note(observe(waited=4000, machine_percent=0), step)
    assert book.cost('pool', 'm', 300) <= MAX_COST
