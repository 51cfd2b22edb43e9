"""What the parts of a host do with targets of evacuated zones."""

from types import SimpleNamespace

import anyio
import pytest

from ebonywell.attempts import EVACUATED, Attempts
from ebonywell.coordination import Coordination
from ebonywell.crashguard import CrashGuard
from ebonywell.digests import DemandMessage, ModelDemand
from ebonywell.engineorders import EngineClient, OrderAnswer
from ebonywell.evacuation.zones import EvacuationBounds, Evacuations
from ebonywell.gateway import check_evacuated
from ebonywell.health import HealthTracker, TargetHealth
from ebonywell.inbound import AdmittedRequest, Generation, RejectionError
from ebonywell.inventory import Announcement, Inventory, Resident, TargetState
from ebonywell.loadboard import LoadBoard, TargetLoad
from ebonywell.loadrequests import ORDER_READY_S, LoadRequests
from ebonywell.logs import discard_event
from ebonywell.metrics import Metrics
from ebonywell.ordering import OrderSender
from ebonywell.orders import Action
from ebonywell.prefixcache.index import PrefixCacheIndex
from ebonywell.progress import AttemptError, Progress
from ebonywell.routetable import RequestKind, Route, WeightedService
from ebonywell.selection import Candidate, Choice
from ebonywell.targeting import TargetSelector

from .engineworld import SERVICE, make_spec, simulate
from .limitless import no_limits

ROUTE = Route(
    'r', 'host', '/a/', RequestKind.stream, (WeightedService('pool', 1),),
    4, 0.6, 1, 1, True, False,
)  # fmt: skip


def announce(inventory, name, zone, *models, adapters=(), release=''):
    return inventory.announce(
        Announcement(
            name, 1, 'pool', 'ip:1', zone, TargetState.ready, 8,
            {model: Resident(model, frozenset(adapters)) for model in models},
            release=release,
        ),
        0,
    )  # fmt: skip


def make_request(model='m', adapter='', release=None):
    return AdmittedRequest(
        'id', 'POST', b'/a/', (), b'', ROUTE, 'pool', None,
        Generation(model, adapter) if model else None, 100.0, 104.0,
        release=release,
    )  # fmt: skip


@pytest.fixture
def inventory(monkeypatch):
    monkeypatch.setattr('ebonywell.targeting.boot_time', lambda: 100.0)
    made = Inventory(evacuations=Evacuations(EvacuationBounds(5, 3)))
    announce(made, 'a', 'z-1', 'm', 'sole', adapters=('x',), release='old')
    announce(made, 'b', 'z-2', 'm', release='new')
    return made


@pytest.fixture
def selector(inventory):
    return TargetSelector(
        'z-1', inventory, LoadBoard(), HealthTracker(), PrefixCacheIndex(),
        lambda service: None, no_limits(), discard_event, None,
    )  # fmt: skip


def names(selector, *arguments, **more):
    request = make_request(*arguments, **more)
    return {one.name for one in selector.list_eligible(request, set())}


def evacuate(inventory, *zones, now=100.0):
    for zone in zones:
        inventory.evacuations.begin(zone, now, now)


# Choice


def test_without_an_evacuation_all_targets_are_eligible(selector):
    assert names(selector) == {'a', 'b'}


def test_requests_go_to_other_zones_at_once(selector, inventory):
    evacuate(inventory, 'z-1')
    assert names(selector) == {'b'}
    assert names(selector, None) == {'b'}


def test_a_model_that_is_ready_nowhere_else_may_still_be_requested(
    selector, inventory, monkeypatch
):
    evacuate(inventory, 'z-1')
    assert names(selector, 'sole') == {'a'}
    assert not selector.is_closed(inventory.targets['a'])
    monkeypatch.setattr('ebonywell.targeting.boot_time', lambda: 101.5)
    assert names(selector, 'sole') == set()
    assert selector.is_closed(inventory.targets['a'])


def test_an_adapter_is_loaded_where_its_model_is(selector, inventory):
    # Its model is ready elsewhere, so that is where the request waits.
    evacuate(inventory, 'z-1')
    assert names(selector, 'm', 'x') == set()


def test_a_stream_that_only_one_release_can_continue(selector, inventory):
    evacuate(inventory, 'z-1')
    assert names(selector, 'm', release='new') == {'b'}
    assert names(selector, 'm', release='old') == set()


def test_a_request_that_nobody_may_serve_is_rejected_at_once(
    selector, inventory
):
    check_evacuated(selector, make_request())
    evacuate(inventory, 'z-1')
    check_evacuated(selector, make_request('sole'))
    evacuate(inventory, 'z-2')
    for model in ('m', 'sole', None):
        with pytest.raises(RejectionError) as caught:
            check_evacuated(selector, make_request(model))
        assert (caught.value.status, caught.value.reason) == (503, 'evacuated')
        assert names(selector, model) == set()


