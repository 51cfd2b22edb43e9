"""Reads from the operator's records which availability zones are evacuated.

Designed for a store that is away, is slow, or comes back from an older copy of
itself: what was read last stays in force, and only a record or its absence in
a complete read changes it.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from ..inventory import Inventory
from ..logs import Logger
from ..sharedstore import KeyedRecord
from .zones import Evacuations


@dataclass(slots=True)
class EvacuationRecords:
    """Applies the operator's records to the evacuations in force.

    Attributes
    ----------
    evacuations : Evacuations
    prefix : str
        Prefix of the keys; empty if the platform has no such records.
    """

    evacuations: Evacuations
    prefix: str
    log: Logger

    def zone_of(self, key: str) -> str:
        """Return the zone that a key evacuates, empty for another key."""
        if not self.prefix or not key.startswith(self.prefix):
            return ''
        return key.removeprefix(self.prefix)

    def apply(self, record: KeyedRecord, proven_at: float, now: float) -> None:
        """Apply a change of one record.

        Parameters
        ----------
        record : KeyedRecord
            Only its presence counts, whatever its value holds.
        proven_at : float
            When the change is known not to have been there.
        now : float
        """
        zone = self.zone_of(record.key)
        if record.value is None:
            if self.evacuations.end(zone):
                self.log('evacuation_ended', zone=zone)
            return
        if self.evacuations.begin(zone, proven_at, now):
            self._log_begun(zone)
        self._check_value(zone, record.value)

    def apply_all(self, records: Iterable[KeyedRecord]) -> None:
        """Apply a complete read of the operator's records."""
        found = {
            zone: record.value
            for record in records
            if record.value is not None and (zone := self.zone_of(record.key))
        }
        begun, ended = self.evacuations.replace_all(found)
        for gone in ended:
            self.log('evacuation_ended', zone=gone)
        for zone in begun:
            self._log_begun(zone)
        for named, content in found.items():
            self._check_value(named, content)

    def check_zones(self, inventory: Inventory) -> None:
        """Log evacuations of zones in which no target is known."""
        if self.evacuations.is_empty or not inventory.is_loaded:
            return
        known = {one.announcement.zone for one in inventory.targets.values()}
        for zone in self.evacuations.list_missing(known):
            self.log('evacuation_odd', zone=zone, why='no target there')

    def _log_begun(self, zone: str) -> None:
        self.log('evacuation_begun', zone=zone)

    def _check_value(self, zone: str, content: bytes) -> None:
        try:
            msgspec.json.decode(content, type=dict[str, object])
        except (msgspec.MsgspecError, RecursionError) as error:
            if self.evacuations.note_odd(zone):
                self.log('evacuation_odd', zone=zone, why=repr(error))
