"""Layout of models on targets, and the demand that each copy carries."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from .changes import Adapter

SPREAD_ROUNDS = 3
MAX_UTILISATION = 0.9
# Demand of a busy model, relative to the slots of an average target.
BUSY_SHARE = 1.0
SPARES_MEMORY_SHARE = 0.8


@dataclass(slots=True)
class Copy:
    """A copy of a model on one target, loaded or loading.

    Attributes
    ----------
    ready : bool
        Whether the target reports that it serves the model.
    leaving : bool
        Whether planning ignores the copy: an unload is outstanding, its load
        is overdue, or the engine dropped it.
    loaded_at : float
        When the planner first saw the load completed, in seconds.
    adapters : set of str
        Adapters that are loaded or loading.
    share : float
        Part of the model's demand that this copy serves, in slots.
    """

    ready: bool = False
    leaving: bool = False
    loaded_at: float = 0
    adapters: set[str] = field(default_factory=set)
    share: float = 0


@dataclass(slots=True)
class Site:
    """A target that models can be placed on.

    Attributes
    ----------
    name : str
    zone : str
    memory_bytes : int
    free_bytes : int
        Memory that is neither in use nor reserved by an unsettled order.
    slots : float
        Requests that the target runs concurrently.
    is_open : bool
        Whether the target is live, not draining, and sends reports.
    copies : dict of str to Copy
        Copies on the target, by model.
    load : float
        Demand assigned to the target, in slots.
    adapter_loads : int
        Adapter loads without an outcome yet.
    blocked_loads : set of str
        Models and ``model:adapter`` pairs whose load failed here recently.
    """

    name: str
    zone: str
    memory_bytes: int
    free_bytes: int
    slots: float
    is_open: bool = True
    copies: dict[str, Copy] = field(default_factory=dict)
    load: float = 0
    adapter_loads: int = 0
    blocked_loads: set[str] = field(default_factory=set)

    @property
    def headroom(self) -> float:
        """Demand that fits below the utilisation limit, in slots."""
        return self.slots * MAX_UTILISATION - self.load


@dataclass(slots=True)
class Need:
    """What a model of the catalogue needs: memory, adapters and slots.

    Attributes
    ----------
    model : str
    bytes : int
        Size of one copy without adapters.
    adapters : tuple of Adapter
    demand : float
        Concurrent requests for the model, in slots.
    """

    model: str
    bytes: int
    adapters: tuple[Adapter, ...] = ()
    demand: float = 0

    @property
    def footprint(self) -> int:
        """Bytes of one copy with all its adapters."""
        return self.bytes + sum(one.bytes for one in self.adapters)


class Layout:
    """Indexed sites and needs, updated in place as moves are planned.

    Attributes
    ----------
    sites : dict of str to Site
    needs : dict of str to Need
    sites_by_model : dict of str to list of Site
        Open sites with a copy that is not leaving, by model.
    spares_fit : bool
        Whether two copies of every model fit on the open targets and leave
        room for more.
    busy_slots : float
        Demand from which a model counts as busy, in slots.
    """

    def __init__(self, sites: Iterable[Site], needs: Iterable[Need]) -> None:
        self.sites = {site.name: site for site in sites}
        self.needs = {need.model: need for need in needs}
        self.sites_by_model: dict[str, list[Site]] = {
            model: [] for model in self.needs
        }
        for site in self.open_sites():
            for model, copy in site.copies.items():
                if model in self.sites_by_model and not copy.leaving:
                    self.sites_by_model[model].append(site)
                    site.free_bytes -= self.missing_adapter_bytes(site, model)
        self.spares_fit = self._do_spares_fit()
        self.busy_slots = self._average_slots() * BUSY_SHARE

    def open_sites(self) -> Iterator[Site]:
        """Iterate over the sites that may serve."""
        return (site for site in self.sites.values() if site.is_open)

    def candidates(self, model: str) -> list[Site]:
        """Return the open sites that could get a copy of a model."""
        return [
            site
            for site in self.open_sites()
            if site.slots
            and model not in site.copies
            and model not in site.blocked_loads
        ]

    def missing_adapter_bytes(self, site: Site, model: str) -> int:
        """Return the size of the adapters that a copy still lacks."""
        present = site.copies[model].adapters
        return sum(
            adapter.bytes
            for adapter in self.needs[model].adapters
            if adapter.name not in present
        )

    def serving_sites(self, model: str) -> list[Site]:
        """Return the sites with a ready copy of a model that stays."""
        return [
            site
            for site in self.sites_by_model.get(model, ())
            if site.copies[model].ready
        ]

    def is_busy(self, model: str) -> bool:
        """Return whether a model needs copies in two availability zones."""
        return self.needs[model].demand >= self.busy_slots

    def add_copy(self, site: Site, model: str, now: float) -> None:
        """Add a planned copy, so that later planning steps see it."""
        site.copies[model] = Copy(loaded_at=now)
        site.free_bytes -= self.needs[model].footprint
        self.sites_by_model[model].append(site)

    def drop_copy(self, site: Site, model: str) -> None:
        """Mark a copy as leaving. Its memory stays in use until it is gone."""
        copy = site.copies[model]
        copy.leaving = True
        site.load -= copy.share
        copy.share = 0
        if site in self.sites_by_model.get(model, ()):
            self.sites_by_model[model].remove(site)

    def spread(self) -> None:
        """Distribute the demand over the copies as routing does."""
        for site in self.sites.values():
            site.load = 0
        for _ in range(SPREAD_ROUNDS):
            for model in self.needs:
                self.respread(model)

    def respread(self, model: str) -> None:
        """Distribute one model's demand again, given the load of the others."""
        sites = self.sites_by_model[model]
        for site in sites:
            site.load -= site.copies[model].share
        level = _fill_level(sites, self.needs[model].demand)
        for site in sites:
            share = max(level * site.slots - site.load, 0)
            site.copies[model].share = share
            site.load += share

    def overflow(self, model: str) -> float:
        """Return the part of a model's demand above its sites' limits."""
        if not self.sites_by_model[model]:
            return self.needs[model].demand
        overflow: float = 0
        for site in self.sites_by_model[model]:
            if site.load > 0 and site.headroom < 0:
                overflow -= site.headroom * site.copies[model].share / site.load
        return overflow

    def _do_spares_fit(self) -> bool:
        memory_bytes = sum(site.memory_bytes for site in self.open_sites())
        needed_bytes = sum(need.footprint for need in self.needs.values())
        # Spare copies must leave room for the copies that demand requires.
        return 2 * needed_bytes <= memory_bytes * SPARES_MEMORY_SHARE

    def _average_slots(self) -> float:
        slots = [site.slots for site in self.open_sites()]
        return sum(slots) / len(slots) if slots else 0


def _fill_level(sites: list[Site], demand: float) -> float:
    """Return the utilisation to which demand fills the sites evenly."""
    level: float = 0
    slots: float = 0
    load: float = 0
    for site in sorted(sites, key=_utilisation):
        if slots and _utilisation(site) >= level:
            break
        slots += site.slots
        load += site.load
        level = (demand + load) / slots if slots else 0
    return level


def _utilisation(site: Site) -> float:
    return site.load / site.slots if site.slots else 0
