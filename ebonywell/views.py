"""What the placement sees: the log's memory beside the newest reports."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .changes import Entry
from .layout import Copy, Layout, Need, Site
from .memory import Memory, TargetMemory, reserved
from .orders import Action
from .targets import Report, Target
from .types import EntryKind

REPORT_LAG_S = 5.0
SILENCE_S = 2.5
BARRED_S = 20.0
LOAD_TIMEOUT_S = 20.0
_READY = 'ready'


@dataclass(slots=True)
class Recent:
    """What the planner itself saw of late; lost with its process.

    Attributes
    ----------
    seen_at : dict of (str, str) to float
        When it first saw a copy settled, by target and model, in seconds.
    pending_since : dict of str to float
        When it first saw an order unsettled, by order id, in seconds.
    barred_until : dict of (str, str) to float
        Until when a load that failed is not tried again, by target and by
        model or ``model:adapter``, in seconds.
    """

    seen_at: dict[tuple[str, str], float] = field(default_factory=dict)
    pending_since: dict[str, float] = field(default_factory=dict)
    barred_until: dict[tuple[str, str], float] = field(default_factory=dict)

    def bar_load(self, target: str, name: str, now: float) -> None:
        """Note that a load failed."""
        self.barred_until[target, name] = now + BARRED_S

    def barred(self, target: str, now: float) -> set[str]:
        """Return what should not be loaded on a target now."""
        return {
            name
            for (where, name), until in self.barred_until.items()
            if where == target and now < until
        }

    def update(self, memory: Memory, now: float) -> None:
        """Note the copies that are new, and forget those that have gone."""
        present = {
            (name, model)
            for name, target in memory.items()
            for model in target.residents
        }
        for gone in self.seen_at.keys() - present:
            self.seen_at.pop(gone)
        for new in present - self.seen_at.keys():
            self.seen_at[new] = now
        self.pending_since = {
            order_id: self.pending_since.get(order_id, now)
            for target in memory.values()
            for order_id in target.unsettled
        }
        for pair, until in list(self.barred_until.items()):
            if now >= until:
                self.barred_until.pop(pair)


def is_serving(target: Target, now: float) -> bool:
    """Return whether a target may be counted on.

    One report that fails is no reason to move models.
    """
    if target.report is None or target.is_leaving:
        return False
    return now - target.reported_at < SILENCE_S


def build_layout(
    memory: Memory,
    targets: Iterable[Target],
    entries: Iterable[Entry],
    demand: Mapping[str, float],
    recent: Recent,
    now: float,
) -> Layout:
    """Return the layout for one decision.

    Parameters
    ----------
    memory : Memory
        As the log has it; says what may be in each target's memory.
    targets : iterable of Target
        Their reports say what serves.
    entries : iterable of Entry
        Models are taken from it.
    demand : mapping of str to float
        Slots by model.
    recent : Recent
    now : float
        In seconds.
    """
    sites = [
        _build_site(memory[target.name], target, recent, now)
        for target in targets
        if target.name in memory and target.report is not None
    ]
    needs = [
        Need(
            entry.name,
            entry.bytes,
            entry.adapters,
            demand.get(entry.name, 0),
        )
        for entry in entries
        if entry.kind is EntryKind.model
    ]
    return Layout(sites, needs)


def _build_site(
    memory: TargetMemory,
    target: Target,
    recent: Recent,
    now: float,
) -> Site:
    report = target.report or Report(target.name, '')
    is_same_life = report.incarnation == memory.incarnation
    # A target that uses more than the log knows of gets no further load.
    taken = max(reserved(memory), report.used_bytes if is_same_life else 0)
    site = Site(
        target.name,
        target.listed.zone,
        memory.memory_bytes,
        memory.memory_bytes - taken,
        report.max_running,
        is_same_life and not memory.gone and is_serving(target, now),
    )
    site.barred = recent.barred(target.name, now)
    _add_settled(site, memory, report, recent, now)
    _add_unsettled(site, memory, recent, now)
    return site


def _add_settled(
    site: Site,
    memory: TargetMemory,
    report: Report,
    recent: Recent,
    now: float,
) -> None:
    ready = {one.model for one in report.models if one.state == _READY}
    for model, resident in memory.residents.items():
        seen_at = recent.seen_at.get((site.name, model), now)
        is_ready = model in ready
        site.copies[model] = Copy(
            ready=is_ready,
            # The engine lost it by itself: nothing may count on it.
            leaving=not is_ready and now - seen_at > REPORT_LAG_S,
            loaded_at=seen_at,
            adapters=set(resident.adapters),
        )


def _add_unsettled(
    site: Site,
    memory: TargetMemory,
    recent: Recent,
    now: float,
) -> None:
    for pending in memory.unsettled.values():
        order = pending.order
        copy = site.copies.setdefault(order.model, Copy())
        age_s = now - recent.pending_since.get(order.order_id, now)
        is_late = order.action is Action.load and age_s > LOAD_TIMEOUT_S
        if is_late or order.action is Action.unload:
            # Nothing may count on it, though its memory stays reserved.
            copy.leaving = True
        elif order.adapter:
            copy.adapters.add(order.adapter)
            site.adapter_loads += 1
