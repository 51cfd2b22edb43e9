"""Targets that service discovery announces, and their removal."""

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from .evacuation.cold import ColdReport, ColdTargets
from .evacuation.zones import Evacuations

# Longest time between the writing of an announcement and its reading: the
# heartbeat's period and the pause between reads.
MAX_ANNOUNCEMENT_AGE_S = 2.2
# Entries that expired while the store was down return within two seconds of
# its recovery; the rest allows for this host's pause between reads.
STORE_RECOVERY_GRACE_S = 2.5
# A target that lives announces itself again within this time, or else its entry
# expires, after three missed heartbeats.
REANNOUNCED_S = 4.0
# A target that refused a connection, or was no longer at its address, gets
# requests again after this time, or as soon as it announces itself anew.
REFUSED_RETRY_S = 1.0


class TargetState(enum.StrEnum):
    """Whether a target takes new requests."""

    ready = 'ready'
    draining = 'draining'


@dataclass(slots=True, frozen=True)
class Resident:
    """A model on a target.

    Attributes
    ----------
    model : str
    adapters : frozenset of str
    version : int
        Version of the weights.
    """

    model: str
    adapters: frozenset[str] = frozenset()
    version: int = 0


@dataclass(slots=True, frozen=True)
class Announcement:
    """Report of a target on itself through service discovery.

    Attributes
    ----------
    name : str
        Target id; it may return with another `born`.
    born : int
        When this incarnation began.
    service, address, zone : str
    state : TargetState
    slots : int
    models : dict of str to Resident
    leaves_in_s : float or None
        Time until its removal, if it is removed at short notice.
    memory_weights, disk_weights : frozenset of str
        Models whose weights the target has cached in memory or on disk.
    release : str
        Version of the target's software.
    cold_left_s : float
    is_cold_sound : bool
        Time until it is no longer cold, and whether it stated that properly.
    """

    name: str
    born: int
    service: str
    address: str
    zone: str
    state: TargetState
    slots: int
    models: dict[str, Resident] = field(default_factory=dict)
    leaves_in_s: float | None = None
    memory_weights: frozenset[str] = frozenset()
    disk_weights: frozenset[str] = frozenset()
    release: str = ''
    cold_left_s: float = 0
    is_cold_sound: bool = True

    @property
    def cached_weights(self) -> frozenset[str]:
        """Models that the target loads without the weight store."""
        return self.memory_weights | self.disk_weights


@dataclass(slots=True, eq=False)
class KnownTarget:
    """One incarnation of a target, as this host knows it.

    Attributes
    ----------
    announcement : Announcement
        Newest announcement.
    models : dict of str to Resident
        Models on the target; newer than the announcement if an order was
        confirmed or a request was rejected since.
    order_count : int
        Orders that this incarnation is known to have accepted.
    confirmed_at : float
        When the target's own report or the lease holder last confirmed the
        models; older announcements don't override that.
    missing_since : float or None
        When its entry disappeared, if an outage of the store may be the cause.
    differing_since : float or None
        When `models` was found to differ from the announcement; None if it
        doesn't, or has changed since.
    refused_at : float
        When its address last refused a connection or belonged to another
        target, by the clock of this process; 0 if it did not happen since the
        target was announced.
    paused_until : float
        Until when the target wants no request from this host.
    is_leaving : bool
        Whether an answer of the target said that it is about to leave.
    max_rejections : float or None
        Requests a second that the target can reject without falling over, by
        its last answer; None if any number will do.
    """

    announcement: Announcement
    models: dict[str, Resident]
    order_count: int = 0
    confirmed_at: float = -MAX_ANNOUNCEMENT_AGE_S
    missing_since: float | None = None
    differing_since: float | None = None
    refused_at: float = 0
    paused_until: float = 0
    is_leaving: bool = False
    max_rejections: float | None = None

    @property
    def name(self) -> str:
        """Id of the target."""
        return self.announcement.name

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identity of this incarnation of the target."""
        return self.announcement.name, self.announcement.born

    def is_reachable(self, now: float) -> bool:
        """Return whether it takes requests as far as this host has seen."""
        has_refused = now - self.refused_at < REFUSED_RETRY_S
        return not has_refused and now >= self.paused_until

    def confirm(
        self,
        order_count: int,
        models: dict[str, Resident],
        now: float,
    ) -> None:
        """Record what the target holds, unless newer orders are known."""
        if order_count >= self.order_count:
            self.differing_since = None
            self.order_count = order_count
            self.models = dict(models)
            self.confirmed_at = now

    def drop(self, model: str, adapter: str) -> None:
        """Record that the target doesn't hold a model or an adapter."""
        self.differing_since = None
        resident = self.models.get(model)
        if resident is None:
            return
        if adapter in resident.adapters:
            left = resident.adapters - {adapter}
            self.models[model] = Resident(model, left, resident.version)
        else:
            self.models.pop(model)

    def add(self, model: str, adapter: str) -> None:
        """Record that the target holds a model or an adapter."""
        self.differing_since = None
        resident = self.models.get(model, Resident(model))
        adapters = set(resident.adapters)
        if adapter:
            adapters.add(adapter)
        self.models[model] = Resident(
            model,
            frozenset(adapters),
            resident.version,
        )

    def holds(self, model: str, adapter: str = '') -> bool:
        """Return whether it holds a model and, if given, an adapter."""
        resident = self.models.get(model)
        if resident is None:
            return False
        return not adapter or adapter in resident.adapters


