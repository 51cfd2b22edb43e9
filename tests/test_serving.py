"""Behaviour under heavy load: rejections, waits and the service received."""

from dataclasses import replace
from types import SimpleNamespace

import anyio
import pytest

from ebonywell.gateway import Gateway
from ebonywell.inbound import AdmittedRequest, Generation, RejectionError
from ebonywell.inventory import Inventory
from ebonywell.loadrequests import ORDER_READY_S, LoadRequests
from ebonywell.modeldemand import AVERAGE_S, HostDemand
from ebonywell.overload import (
    LOAD_DECISION_S,
    OVERLOAD_RETRY_S,
    absent_retry_after_s,
    max_wait_s,
    overload_retry_after_s,
)
from ebonywell.routetable import (
    EngineSpec,
    ModelSpec,
    RequestKind,
    Route,
    WeightedService,
)
from lab.serving_bench import SCENARIOS
from lab.serving_policies import ebonywell_policy, lru_policy, static_policy
from lab.serving_simulation import simulate, upper_bound, worth_share

LOAD_S = 1.2
ROUTE = Route(
    'r', 'host', '/a/', RequestKind.stream, (WeightedService('pool', 1),),
    4, 0.6, 1, 1, True, False,
)  # fmt: skip


def test_a_request_with_too_long_a_wait_is_rejected():
    assert overload_retry_after_s(0.5, 0.6, 2.4) == 0
    assert overload_retry_after_s(0.8, 0.6, 2.4) == OVERLOAD_RETRY_S
    assert overload_retry_after_s(3, 0.6, 2.4) > 2
    assert max_wait_s(10, 2) < 2


def make_gateway(load_requests, able):
    targeting = SimpleNamespace(
        list_eligible=lambda call, avoided: able(), inventory=Inventory()
    )
    return Gateway(
        None, targeting, None, None, load_requests, HostDemand(), None, None,
        None, None,
    )  # fmt: skip


def make_call(now):
    return AdmittedRequest(
        'id', 'POST', b'/a/', (), b'', ROUTE, 'pool', None,
        Generation('m'), now, now + 4,
    )  # fmt: skip


def wait_for(load_requests, able=tuple):
    async def run():
        began_at = anyio.current_time()
        call = make_call(began_at)
        error = None
        try:
            await make_gateway(load_requests, able)._wait_for_target(call)
        except RejectionError as rejection:
            error = rejection
        return error, anyio.current_time() - began_at

    return anyio.run(run)


def make_load_requests(
    loading=(), *, has_holder=True, load_s=LOAD_S, load_left_s=0
):
    inventory = Inventory()
    models = {'m': ModelSpec('m', 1, load_s, load_s, load_s, 0, 0)}
    engine = EngineSpec(8, 1000, 100, 0, 1, models)
    return LoadRequests(
        inventory,
        lambda: has_holder,
        lambda request: None,
        lambda service, model: (service, model) in loading,
        lambda service, model: load_left_s,
        lambda service: engine,
    )


def test_a_request_for_a_model_that_is_not_loading_is_rejected_soon():
    error, took_s = wait_for(make_load_requests())
    assert (error.status, error.reason) == (503, 'model_not_coming')
    assert error.retry_after_s
    assert LOAD_DECISION_S <= took_s < ORDER_READY_S + LOAD_S


def test_a_request_waits_for_a_model_that_is_loading():
    polls = iter(range(60))
    error, took_s = wait_for(
        make_load_requests((('pool', 'm'),)),
        lambda: ['engine'] if next(polls, None) is None else [],
    )
    assert error is None
    assert took_s > LOAD_DECISION_S


@pytest.mark.parametrize('loading', [(), (('pool', 'm'),)])
def test_no_request_waits_for_a_load_that_ends_after_its_caller_left(loading):
    load_requests = make_load_requests(loading, load_s=8.6, load_left_s=7)
    error, took_s = wait_for(load_requests)
    assert error.reason == 'model_absent'
    assert error.retry_after_s >= 7
    assert took_s < LOAD_DECISION_S


def test_no_request_waits_for_a_load_under_way_that_ends_too_late():
    load_requests = make_load_requests((('pool', 'm'),), load_left_s=3)
    error, took_s = wait_for(load_requests)
    assert error.reason == 'no_target'
    assert error.retry_after_s >= 3
    assert took_s < LOAD_DECISION_S


def test_a_request_with_a_long_goal_is_not_rejected_before_its_load_begins():
    spare_s = 15 - 8.6
    waits = {'is_loading': False, 'spare_s': spare_s}
    assert not absent_retry_after_s(LOAD_DECISION_S, 16, **waits)
    assert absent_retry_after_s(spare_s, 16, **waits)


def test_a_rejected_request_counts_as_demand_until_its_caller_returns():
    demand = HostDemand()
    demand.count_returning('pool', Generation('m'), 2.0)
    assert [one.waiting for one in demand.snapshot(1.9)] == [1]
    assert not demand.snapshot(2.1)


def test_a_burst_shorter_than_a_load_does_not_decide_on_the_load():
    """Loads of seconds were decided on demand that had ended before them."""
    demand = HostDemand(load_s_of=lambda service, model: 8.6)
    quick = HostDemand()
    generation = Generation('m', prompt_tokens=2000)
    for one in demand, quick:
        one.count_request('pool', generation, 0)
    assert quick.meter('pool', 'm').average_s == AVERAGE_S
    slow_ms, quick_ms = (one.snapshot(0)[0].work_ms for one in (demand, quick))
    assert slow_ms < quick_ms / 2


def test_a_request_for_an_absent_model_is_rejected_at_once_without_a_holder():
    error, took_s = wait_for(make_load_requests(has_holder=False))
    assert error.reason == 'model_absent'
    assert took_s < LOAD_DECISION_S


@pytest.mark.parametrize('name', SCENARIOS)
def test_callers_are_served_better_than_with_simpler_policies(name):
    scenario = replace(SCENARIOS[name], duration_s=25, seed=3)
    served = simulate(scenario, ebonywell_policy)
    simpler = [
        simulate(scenario, policy) for policy in (static_policy, lru_policy)
    ]
    share = worth_share(served)
    assert share <= upper_bound(scenario)
    for other in simpler:
        assert share > worth_share(other)
    # No kind of request suffers: each gets at least half of the overall share.
    assert min(one.share for one in served.values()) > share / 2
    for tally in served.values():
        assert tally.counts['left'] <= 0.05 * sum(tally.counts.values())


def test_urgent_requests_are_served_first_under_overload():
    scenario = replace(
        SCENARIOS['half as much again'], load_factor=2.5, duration_s=25
    )
    served = simulate(scenario, ebonywell_policy)
    assert served['urgent'].share > served['usual'].share
    assert served['urgent'].share > 0.95
