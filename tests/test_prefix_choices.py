"""How the choice of a target weighs what is cached against the wait.

Each test names the failure that it guards against.
"""

import math
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonywell.health import HealthTracker, TargetHealth
from ebonywell.inbound import Generation, PromptPart
from ebonywell.inventory import (
    Announcement,
    Inventory,
    Resident,
    TargetState,
)
from ebonywell.loadboard import LoadBoard, TargetLoad
from ebonywell.logs import discard_event
from ebonywell.metrics import Metrics
from ebonywell.prefixcache.index import PrefixCacheIndex
from ebonywell.prefixcache.prompts import describe_prompt
from ebonywell.prefixcache.targetcache import SentPrompt
from ebonywell.selection import (
    SPREAD_MS,
    Candidate,
    choose,
    estimate_first_byte_ms,
    estimate_saved_ms,
)
from ebonywell.targeting import TargetSelector

from .prefixworld import compare

NOW = 100.0
CACHE_TOKENS = 120_000
HOLDER = 't0'
SHARED = 1500


@pytest.fixture(autouse=True)
def _clock(monkeypatch):
    monkeypatch.setattr('ebonywell.targeting.boot_time', lambda: NOW)


def make_selector(limits=None, seed=1):
    inventory = Inventory()
    for name in ('t0', 't1', 't2'):
        inventory.announce(announcement(name), 0)
    prefixes = PrefixCacheIndex()
    selector = TargetSelector(
        'z', inventory, LoadBoard(), HealthTracker(), prefixes,
        lambda service: SimpleNamespace(
            cache_tokens=CACHE_TOKENS, has_terms=False
        ),
        limits or SimpleNamespace(is_empty=True), discard_event,
        random.Random(seed),
    )  # fmt: skip
    prefixes.memory_of = selector.find_memory
    return selector


def announcement(name, born=1):
    return Announcement(
        name, born, 's', name, 'z', TargetState.ready, 64, {'m': Resident('m')}
    )


def request(last='own', parts=('system',)):
    prefix = tuple(PromptPart(one, SHARED) for one in parts)
    generation = Generation(
        'm', '', 3000, 100, 100, (*prefix, PromptPart(last, 1500))
    )
    return SimpleNamespace(
        generation=generation, service='s', rank=0, release=None,
        route=SimpleNamespace(goal_s=1), first_byte_timeout_s=4,
    )  # fmt: skip


def serve(selector, target=HOLDER, one=None):
    prompt = describe_prompt((one or request('first')).generation)
    known = selector.inventory.targets[target]
    sent = SentPrompt(known.incarnation, prompt, 0, 3000)
    with selector.prefixes.sending(sent):
        selector.prefixes.note_first_byte(sent, NOW)


def chosen(selector, one=None):
    return selector.select(one or request(), set())


def load(selector, target, **fields):
    selector.board.own[target] = TargetLoad(**fields)


def test_the_holder_is_chosen_while_it_has_room():
    """A prefix was read again although a target held it."""
    selector = make_selector()
    serve(selector)
    known, choice = chosen(selector)
    assert known.name == HOLDER
    assert choice.candidate.kept_tokens == SHARED
    assert choice.candidate.new_tokens == 3000 - SHARED


def test_a_saving_does_not_outweigh_a_longer_wait():
    """Requests would queue at the holder while other targets are idle."""
    selector = make_selector()
    serve(selector)
    load(selector, HOLDER, waiting_tokens={0: 4000}, waiting=2)
    assert chosen(selector)[0].name != HOLDER


def test_a_full_holder_is_not_chosen():
    """Its running requests take the memory; it has evicted the prefix."""
    selector = make_selector()
    serve(selector)
    load(selector, HOLDER, running=60, held_tokens=CACHE_TOKENS - 1000)
    known, _ = chosen(selector)
    assert known.name != HOLDER


def test_a_slow_holder_is_not_chosen():
    """A cached prefix saves less than a slow target takes for the rest."""
    selector = make_selector()
    serve(selector)
    selector.health.targets[HOLDER] = TargetHealth(0, 4, NOW)
    assert chosen(selector)[0].name != HOLDER


def test_a_leaving_holder_is_not_chosen():
    """It would reject the request, or end before the stream does."""
    selector = make_selector()
    serve(selector)
    selector.inventory.note_leaving(selector.inventory.targets[HOLDER])
    assert chosen(selector)[0].name != HOLDER


def test_a_cold_holder_is_chosen_only_when_its_limit_allows():
    """A prefix must not draw more requests to a target than it survives."""
    limits = SimpleNamespace(
        is_empty=False,
        is_limited=lambda known: known.name == HOLDER,
        due_in_s=lambda known: 0.3 if known.name == HOLDER else 0,
    )
    selector = make_selector(limits)
    serve(selector)
    assert chosen(selector)[0].name != HOLDER


def test_a_restarted_holder_is_a_target_like_the_others():
    """The cache of the old process drew requests to the new one."""
    selector = make_selector()
    serve(selector)
    selector.inventory.announce(announcement(HOLDER, born=2), NOW)
    candidates = [chosen(selector)[1].candidate for _ in range(20)]
    assert all(one.kept_tokens == 0 for one in candidates)


def test_hosts_send_an_unknown_prefix_to_the_same_target():
    """Each host would cache a new prefix at another target."""
    names = {chosen(make_selector(seed=seed))[0].name for seed in range(30)}
    assert len(names) == 1


def test_an_unknown_prefix_does_not_outweigh_a_short_queue():
    """The first target in the order would fill while others are idle."""
    first = chosen(make_selector())[0].name
    selector = make_selector()
    load(selector, first, waiting_tokens={0: 400}, waiting=1)
    assert chosen(selector)[0].name != first