@dataclass(slots=True)
class Inventory:
    """All targets by id and by service.

    Attributes
    ----------
    targets : dict of str to KnownTarget
    store_recovered_at : float
        When the store answered again after an outage.
    proven_at : float
        Time up to which all announcements are known.
    is_loaded : bool
        Whether all entries have been read once.
    ready : dict of str to list of KnownTarget
        Targets that take new requests, by service; cached until one changes.
    evacuations : Evacuations
    cold : ColdTargets
        Targets that get no new requests for a while, and those that get few.
    """

    targets: dict[str, KnownTarget] = field(default_factory=dict)
    store_recovered_at: float = -STORE_RECOVERY_GRACE_S
    proven_at: float = -math.inf
    is_loaded: bool = False
    ready: dict[str, list[KnownTarget]] = field(default_factory=dict)
    evacuations: Evacuations = field(default_factory=Evacuations)
    cold: ColdTargets = field(default_factory=ColdTargets)

    def announce(self, announcement: Announcement, now: float) -> KnownTarget:
        """Record an announcement, and return the target."""
        self.ready.clear()
        known = self.targets.get(announcement.name)
        is_new = known is None or known.announcement.born != announcement.born
        self.cold.note_announcement(
            (announcement.name, announcement.born),
            ColdReport(announcement.service, announcement.cold_left_s),
            now,
            is_new=is_new and self.is_loaded,
        )
        if known is None or is_new:
            known = KnownTarget(announcement, dict(announcement.models))
            self.targets[announcement.name] = known
            return known
        if now - known.confirmed_at >= MAX_ANNOUNCEMENT_AGE_S:
            known.models = dict(announcement.models)
        known.announcement = announcement
        known.missing_since = None
        return known

    def note_leaving(self, known: KnownTarget) -> None:
        """Record that a target takes no new requests, until it restarts."""
        known.is_leaving = True
        self.ready.clear()

    def withdraw(self, name: str, now: float) -> bool:
        """Record that a target's entry is gone.

        After an outage of the store this is weak evidence: the entry may have
        expired, and the target gets time to write it again.

        Returns
        -------
        bool
            Whether the target is removed.
        """
        known = self.targets.get(name)
        if known is None:
            return True
        if now - self.store_recovered_at < STORE_RECOVERY_GRACE_S:
            known.missing_since = now
            return False
        self._remove(name)
        return True

    def replace_all(
        self, announcements: Iterable[Announcement], now: float
    ) -> None:
        """Apply a complete list; targets that it lacks are withdrawn."""
        names = set()
        for one in announcements:
            names.add(one.name)
            self.announce(one, now)
        for missing in set(self.targets) - names:
            self.withdraw(missing, now)
        self.is_loaded = True

    def expire(self, now: float) -> list[str]:
        """Remove targets whose entries did not return after an outage.

        Returns
        -------
        list of str
            Their names.
        """
        if now - self.store_recovered_at < STORE_RECOVERY_GRACE_S:
            return []
        missing = [
            name
            for name, known in self.targets.items()
            if known.missing_since is not None
        ]
        for name in missing:
            self._remove(name)
        return missing

    def resync(self, proven_at: float, now: float) -> None:
        """Let announcements stand that newer ones have not replaced.

        Only announcements that say something new reach a host that does not
        read the store itself, so none of them would correct a model that was
        dropped or added by mistake.

        Parameters
        ----------
        proven_at : float
            Time up to which all announcements are known. While the store is
            away, an old announcement says nothing about later orders.
        now : float
        """
        for known in self.targets.values():
            if known.models == known.announcement.models:
                known.differing_since = None
            elif known.differing_since is None:
                known.differing_since = now
            elif proven_at - known.differing_since >= REANNOUNCED_S:
                known.models = dict(known.announcement.models)
                known.differing_since = None

    def of_service(self, service: str) -> list[KnownTarget]:
        """Return the targets of a service that take new requests."""
        ready = self.ready.get(service)
        if ready is None:
            ready = [
                known
                for known in self.targets.values()
                if known.announcement.service == service
                and known.announcement.state is TargetState.ready
                and not known.is_leaving
            ]
            self.ready[service] = ready
        return ready

    def list_open(self, service: str) -> list[KnownTarget]:
        """Return the targets of a service outside evacuated zones."""
        return self.evacuations.list_open(self.of_service(service))

    def _remove(self, name: str) -> None:
        self.targets.pop(name)
        self.ready.clear()