def test_a_service_without_targets_is_not_evacuated(selector, inventory):
    inventory.targets.clear()
    inventory.ready.clear()
    evacuate(inventory, 'z-1')
    check_evacuated(selector, make_request())


def test_a_model_in_an_evacuated_zone_is_requested_from_the_lease_holder(
    inventory,
):
    sent = []
    load_requests = LoadRequests(
        inventory,
        lambda: True,
        sent.append,
        lambda service, model: False,
        lambda service, model: 0,
        lambda service: None,
    )
    evacuate(inventory, 'z-1')
    assert load_requests.request_load(make_request('sole')) == ORDER_READY_S
    assert [one.model for one in sent] == ['sole']


# Attempts


class OpenPool:
    """Gives connections that nothing may be sent on."""

    def __init__(self):
        self.released = 0

    async def acquire(self, address, *, is_new):
        return 'connection'

    def release(self, address, connection):
        self.released += 1


def test_a_request_that_waited_for_a_connection_is_not_sent(
    selector, inventory, monkeypatch
):
    """The zone is closed between the choice and the send."""
    monkeypatch.setattr('ebonywell.attempts.boot_time', lambda: 100.0)
    evacuate(inventory, 'z-1', now=90.0)
    pool = OpenPool()
    guard = CrashGuard('host-1', None, discard_event, Metrics())
    attempts = Attempts(
        pool, LoadBoard(), HealthTracker(), None, selector,
        Coordination(guard, no_limits(), None), None, discard_event,
    )  # fmt: skip
    candidate = Candidate('a', TargetLoad(), TargetHealth(), 8)
    progress = Progress()

    async def run():
        await attempts.run(
            make_request(), None, progress,
            (inventory.targets['a'], Choice('a', 0, 0, candidate)),
        )  # fmt: skip

    with pytest.raises(AttemptError) as caught:
        anyio.run(run)
    assert caught.value.reason == EVACUATED
    assert not caught.value.has_run
    assert progress.sends == 0
    assert pool.released == 1


# Orders


def test_an_engine_in_an_evacuated_zone_gets_no_order_and_no_question(
    inventory,
):
    asked = []

    async def ask(*arguments):
        asked.append(arguments)

    leadership = SimpleNamespace(state=SimpleNamespace(fence=1, raised_from=0))
    sender = OrderSender(
        'one', leadership, EngineClient(ask, ask), no_limits(), discard_event,
        evacuations=inventory.evacuations,
    )  # fmt: skip
    evacuate(inventory, 'z-1')
    known = inventory.targets['a']

    async def run():
        assert not await sender.refresh(known)
        track = sender.track(known)
        for action in Action:
            answer = await sender.order(known, track, action, 'm', 'x')
            assert answer is OrderAnswer.unproven

    anyio.run(run)
    assert asked == []


def move_engines(world, *names):
    for name in names:
        world.inventory.announce(
            Announcement(
                name, 1, SERVICE, 'ip:1', 'evacuated', TargetState.ready, 64
            ),
            0,
        )
    world.inventory.evacuations.begin('evacuated', 0, 0)


@pytest.mark.parametrize('seconds', [4])
def test_models_of_an_evacuated_zone_are_loaded_elsewhere(monkeypatch, seconds):
    def prepare(world):
        move_engines(world, 'e0', 'e1')
        world.inventory.targets['e0'].add('m0', '')
        world.inventory.targets['e1'].add('m1', '')
        world.request_models(['m0', 'm1'])

    world = simulate(monkeypatch, make_spec(4, 4), 4, seconds, prepare)
    assert not world.engines['e0'].disk | world.engines['e1'].disk
    assert {'m0', 'm1'} <= world.loaded_models()


def test_the_most_requested_models_are_loaded_first(monkeypatch):
    def prepare(world):
        move_engines(world, 'e0')
        for number in range(3):
            world.inventory.targets['e0'].add(f'm{number}', '')
        demand = (
            ModelDemand(SERVICE, 'm0', 60, 1),
            ModelDemand(SERVICE, 'm1', 60, 1),
            ModelDemand(SERVICE, 'm2', 600, 9),
        )
        world.demand.receive(DemandMessage('two', demand), 0)

    spec = make_spec(3, 0.8)
    world = simulate(monkeypatch, spec, 2, 6, prepare)
    assert next(iter(world.engines['e1'].models), None) == 'm2'
