"""Which target holds which model, and how the demand spreads over them."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from .changes import Adapter

SPREAD_ROUNDS = 3
GOAL_UTILISATION = 0.9
BUSY_SHARE = 1.0
SPARES_MEMORY_SHARE = 0.8


@dataclass(slots=True)
class Copy:
    """A model on one target, there or on its way.

    Attributes
    ----------
    ready : bool
        Whether the target says that it serves the model.
    leaving : bool
        Whether an unload may still take it away.
    loaded_at : float
        When the planner saw it settled, in seconds.
    adapters : set of str
        There, or on their way.
    share : float
        Slots of the model's demand that fall to this copy.
    """

    ready: bool = False
    leaving: bool = False
    loaded_at: float = 0
    adapters: set[str] = field(default_factory=set)
    share: float = 0


@dataclass(slots=True)
class Site:
    """A target as the placement sees it.

    Attributes
    ----------
    name : str
    zone : str
    memory_bytes : int
    free_bytes : int
        What neither a resident nor any unsettled order may take.
    slots : float
        Requests that it runs at once.
    is_open : bool
        Whether it is live, not draining, and reports.
    copies : dict of str to Copy
        By model.
    load : float
        Slots that the spread demand takes.
    adapter_loads : int
        Adapter loads that have no answer yet.
    barred : set of str
        Models and ``model:adapter`` whose load failed here of late.
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
    barred: set[str] = field(default_factory=set)

    @property
    def headroom(self) -> float:
        """Slots that it may take before it is loaded as far as it should."""
        return self.slots * GOAL_UTILISATION - self.load


@dataclass(slots=True)
class Need:
    """A model of the catalogue and the demand for it.

    Attributes
    ----------
    model : str
    bytes : int
        Of one copy, without adapters.
    adapters : tuple of Adapter
    demand : float
        In slots.
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
    """Sites and needs, indexed; changed in place as moves are planned.

    Attributes
    ----------
    sites : dict of str to Site
    needs : dict of str to Need
    holders : dict of str to list of Site
        Open sites with a copy that is not leaving, by model.
    spares_fit : bool
        Whether the open targets hold every model twice and leave room.
    busy_slots : float
        The demand from which a model counts as busy.
    """

    def __init__(self, sites: Iterable[Site], needs: Iterable[Need]) -> None:
        self.sites = {site.name: site for site in sites}
        self.needs = {need.model: need for need in needs}
        self.holders: dict[str, list[Site]] = {
            model: [] for model in self.needs
        }
        for site in self.open_sites():
            for model, copy in site.copies.items():
                if model in self.holders and not copy.leaving:
                    self.holders[model].append(site)
                    site.free_bytes -= self.missing_bytes(site, model)
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
            and model not in site.barred
        ]

    def missing_bytes(self, site: Site, model: str) -> int:
        """Return what the adapters take that a copy does not have yet."""
        present = site.copies[model].adapters
        return sum(
            adapter.bytes
            for adapter in self.needs[model].adapters
            if adapter.name not in present
        )

    def serving(self, model: str) -> list[Site]:
        """Return the sites that serve a model and keep it."""
        return [
            site
            for site in self.holders.get(model, ())
            if site.copies[model].ready
        ]

    def is_busy(self, model: str) -> bool:
        """Return whether a model should be in two availability zones."""
        return self.needs[model].demand >= self.busy_slots

    def add_copy(self, site: Site, model: str, now: float) -> None:
        """Plan a copy, so that what is planned next counts with it."""
        site.copies[model] = Copy(loaded_at=now)
        site.free_bytes -= self.needs[model].footprint
        self.holders[model].append(site)

    def drop_copy(self, site: Site, model: str) -> None:
        """Plan that a copy goes; its memory is not free before it is gone."""
        copy = site.copies[model]
        copy.leaving = True
        site.load -= copy.share
        copy.share = 0
        if site in self.holders.get(model, ()):
            self.holders[model].remove(site)

    def spread(self) -> None:
        """Share out the demand over the copies as the routing would."""
        for site in self.sites.values():
            site.load = 0
        for _ in range(SPREAD_ROUNDS):
            for model in self.needs:
                self.respread(model)

    def respread(self, model: str) -> None:
        """Share out one model's demand anew, beside that of all others."""
        sites = self.holders[model]
        for site in sites:
            site.load -= site.copies[model].share
        level = _level(sites, self.needs[model].demand)
        for taking in sites:
            share = max(level * taking.slots - taking.load, 0)
            taking.copies[model].share = share
            taking.load += share

    def pressure(self, model: str) -> float:
        """Return the slots of a model's demand that find its targets full."""
        if not self.holders[model]:
            return self.needs[model].demand
        over: float = 0
        for site in self.holders[model]:
            if site.load > 0 and site.headroom < 0:
                over -= site.headroom * site.copies[model].share / site.load
        return over

    def _do_spares_fit(self) -> bool:
        room = sum(site.memory_bytes for site in self.open_sites())
        wanted = sum(need.footprint for need in self.needs.values())
        # Spare copies must leave room for the copies that demand asks for.
        return 2 * wanted <= room * SPARES_MEMORY_SHARE

    def _average_slots(self) -> float:
        slots = [site.slots for site in self.open_sites()]
        return sum(slots) / len(slots) if slots else 0


def _level(sites: list[Site], demand: float) -> float:
    """Return the utilisation up to which demand fills the sites evenly."""
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
