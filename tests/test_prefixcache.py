"""What targets are believed to have cached, and when that ends.

Each test names the failure that it guards against.
"""

import random

from ebonywell.inbound import Generation, PromptPart
from ebonywell.inventory import (
    Announcement,
    KnownTarget,
    Resident,
    TargetState,
)
from ebonywell.pace.observations import Observation
from ebonywell.prefixcache.index import (
    MAX_PARTS,
    PrefixCacheIndex,
    TargetMemory,
)
from ebonywell.prefixcache.prompts import describe_prompt
from ebonywell.prefixcache.targetcache import SentPrompt
from ebonywell.prefixcache.weighing import (
    BELIEF_HALF_LIFE_S,
    HEARSAY_TRUST,
    is_missed,
    order_by_prefix,
)
from lab.prefix_cache_cost import count_bytes

ROOM = 100_000
BORN = 70_001
T = ('t', BORN)


def prompt(*ids, tokens=500, model='m', adapter=''):
    parts = tuple(PromptPart(one, tokens) for one in ids)
    whole = tokens * len(parts)
    return describe_prompt(
        Generation(model, adapter, prompt_tokens=whole, prefix=parts)
    )


def make_index(*targets, room=ROOM):
    incarnations = targets or (T,)
    memories = {name: TargetMemory(born, room) for name, born in incarnations}
    return PrefixCacheIndex(memory_of=memories.get), memories


def serve(index, one, now=0.0, target=T, new_tokens=None):
    """Send a prompt and receive the first byte of its answer."""
    new = sum(one.tokens) if new_tokens is None else new_tokens
    sent = SentPrompt(target, one, 0, new)
    with index.sending(sent):
        index.note_first_byte(sent, now)


def seen(one, target=T, new_tokens=1000, number=1):
    """Return the observation that another host tells of a prompt."""
    model, _, adapter = one.namespace.partition('/')
    return Observation(
        number, target[0], target[1] & 0xFFFF, 's', model, adapter,
        new_tokens, 0, 50, 100, one.shared_digests,
    )  # fmt: skip


def known(models, born=BORN, name='t'):
    announcement = Announcement(
        name, born, 's', 'a', 'z', TargetState.ready, 64, models
    )
    return KnownTarget(announcement, dict(models))


def kept(index, one, target=T, now=0.0, rank=0):
    return index.kept_tokens(target, one, rank, now)


# Lifecycle


def test_a_prompt_is_cached_up_to_its_first_unknown_part():
    """A part behind another start was read in another context."""
    index, _ = make_index()
    serve(index, prompt('a', 'b', 'c'))
    assert kept(index, prompt('a', 'b', 'c')) == 1500
    assert kept(index, prompt('a', 'x', 'c')) == 500
    assert kept(index, prompt('b', 'a', 'c')) == 0
    assert kept(index, prompt('a', 'b', 'c', adapter='a1')) == 0
    assert kept(index, prompt('a', 'b', 'c', model='n')) == 0


def test_a_prompt_that_failed_is_not_cached():
    """A rejected request would draw others to a target that read nothing."""
    index, _ = make_index()
    with index.sending(SentPrompt(T, prompt('a', 'b'), 0, 1000)):
        assert kept(index, prompt('a', 'c')) == 500
    assert kept(index, prompt('a', 'c')) == 0
    assert index.size == 0


def test_a_coming_part_counts_only_for_those_who_wait_behind_it():
    """A more urgent request overtakes the one that would cache the part."""
    index, _ = make_index()
    with index.sending(SentPrompt(T, prompt('a', 'b'), 3, 1000)):
        assert kept(index, prompt('a', 'c'), rank=3) == 500
        assert kept(index, prompt('a', 'c'), rank=2) == 0


def test_two_sends_of_a_prompt_end_separately():
    """The failure of one must not hide that another is still coming."""
    index, _ = make_index()
    first, second = (SentPrompt(T, prompt('a', 'b')) for _ in range(2))
    index.note_sent(first)
    index.note_sent(second)
    index.note_failed(first)
    assert kept(index, prompt('a', 'c')) == 500
    index.note_failed(second)
    assert kept(index, prompt('a', 'c')) == 0


# The ends


