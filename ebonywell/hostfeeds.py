"""Feeds of the configuration and the targets from the shared store."""

import random
from collections.abc import Iterable, Iterator, Sequence

from .clock import boot_time
from .evacuation.cold import ColdChange
from .evacuation.records import EvacuationRecords
from .exceptions import EbonywellError
from .feedrelay import FeedKnowledge, FeedRelay, Network
from .feedtail import FeedTail
from .fleetview import FleetView
from .following import Feed, Follower, Relaying
from .intake import Intake
from .inventory import Announcement, Inventory
from .logs import Logger
from .sharedstore import KeyedRecord, SharedStore
from .storeeras import StoreEras
from .translators import Translators

# The configuration is read with a long wait, so changes arrive at once, and
# each read that returns no record proves that no key was withdrawn.
CONFIG_WAIT_S = 0.5
# Targets write several records a second. They are read in batches with this
# pause, which keeps the cost of the calls low and the delay within its bound.
TARGETS_PAUSE_S = 0.8
TARGETS_WAIT_S = 0.5
RESYNC_PERIOD_S = 0.5


class HostFeeds:
    """Keeps a host's configuration and its targets up to date.

    Attributes
    ----------
    intake : Intake
    inventory : Inventory
    configuration, targets : Follower
    eras : StoreEras
        The store's era, from the reads of both.
    evacuations : EvacuationRecords
        Reads which zones are evacuated.
    """

    def __init__(
        self,
        store: SharedStore,
        translators: Translators,
        intake: Intake,
        inventory: Inventory,
        log: Logger,
        rng: random.Random,
    ) -> None:
        self.translators = translators
        self.intake = intake
        self.inventory = inventory
        self.log = log
        self.configuration = Follower(
            store,
            Feed(translators.configuration_topic, 0, CONFIG_WAIT_S, 0),
            self.apply_all_configuration,
            self.apply_configuration,
            FeedTail(_is_news),
            log,
            rng,
        )
        self.targets = Follower(
            store,
            Feed(
                translators.targets_topic,
                0,
                TARGETS_WAIT_S,
                TARGETS_PAUSE_S,
                expires=True,
            ),
            self.apply_all_targets,
            self.apply_targets,
            FeedTail(self._is_other_announcement),
            log,
            rng,
        )
        self.resynced_at = float('-inf')
        self.evacuations = EvacuationRecords(
            inventory.evacuations, translators.evacuation_prefix, log
        )
        self.eras = StoreEras(log)

    def share(self, relay: FeedRelay) -> None:
        """Share what is read with other hosts, and ask them."""
        for follower in self.configuration, self.targets:
            relay.known[follower.feed.topic] = FeedKnowledge(
                follower.tail, follower.state.reach
            )
            follower.relaying = Relaying(
                relay.read,
                relay.find_witnesses,
                relay.note_read,
                self.eras.note,
            )

    def refresh(self, now: float) -> None:
        """Pass on the feeds' freshness, and drop targets that have gone."""
        self.intake.proven_at = self.configuration.state.proven_at
        self._note_outages()
        self.evacuations.check_zones(self.inventory)
        for change in self.inventory.cold.update(now):
            self._log_cold(change)
        for name in self.inventory.expire(now):
            self.log('target_expired', target=name)
        if now - self.resynced_at >= RESYNC_PERIOD_S:
            self.resynced_at = now
            self.inventory.resync(self.targets.state.proven_at, now)

    def apply_configuration(self, records: Sequence[KeyedRecord]) -> None:
        """Apply the newest configuration."""
        proven_at = self.configuration.state.proven_at
        for record in records:
            is_ours = record.key == self.translators.configuration_key
            if is_ours and record.value is not None:
                self._adopt(record, record.value)
            if self.evacuations.zone_of(record.key):
                self.evacuations.apply(record, proven_at, boot_time())

    def apply_all_configuration(self, records: Sequence[KeyedRecord]) -> None:
        """Apply all of the operator's records."""
        self.evacuations.apply_all(records)
        self.apply_configuration(records)

    def apply_all_targets(self, records: Sequence[KeyedRecord]) -> None:
        """Apply the complete list of targets."""
        self._note_outages()
        self.inventory.replace_all(self._decode(records), boot_time())

    def apply_targets(self, records: Sequence[KeyedRecord]) -> None:
        """Apply newer announcements and withdrawals of targets."""
        self._note_outages()
        newest = {record.key: record for record in records}
        for record in newest.values():
            if record.value is None:
                is_gone = self.inventory.withdraw(record.key, boot_time())
                self.log('target_gone', target=record.key, is_kept=not is_gone)
        for announcement in self._decode(newest.values()):
            known = self.inventory.targets.get(announcement.name)
            before = None if known is None else known.announcement.state
            self.inventory.announce(announcement, boot_time())
            if before is not announcement.state:
                self.log(
                    'target_announced',
                    target=announcement.name,
                    state=announcement.state.value,
                    service=announcement.service,
                )

    def _log_cold(self, change: ColdChange) -> None:
        if change.left_s:
            self.log('target_cold', target=change.target, for_s=change.left_s)
        else:
            self.log('target_warm', target=change.target)

    def _check_cold(self, announcement: Announcement) -> None:
        incarnation = (announcement.name, announcement.born)
        is_odd = not announcement.is_cold_sound
        if is_odd and self.inventory.cold.note_odd(incarnation):
            self.log(
                'cold_left_odd',
                target=announcement.name,
                taken_s=announcement.cold_left_s,
            )

    def _note_outages(self) -> None:
        reach = self.targets.state.reach
        self.inventory.store_recovered_at = reach.recovered_at
        self.inventory.proven_at = reach.proven_at

    def _is_other_announcement(self, before: bytes, after: bytes) -> bool:
        """Return whether a target announces more than that it lives."""
        if before == after:
            return False
        decode = self.translators.decode_announcement
        try:
            return decode('target', before) != decode('target', after)
        except EbonywellError:
            # The hosts that apply the record log what is wrong with it.
            return True

    def _adopt(self, record: KeyedRecord, body: bytes) -> None:
        try:
            found = self.translators.decode_configuration(body)
        except Exception as error:
            # The feed has to continue, whoever wrote the record.
            self.log(
                'configuration_unreadable',
                offset=record.offset,
                why=repr(error),
            )
            return
        if self.intake.adopt(found):
            self.log(
                'configuration_applied',
                version=found.version,
                offset=record.offset,
                routes=sum(len(one) for one in found.routes.values()),
            )

    def _decode(
        self,
        records: Iterable[KeyedRecord],
    ) -> Iterator[Announcement]:
        decode = self.translators.decode_announcement
        for record in records:
            if record.value is None:
                continue
            try:
                found = decode(record.key, record.value)
            except Exception as error:
                # One unreadable record must not block all others.
                self.log(
                    'target_unreadable',
                    offset=record.offset,
                    why=repr(error),
                )
            else:
                self._check_cold(found)
                yield found


def make_relay(
    feeds: HostFeeds,
    fleet: FleetView,
    network: Network,
    log: Logger,
    rng: random.Random,
) -> FeedRelay:
    """Return the relay through which a host shares its feeds with others."""
    relay = FeedRelay(fleet, network, log, rng)
    feeds.share(relay)
    return relay


def _is_news(before: bytes, after: bytes) -> bool:
    """Return whether a record of the operator is news, which all of them are.

    A record that is deleted and written again alike would otherwise not reach a
    host that has seen the deletion, if the reader that it asks has not.
    """
    return True
