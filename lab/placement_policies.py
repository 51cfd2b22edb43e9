"""Placement policies for the bench: ebonywell's, and what it is held to."""

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
    """Return the real decision, fed as the planner feeds it."""
    pace = PlacementState(loads_per_s=scenario.scale.loads_per_s)
    demand = Demand()

    def decide_now(sim: Sim) -> None:
        now = sim.tick * TICK_S
        update(demand, _observe(sim), now)
        needs = [
            Need(str(model), size, (), demand.slots.get(str(model), 0))
            for model, size in enumerate(scenario.sizes)
        ]
        layout = Layout([_site(sim, box) for box in sim.targets], needs)
        boxes = {box.name: box for box in sim.targets}
        for move in decide(layout, pace, now).moves:
            if move.action is Action.load:
                sim.load(boxes[move.target], int(move.model))
            else:
                sim.unload(boxes[move.target], int(move.model))

    return decide_now


def _observe(sim: Sim) -> dict[str, float]:
    return {
        str(model): sim.running[model] + len(queue)
        for model, queue in enumerate(sim.waiting)
    }


def _site(sim: Sim, box: Target) -> Site:
    site = Site(
        box.name,
        box.zone,
        box.memory_bytes,
        sim.free_bytes(box),
        box.slots,
        is_open=box.is_alive,
    )
    for model, since in box.models.items():
        loaded_at = box.loaded_at.get(model, -NEVER)
        site.copies[str(model)] = Copy(
            ready=since <= sim.tick,
            loaded_at=loaded_at * TICK_S,
        )
    return site


def static_policy(_: Scenario) -> Decide:
    """Return an even split that is only put back after a fault."""
    kept: dict[str, list[int]] = {}

    def decide_now(sim: Sim) -> None:
        for box in sim.targets:
            planned = kept.setdefault(box.name, list(box.models))
            lost = [model for model in planned if model not in box.models]
            for model in lost if box.is_alive else ():
                sim.load(box, model)

    return decide_now


def lru_policy(_: Scenario) -> Decide:
    """Return loading on demand: who finds no free slot loads a copy.

    The least busy target loads it in the place of what it has not used for
    the longest time.
    """

    def decide_now(sim: Sim) -> None:
        loading = {load.model for load in sim.loads}
        for model, queue in enumerate(sim.waiting):
            if queue and model not in loading:
                _load_lru(sim, model)

    return decide_now


def lru_miss_policy(_: Scenario) -> Decide:
    """Return loading on demand of models that no target has."""

    def decide_now(sim: Sim) -> None:
        loading = {load.model for load in sim.loads}
        for model, queue in enumerate(sim.waiting):
            if queue and model not in loading and not sim.ready_targets(model):
                _load_lru(sim, model)

    return decide_now


def _load_lru(sim: Sim, model: int) -> None:
    boxes = [
        box for box in sim.targets if box.is_alive and model not in box.models
    ]
    if not boxes:
        return
    box = min(boxes, key=lambda one: one.running)
    oldest = sorted(
        (one for one, since in box.models.items() if since < NEVER),
        key=lambda one: box.used_at.get(one, -1),
    )
    wanted = sim.scenario.sizes[model]
    while oldest and sim.free_bytes(box) < wanted:
        sim.unload(box, oldest.pop(0))
    if sim.free_bytes(box) >= wanted:
        sim.load(box, model)


def bound_policy(scenario: Scenario) -> Decide:
    """Return every model on every live target at once, without a load.

    No policy that keeps to the memory can serve more, whatever it knows of
    the demand beforehand.
    """

    def decide_now(sim: Sim) -> None:
        for box in sim.targets:
            if box.is_alive and len(box.models) < len(scenario.sizes):
                box.models = dict.fromkeys(range(len(scenario.sizes)), 0)

    return decide_now