def test_a_restarted_target_has_cached_nothing():
    """`PrefixIndex.forget` had no caller; a new process seemed to be warm."""
    index, memories = make_index()
    serve(index, prompt('a', 'b'))
    memories['t'] = TargetMemory(70_002, ROOM)
    assert kept(index, prompt('a', 'b')) == 0
    assert kept(index, prompt('a', 'b'), ('t', 70_002)) == 0
    serve(index, prompt('a', 'b'))
    assert kept(index, prompt('a', 'b'), ('t', 70_002)) == 0
    index.retain([known({}, 70_002)])
    assert index.size == 0


def test_an_answer_that_outlives_a_restart_is_no_news_of_the_new_process():
    """The first byte may come when the next incarnation is announced."""
    index, memories = make_index()
    sent = SentPrompt(T, prompt('a', 'b'), 0, 1000)
    with index.sending(sent):
        memories['t'] = TargetMemory(70_002, ROOM)
        serve(index, prompt('c', 'd'), target=('t', 70_002))
        index.note_first_byte(sent, 0)
    assert kept(index, prompt('a', 'b'), ('t', 70_002)) == 0
    assert kept(index, prompt('c', 'd'), ('t', 70_002)) == 1000


def test_parts_end_with_the_unload_of_their_model_or_adapter():
    """A model that is loaded again finds nothing of its old cache."""
    index, _ = make_index()
    own, base, other = (
        prompt('a', 'b', adapter='a1'),
        prompt('a', 'b'),
        prompt('a', 'b', model='n'),
    )
    models = {'m': Resident('m', frozenset(('a1',))), 'n': Resident('n')}
    target = known(models)
    index.retain([target])
    for one in (own, base, other):
        serve(index, one)
    index.retain([target])
    assert [kept(index, one) for one in (own, base, other)] == [
        1000, 1000, 1000
    ]  # fmt: skip
    target.drop('m', 'a1')
    index.retain([target])
    assert [kept(index, one) for one in (own, base, other)] == [0, 1000, 1000]
    target.drop('m', '')
    index.retain([target])
    target.add('m', '')
    index.retain([target])
    assert [kept(index, one) for one in (own, base, other)] == [0, 0, 1000]
    assert index.size == 2


def test_new_weights_of_a_model_end_its_parts():
    """A model that was replaced within one announcement has other weights."""
    models = {'m': Resident('m', version=1)}
    index, memories = make_index()
    memories['t'] = TargetMemory(T[1], ROOM, models)
    serve(index, prompt('a', 'b'))
    index.retain([known(models)])
    assert kept(index, prompt('a', 'b')) == 1000
    index.retain([known({'m': Resident('m', version=2)})])
    assert kept(index, prompt('a', 'b')) == 0


def test_the_least_recently_used_tokens_are_evicted():
    """256 parts by count were kept, whatever a target had room for."""
    index, _ = make_index(room=3000)
    serve(index, prompt('a', 'a1'))
    serve(index, prompt('b', 'b1'))
    serve(index, prompt('a', 'a2'), new_tokens=500)
    serve(index, prompt('c', 'c1', 'c2', 'c3', 'c4'))
    assert kept(index, prompt('b', 'x')) == 0
    assert kept(index, prompt('a', 'x')) > 0
    assert kept(index, prompt('c', 'x')) == 500


def test_running_requests_take_the_room_of_the_cache():
    """A full target has evicted what it held, also when it is idle again."""
    index, memories = make_index(room=50_000)
    serve(index, prompt('a', 'b'))
    serve(index, prompt('c', 'd', tokens=5000))
    assert kept(index, prompt('a', 'x')) == 500
    memories['t'] = TargetMemory(T[1], 2000)
    assert kept(index, prompt('a', 'x')) == 0
    serve(index, prompt('e', 'f'))
    memories['t'] = TargetMemory(T[1], 50_000)
    assert kept(index, prompt('a', 'x')) == 0


# Hearsay


def test_other_hosts_words_count_less_than_own_knowledge():
    """Hosts knew only what they had sent themselves."""
    index, _ = make_index()
    index.note_observation(seen(prompt('a', 'b', 'c')), 0)
    assert kept(index, prompt('a', 'b', 'x')) == int(1000 * HEARSAY_TRUST)
    serve(index, prompt('a', 'b', 'y'))
    assert kept(index, prompt('a', 'b', 'x')) == 1000


def test_what_others_send_evicts_own_parts():
    """A part that this host used may be gone without a sign."""
    index, _ = make_index(room=10_000)
    serve(index, prompt('a', 'b'))
    for number in range(11):
        index.note_observation(seen(prompt(str(number), 'x')), 0)
    assert kept(index, prompt('a', 'x')) == 0


