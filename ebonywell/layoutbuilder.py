"""Builds the layout for placement from the log and the newest reports."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .changes import Entry
from .layout import Copy, Layout, Need, Site
from .memory import Memory, TargetMemory, reserved_bytes
from .orders import Action
from .targets import Report, Target
from .types import EntryKind

# Time for a completed load to show in the target's report.
REPORT_LAG_S = 5.0
# Age of the newest report from which a target no longer counts as serving.
REPORT_TIMEOUT_S = 2.5
FAILED_LOAD_BACKOFF_S = 20.0
# Time without an outcome after which a load is not counted on.
LOAD_TIMEOUT_S = 20.0
_READY = 'ready'


@dataclass(slots=True)
class PlannerHistory:
    """Recent observations of this planner, which are lost on restart.

    Attributes
    ----------
    settled_at : dict of (str, str) to float
        When the planner first saw a completed load, by target and model, in
        seconds.
    pending_since : dict of str to float
        When the planner first saw an order unsettled, by order id, in seconds.
    blocked_until : dict of (str, str) to float
        When a load that failed may be retried, by target and by model or
        ``model:adapter``, in seconds.
    """

    settled_at: dict[tuple[str, str], float] = field(default_factory=dict)
    pending_since: dict[str, float] = field(default_factory=dict)
    blocked_until: dict[tuple[str, str], float] = field(default_factory=dict)

    def block_load(self, target: str, name: str, now: float) -> None:
        """Block a load that failed for `FAILED_LOAD_BACKOFF_S`."""
        self.blocked_until[target, name] = now + FAILED_LOAD_BACKOFF_S

    def blocked_loads(self, target: str, now: float) -> set[str]:
        """Return the models and adapters not to load on a target now."""
        return {
            name
            for (blocked_target, name), until in self.blocked_until.items()
            if blocked_target == target and now < until
        }

    def update(self, memory: Memory, now: float) -> None:
        """Add new copies and orders, and drop those that are gone."""
        present = {
            (name, model)
            for name, target in memory.items()
            for model in target.residents
        }
        for gone in self.settled_at.keys() - present:
            self.settled_at.pop(gone)
        for new in present - self.settled_at.keys():
            self.settled_at[new] = now
        self.pending_since = {
            order_id: self.pending_since.get(order_id, now)
            for target in memory.values()
            for order_id in target.unsettled
        }
        for pair, until in list(self.blocked_until.items()):
            if now >= until:
                self.blocked_until.pop(pair)


def is_serving(target: Target, now: float) -> bool:
    """Return whether a target counts as serving.

    A single failed report does not make models move.
    """
    if target.report is None or target.is_leaving:
        return False
    return now - target.reported_at < REPORT_TIMEOUT_S


def build_layout(
    memory: Memory,
    targets: Iterable[Target],
    entries: Iterable[Entry],
    demand: Mapping[str, float],
    history: PlannerHistory,
    now: float,
) -> Layout:
    """Return the layout for one decision.

    Parameters
    ----------
    memory : Memory
        What each target's memory may contain, by the log.
    targets : iterable of Target
        Their reports show which models are ready.
    entries : iterable of Entry
        Entries of the catalogue. Those that are not models are ignored.
    demand : mapping of str to float
        Demand by model, in slots.
    history : PlannerHistory
    now : float
        Current time, in seconds.
    """
    sites = [
        _build_site(memory[target.name], target, history, now)
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
    history: PlannerHistory,
    now: float,
) -> Site:
    report = target.report or Report(target.name, '')
    is_same_incarnation = report.incarnation == memory.incarnation
    # A target may use more memory than the log accounts for. That memory must
    # not be given to further loads.
    reserved = max(
        reserved_bytes(memory), report.used_bytes if is_same_incarnation else 0
    )
    site = Site(
        target.name,
        target.listed.zone,
        memory.memory_bytes,
        memory.memory_bytes - reserved,
        report.max_running,
        is_same_incarnation and not memory.gone and is_serving(target, now),
    )
    site.blocked_loads = history.blocked_loads(target.name, now)
    _add_settled(site, memory, report, history, now)
    _add_unsettled(site, memory, history, now)
    return site


def _add_settled(
    site: Site,
    memory: TargetMemory,
    report: Report,
    history: PlannerHistory,
    now: float,
) -> None:
    ready = {one.model for one in report.models if one.state == _READY}
    for model, resident in memory.residents.items():
        settled_at = history.settled_at.get((site.name, model), now)
        is_ready = model in ready
        site.copies[model] = Copy(
            ready=is_ready,
            # The engine dropped the model without an order, so planning
            # must not count on the copy.
            leaving=not is_ready and now - settled_at > REPORT_LAG_S,
            loaded_at=settled_at,
            adapters=set(resident.adapters),
        )


def _add_unsettled(
    site: Site,
    memory: TargetMemory,
    history: PlannerHistory,
    now: float,
) -> None:
    for pending in memory.unsettled.values():
        order = pending.order
        copy = site.copies.setdefault(order.model, Copy())
        age_s = now - history.pending_since.get(order.order_id, now)
        is_late = order.action is Action.load and age_s > LOAD_TIMEOUT_S
        if is_late or order.action is Action.unload:
            # Planning must not count on the copy, but its memory stays
            # reserved.
            copy.leaving = True
        elif order.adapter:
            copy.adapters.add(order.adapter)
            site.adapter_loads += 1