def test_prompts_that_share_nothing_are_spread_at_random_as_before():
    """A prompt of one part must not be gathered on one target."""
    names = set()
    for seed in range(30):
        known, choice = chosen(make_selector(seed=seed), request('x', ()))
        names.add(known.name)
        assert choice.candidate.fill_order is None
    assert len(names) == 3


loads = st.builds(
    TargetLoad,
    waiting_tokens=st.dictionaries(
        st.integers(0, 9), st.integers(0, 50_000), max_size=3
    ),
    waiting=st.integers(0, 9),
    running=st.integers(0, 70),
    held_tokens=st.integers(0, 150_000),
)


@st.composite
def candidate_lists(draw, knows_prefixes=True):
    candidates = []
    for number in range(draw(st.integers(1, 8))):
        kept = draw(st.integers(0, 3000)) if knows_prefixes else 0
        candidates.append(
            Candidate(
                f't{number}', draw(loads),
                TargetHealth(0, draw(st.floats(0.25, 12))), 64, CACHE_TOKENS,
                3000 - kept, 3200, 0, draw(st.booleans()), draw(st.booleans()),
                kept_tokens=kept,
            )
        )  # fmt: skip
    if knows_prefixes and draw(st.booleans()):
        return [
            replace(
                one,
                new_tokens=3000,
                kept_tokens=0,
                fill_order=number / len(candidates),
            )
            for number, one in enumerate(candidates)
        ]
    return candidates


def without_cache(one):
    return replace(one, new_tokens=3000, kept_tokens=0, fill_order=None)


def cost_ms(one):
    wait_ms = estimate_first_byte_ms(one) * one.health.slowness
    return wait_ms + 6 * (not one.is_same_zone) + 90 * one.lacks_adapter


@given(candidate_lists(), st.integers(0, 9))
def test_a_choice_is_later_than_without_the_cache_by_no_more_than_its_error(
    candidates, seed
):
    """If all that is believed is wrong, the believed saving is the loss."""
    choice = choose(candidates, random.Random(seed))
    without = [cost_ms(without_cache(one)) for one in candidates]
    real_ms = cost_ms(without_cache(choice.candidate))
    saved_ms = estimate_saved_ms(choice.candidate)
    assert real_ms <= min(without) + saved_ms + SPREAD_MS + 1e-6


@given(candidate_lists(), st.integers(0, 9))
def test_a_choice_is_no_later_than_without_the_cache_if_that_is_right(
    candidates, seed
):
    """A saving that is weighed more than once would delay its own request."""
    choice = choose(candidates, random.Random(seed))
    without = [cost_ms(without_cache(one)) for one in candidates]
    assert cost_ms(choice.candidate) <= min(without) + SPREAD_MS + 1e-6


@given(candidate_lists(knows_prefixes=False), st.integers(0, 9))
def test_choices_without_a_shared_part_are_those_of_before(candidates, seed):
    """Services without shared prompts must be served as they were."""
    rng = random.Random(seed)
    expected, least_ms = None, math.inf
    for one in candidates:
        wait_ms = estimate_first_byte_ms(one) * one.health.slowness
        total_ms = wait_ms + rng.uniform(0, SPREAD_MS)
        total_ms += 6 * (not one.is_same_zone)
        total_ms += 90 * one.lacks_adapter
        if total_ms < least_ms:
            expected, least_ms = one, total_ms
    chosen_one = choose(candidates, random.Random(seed)).candidate
    assert chosen_one is expected


def test_a_prefix_that_was_evicted_unseen_is_counted_and_logged_once():
    """Wrong knowledge would stay hidden in slow answers."""
    events = []
    metrics = Metrics()
    index = PrefixCacheIndex(
        lambda name, **fields: events.append(name), metrics
    )
    prompt = describe_prompt(request().generation)
    for waited_s in (0.1, 0.2):
        sent = SentPrompt(('t', 1), prompt, 0, 1500, 1500, 68, 100)
        with index.sending(sent):
            index.note_written(sent, NOW)
            index.note_first_byte(sent, NOW + waited_s)
    text = metrics.expose()
    assert events == ['prefix_cache_missed']
    assert 'ebonywell_prefix_cache_misses_total 1\n' in text
    assert 'ebonywell_prompt_tokens_sent_total 6000\n' in text
    assert 'ebonywell_prompt_tokens_expected_cached_total 3000\n' in text


def test_a_prefix_that_half_of_the_callers_share_overloads_no_holder():
    """All hosts see the holder at once, and their loads some 0.3 s late."""
    before, after = compare(
        40, hosts=20, targets=6, models=1, prefixes=20, rate=24, popular=0.5
    )
    digest = describe_prompt(request_of('k1n0')).digests[0]
    holders = [one for one in after.engines if digest in one.cache]
    assert len(holders) >= 2
    assert after.read < before.read
    assert after.percentile(50) <= before.percentile(50)
    assert after.percentile(95) <= before.percentile(95)


def test_prefixes_that_nobody_shares_cost_nothing():
    """Their order over the targets must not make any target a hot spot."""
    before, after = compare(
        40, hosts=20, targets=6, models=1, prefixes=10**9, rate=24
    )
    assert after.reread == 0
    assert after.percentile(50) <= before.percentile(50) * 1.1
    assert after.percentile(95) <= before.percentile(95) * 1.1


def test_fewer_tokens_are_read_again_though_a_target_holds_them():
    """Each of 70 hosts knew a seventieth of what 45 targets hold."""
    before, after = compare(6, knows_paces=True)
    assert after.avoidable < before.avoidable / 3
    assert after.reread < before.reread
    assert after.percentile(95) <= before.percentile(95) * 1.1


def request_of(part):
    parts = (PromptPart(part, 568), PromptPart('own', 1800))
    return Generation('m0', '', 2368, 200, 100, parts)