def test_an_own_observation_is_not_counted_twice():
    """Listeners get own observations too; half of the cache would be lost."""
    index, _ = make_index(room=10_000)
    serve(index, prompt('a', 'b'))
    before = index.caches['t'].read_tokens
    index.note_observation(seen(prompt('a', 'b')), 0)
    assert index.caches['t'].read_tokens == before
    index.note_observation(seen(prompt('a', 'b'), new_tokens=500), 0)
    assert index.caches['t'].read_tokens == before + 500


def test_observations_of_other_incarnations_are_ignored():
    """One that travelled for a second may be about a process that ended."""
    index, _ = make_index()
    index.note_observation(seen(prompt('a', 'b'), ('t', 70_000)), 0)
    index.note_observation(seen(prompt('a', 'b'), ('unknown', 1)), 0)
    assert index.size == 0
    assert set(index.caches) <= {'t'}


def test_what_nobody_confirms_is_believed_less_and_less():
    """A host that is cut off does not see what others make a target evict."""
    index, _ = make_index()
    serve(index, prompt('a', 'b'))
    later = kept(index, prompt('a', 'x'), now=BELIEF_HALF_LIFE_S)
    assert later == 250
    assert kept(index, prompt('a', 'x'), now=20 * BELIEF_HALF_LIFE_S) == 0


# Bounds


def test_the_index_takes_less_than_two_megabytes():
    """Ten thousand prefixes that nobody shares must not fill the host."""
    names = [(f't{number}', number + 1) for number in range(200)]
    index, _ = make_index(*names, room=10**9)
    rng = random.Random(1)
    for number in range(10_000):
        one = prompt(f'p{number}', f'q{number}', model=f'm{number % 147}')
        index.note_observation(seen(one, rng.choice(names)), float(number))
        serve(index, one, float(number), rng.choice(names))
    assert index.size <= MAX_PARTS
    assert index.size == sum(len(one.parts) for one in index.caches.values())
    assert count_bytes([index.caches, index.own_exchanges]) < 2_000_000


def test_absurd_observations_change_nothing_else():
    """A faulty host may name thousands of parts or negative tokens."""
    index, _ = make_index()
    serve(index, prompt('a', 'b'))
    absurd = Observation(
        1, 't', T[1] & 0xFFFF, 's', 'm', '', -(10**9), 0, 1, 0,
        tuple(range(100_000)),
    )  # fmt: skip
    index.note_observation(absurd, 0)
    assert index.size < 30
    assert kept(index, prompt('a', 'x')) == 500


def test_the_least_used_part_of_the_largest_cache_is_dropped_first():
    """One target with many prompts must not displace what others hold."""
    index, _ = make_index(('a', 1), ('b', 1), room=10**9)
    serve(index, prompt('rare', 'x'), target=('a', 1))
    for number in range(MAX_PARTS):
        serve(index, prompt(f'p{number}', 'x'), 1.0, ('b', 1))
    assert kept(index, prompt('rare', 'x'), ('a', 1)) == 1000


# Order and misses


def test_hosts_fill_targets_in_the_same_order_whatever_they_miss():
    """Hosts that know different targets would spread an unknown prefix."""
    names = [f't{number}' for number in range(12)]
    full = order_by_prefix(7, names)
    part = order_by_prefix(7, reversed(names[:6]))
    ordered = sorted(full, key=full.get)
    assert sorted(part, key=part.get) == [
        one for one in ordered if one in names[:6]
    ]
    assert min(full.values()) == 0
    assert max(full.values()) < 1


def test_prefixes_that_nobody_shares_are_filled_evenly():
    """Ten thousand rare prefixes must not gather on one target."""
    names = [f't{number}' for number in range(45)]
    orders = [order_by_prefix(one, names) for one in range(10_000)]
    firsts = [min(order, key=order.get) for order in orders]
    counts = [firsts.count(name) for name in names]
    assert min(counts) > 0.6 * 10_000 / 45
    assert max(counts) < 1.4 * 10_000 / 45


def test_only_an_answer_as_late_as_without_the_prefix_is_a_miss():
    """The usual variation of answers must not be counted as a miss."""
    assert is_missed(131, 100, 30)
    assert not is_missed(129, 100, 30)
    assert not is_missed(500, 100, 1)
