"""Heavy load: who is refused, who waits, and what callers get."""

from dataclasses import replace
from types import SimpleNamespace

import anyio
import pytest

from ebonywell.gateway import Gateway
from ebonywell.inbound import Generation, InboundCall, RejectionError
from ebonywell.modeldemand import DemandBook
from ebonywell.overload import (
    DECISION_S,
    OVERLOAD_RETRY_S,
    longest_wait_s,
    refusal_s,
)
from ebonywell.routetable import RequestKind, Route, WeightedService
from ebonywell.wants import MODEL_S, Wants
from lab.serving_bench import SCENARIOS
from lab.serving_policies import ebonywell_policy, lru_policy, static_policy
from lab.serving_simulation import simulate, upper_bound, worth_share

ROUTE = Route(
    'r', 'host', '/a/', RequestKind.stream, (WeightedService('pool', 1),),
    4, 0.6, 1, 1, True, False,
)  # fmt: skip


def test_a_request_waits_no_longer_than_is_worth_its_while():
    assert refusal_s(0.5, 0.6, 2.4) == 0
    assert refusal_s(0.8, 0.6, 2.4) == OVERLOAD_RETRY_S
    assert refusal_s(3, 0.6, 2.4) > 2
    assert longest_wait_s(10, 2) < 2


def make_gateway(wants, able):
    targeting = SimpleNamespace(able=lambda call, avoided: able())
    return Gateway(None, targeting, None, None, wants, DemandBook(), None, None)


def make_call(now):
    return InboundCall(
        'id', 'POST', b'/a/', (), b'', ROUTE, 'pool', None,
        Generation('m'), now, now + 4,
    )  # fmt: skip


def wait_for(wants, able=tuple):
    async def play_wait():
        began_at = anyio.current_time()
        call = make_call(began_at)
        error = None
        try:
            await make_gateway(wants, able)._wait_for_target(call)
        except RejectionError as rejection:
            error = rejection
        return error, anyio.current_time() - began_at

    return anyio.run(play_wait)


def make_wants(coming=(), *, has_holder=True):
    inventory = SimpleNamespace(of_service=lambda service: [])
    return Wants(
        inventory,
        lambda: has_holder,
        lambda wanted: None,
        lambda service, model: (service, model) in coming,
    )


def test_a_request_for_a_model_that_is_not_coming_is_refused_soon():
    error, took_s = wait_for(make_wants())
    assert (error.status, error.reason) == (503, 'model_not_coming')
    assert error.retry_after_s
    assert DECISION_S <= took_s < MODEL_S


def test_a_request_whose_model_is_coming_waits_for_it():
    looks = iter(range(60))
    error, took_s = wait_for(
        make_wants((('pool', 'm'),)),
        lambda: ['engine'] if next(looks, None) is None else [],
    )
    assert error is None
    assert took_s > DECISION_S


def test_without_a_holder_it_is_refused_at_once():
    error, took_s = wait_for(make_wants(has_holder=False))
    assert error.reason == 'model_absent'
    assert took_s < DECISION_S


@pytest.mark.parametrize('name', SCENARIOS)
def test_callers_are_served_better_than_by_plainer_ways(name):
    scenario = replace(SCENARIOS[name], duration_s=25, seed=3)
    served = simulate(scenario, ebonywell_policy)
    plainer = [simulate(scenario, way) for way in (static_policy, lru_policy)]
    share = worth_share(served)
    assert share <= upper_bound(scenario)
    for other in plainer:
        assert share > worth_share(other)
    # Nobody pays for it: each kind gets half of what all get, or more.
    assert min(one.share for one in served.values()) > share / 2
    for tally in served.values():
        assert tally.counts['left'] <= 0.05 * sum(tally.counts.values())


def test_the_urgent_are_served_first_when_not_all_can_be():
    scenario = replace(
        SCENARIOS['half as much again'], load_factor=2.5, duration_s=25
    )
    served = simulate(scenario, ebonywell_policy)
    assert served['urgent'].share > served['usual'].share
    assert served['urgent'].share > 0.95
