"""Placement policies for the bench: ebonywell's, baselines and a bound."""

from collections.abc import Callable

from ebonywell.demand import Demand, update
from ebonywell.layout import Copy, Layout, Need, Site
from ebonywell.moves import PlacementState
from ebonywell.orders import Action
from ebonywell.placement import decide

from .placement_demand import TICK_S, Scenario
from .placement_sim import NEVER, Decide, Sim, Target

MakePolicy = Callable[[Scenario], Decide]


def ebonywell_policy(scenario: Scenario) -> Decide:
    """Return ebonywell's own decision, with the inputs of the planner."""
    state = PlacementState(loads_per_s=scenario.scale.loads_per_s)
    demand = Demand()

    def decide_now(sim: Sim) -> None:
        now = sim.tick * TICK_S
        update(demand, _observe(sim), now)
        needs = [
            Need(str(model), size, (), demand.slots.get(str(model), 0))
            for model, size in enumerate(scenario.sizes)
        ]
        layout = Layout([_site(sim, target) for target in sim.targets], needs)
        targets = {target.name: target for target in sim.targets}
        for move in decide(layout, state, now).moves:
            if move.action is Action.load:
                sim.load(targets[move.target], int(move.model))
            else:
                sim.unload(targets[move.target], int(move.model))

    return decide_now


def _observe(sim: Sim) -> dict[str, float]:
    return {
        str(model): sim.running[model] + len(queue)
        for model, queue in enumerate(sim.waiting)
    }


def _site(sim: Sim, target: Target) -> Site:
    site = Site(
        target.name,
        target.zone,
        target.memory_bytes,
        sim.free_bytes(target),
        target.slots,
        is_open=target.is_alive,
    )
    for model, since in target.models.items():
        loaded_at = target.loaded_at.get(model, -NEVER)
        site.copies[str(model)] = Copy(
            ready=since <= sim.tick,
            loaded_at=loaded_at * TICK_S,
        )
    return site


def static_policy(_: Scenario) -> Decide:
    """Return the even initial placement, restored only after faults."""
    kept: dict[str, list[int]] = {}

    def decide_now(sim: Sim) -> None:
        for target in sim.targets:
            planned = kept.setdefault(target.name, list(target.models))
            lost = [model for model in planned if model not in target.models]
            for model in lost if target.is_alive else ():
                sim.load(target, model)

    return decide_now


def lru_policy(_: Scenario) -> Decide:
    """Return loading on demand, whenever a request finds no free slot.

    The least busy target loads the copy and evicts its least recently used
    models.
    """

    def decide_now(sim: Sim) -> None:
        loading = {load.model for load in sim.loads}
        for model, queue in enumerate(sim.waiting):
            if queue and model not in loading:
                _load_replacing_lru(sim, model)

    return decide_now


def lru_miss_policy(_: Scenario) -> Decide:
    """Return loading on demand of models that no live target serves."""

    def decide_now(sim: Sim) -> None:
        loading = {load.model for load in sim.loads}
        for model, queue in enumerate(sim.waiting):
            if queue and model not in loading and not sim.ready_targets(model):
                _load_replacing_lru(sim, model)

    return decide_now


def _load_replacing_lru(sim: Sim, model: int) -> None:
    targets = [
        target
        for target in sim.targets
        if target.is_alive and model not in target.models
    ]
    if not targets:
        return
    target = min(targets, key=lambda one: one.running)
    oldest = sorted(
        (one for one, since in target.models.items() if since < NEVER),
        key=lambda one: target.used_at.get(one, -1),
    )
    needed_bytes = sim.scenario.sizes[model]
    while oldest and sim.free_bytes(target) < needed_bytes:
        sim.unload(target, oldest.pop(0))
    if sim.free_bytes(target) >= needed_bytes:
        sim.load(target, model)


def bound_policy(scenario: Scenario) -> Decide:
    """Return the bound: every live target serves every model, without loads.

    No policy that respects the memory limits can serve more, even if it knows
    the demand in advance.
    """

    def decide_now(sim: Sim) -> None:
        for target in sim.targets:
            if target.is_alive and len(target.models) < len(scenario.sizes):
                target.models = dict.fromkeys(range(len(scenario.sizes)), 0)

    return decide_now
