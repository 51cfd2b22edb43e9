"""Which availability zones are evacuated, and what may still be sent there.

Designed for an operator who evacuates a zone with the only ready copies of
some models, for hosts that learn of it late because the store was away, and
for an evacuation that is taken back and ordered again within moments.
"""

import math
from collections.abc import Iterable, Sequence, Set
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

# Part of the time to the operator's bound that is left for requests on their
# way: a wait for a permit, a connection, and a busy host's delay.
ON_THE_WAY_S = 0.5


class Announced(Protocol):
    """An announcement that names its target's availability zone."""

    @property
    def zone(self) -> str:
        """Availability zone of the target."""


class Zoned(Protocol):
    """A target in an availability zone."""

    @property
    def announcement(self) -> Announced:
        """What the target announces."""


_Target = TypeVar('_Target', bound=Zoned)


@dataclass(slots=True, frozen=True)
class EvacuationBounds:
    """Times within which an evacuation must be in force.

    Attributes
    ----------
    evacuate_s : float
        Time from the store's acknowledgement of the record until no request
        reaches the zone.
    config_s : float
        Time within which hosts in touch with the store see the record.
    """

    evacuate_s: float = 5
    config_s: float = 3

    @property
    def sole_copy_s(self) -> float:
        """Time for which models that are ready nowhere else are requested."""
        return max(0, self.evacuate_s - self.config_s - ON_THE_WAY_S)


@dataclass(slots=True)
class Evacuations:
    """The evacuated availability zones, as the operator's records name them.

    Attributes
    ----------
    bounds : EvacuationBounds
    closed_at : dict of str to float
        By evacuated zone, when the models that are ready nowhere else are no
        longer requested there, by the clock of this process.
    reported : set of str
        Evacuated zones whose record holds something odd, which was logged.
    checked : set of str
        Evacuated zones that were looked for among the targets' zones.
    """

    bounds: EvacuationBounds = EvacuationBounds()
    closed_at: dict[str, float] = field(default_factory=dict)
    reported: set[str] = field(default_factory=set)
    checked: set[str] = field(default_factory=set)

    @property
    def is_empty(self) -> bool:
        """Whether no zone is evacuated."""
        return not self.closed_at

    def begin(self, zone: str, proven_at: float, now: float) -> bool:
        """Record an evacuation that was seen as a change.

        Parameters
        ----------
        zone : str
        proven_at : float
            When the record is known not to have existed. A host that learns of
            it late has no time left for the models that are ready nowhere else.
        now : float

        Returns
        -------
        bool
            Whether the zone was not evacuated before.
        """
        if zone in self.closed_at:
            return False
        latest_s = max(0, self.bounds.evacuate_s - ON_THE_WAY_S)
        self.closed_at[zone] = min(
            now + self.bounds.sole_copy_s, proven_at + latest_s
        )
        return True

    def end(self, zone: str) -> bool:
        """Record that an evacuation ended; return whether there was one."""
        self.reported.discard(zone)
        self.checked.discard(zone)
        return self.closed_at.pop(zone, None) is not None

    def replace_all(self, zones: Iterable[str]) -> tuple[list[str], list[str]]:
        """Apply a complete read of the operator's records.

        What it contains is in force at once, since nobody knows for how long
        the records have been there.

        Returns
        -------
        (list of str, list of str)
            The zones whose evacuation begins, and those where it ends.
        """
        found = dict.fromkeys(zones, -math.inf)
        begun = [zone for zone in found if zone not in self.closed_at]
        ended = [zone for zone in self.closed_at if zone not in found]
        for zone in ended:
            self.end(zone)
        self.closed_at.update(found)
        return begun, ended

    def note_odd(self, zone: str) -> bool:
        """Return whether the record's content was not known to be odd."""
        if zone in self.reported:
            return False
        self.reported.add(zone)
        return True

    def list_missing(self, zones: Set[str]) -> list[str]:
        """Return the evacuated zones that do not exist, each of them once.

        The targets of a zone may leave later, which is nothing odd.
        """
        unchecked = self.closed_at.keys() - self.checked
        self.checked |= unchecked
        return [zone for zone in unchecked if zone not in zones]

    def is_evacuated(self, target: Zoned) -> bool:
        """Return whether the zone of a target is evacuated."""
        return target.announcement.zone in self.closed_at

    def is_closed(self, target: Zoned, now: float) -> bool:
        """Return whether a target must get no request, whatever it holds."""
        return now >= self.closed_at.get(target.announcement.zone, math.inf)

    def list_open(self, targets: Iterable[_Target]) -> list[_Target]:
        """Return the targets whose zones are not evacuated."""
        if self.is_empty:
            return list(targets)
        return [one for one in targets if not self.is_evacuated(one)]

    def list_usable(
        self,
        holding: Sequence[_Target],
        *,
        is_elsewhere: bool,
        is_coming: bool,
        now: float,
    ) -> list[_Target]:
        """Return the targets that a request may be sent to.

        Parameters
        ----------
        holding : sequence of target
            Those that hold what the request needs.
        is_elsewhere : bool
            Whether a target of another zone holds its model.
        is_coming : bool
            Whether a target of another zone can load its model.
        now : float
        """
        usable = self.list_open(holding)
        if usable or is_elsewhere or not is_coming:
            return usable
        return [one for one in holding if not self.is_closed(one, now)]
