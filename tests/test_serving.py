"""Behaviour under heavy load: rejections, waits and the service received."""

from dataclasses import replace
from types import SimpleNamespace

import anyio
import pytest

from ebonywell.gateway import Gateway
from ebonywell.inbound import AdmittedRequest, Generation, RejectionError
from ebonywell.inventory import Inventory
from ebonywell.loadrequests import MODEL_READY_S, LoadRequests
from ebonywell.modeldemand import HostDemand
from ebonywell.overload import (
    LOAD_DECISION_S,
    OVERLOAD_RETRY_S,
    max_wait_s,
    overload_retry_after_s,
)
from ebonywell.routetable import RequestKind, Route, WeightedService
from lab.serving_bench import SCENARIOS
from lab.serving_policies import ebonywell_policy, lru_policy, static_policy
from lab.serving_simulation import simulate, upper_bound, worth_share

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


def make_load_requests(loading=(), *, has_holder=True):
    inventory = Inventory()
    return LoadRequests(
        inventory,
        lambda: has_holder,
        lambda request: None,
        lambda service, model: (service, model) in loading,
    )


def test_a_request_for_a_model_that_is_not_loading_is_rejected_soon():
    error, took_s = wait_for(make_load_requests())
    assert (error.status, error.reason) == (503, 'model_not_coming')
    assert error.retry_after_s
    assert LOAD_DECISION_S <= took_s < MODEL_READY_S


def test_a_request_waits_for_a_model_that_is_loading():
    polls = iter(range(60))
    error, took_s = wait_for(
        make_load_requests((('pool', 'm'),)),
        lambda: ['engine'] if next(polls, None) is None else [],
    )
    assert error is None
    assert took_s > LOAD_DECISION_S


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
