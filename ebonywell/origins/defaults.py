"""Default releases: where streams began of which there is no record."""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

import anyio

from ..clock import boot_time
from ..exceptions import ConflictError, LogServiceError
from ..fleetview import FleetView
from ..inventory import Inventory
from ..logs import Logger
from ..releases import DISCOVERY_LAG_S, ReleaseHistory, choose_default
from ..streamrecords import (
    COMPLETE_ERA_KEY,
    STREAM_LIFE_KEY,
    RecordedDefaults,
    StreamRecords,
)
from .granted import (
    RETURN_S,
    GrantedLives,
    LifeStatement,
    Witness,
    choose_statement,
)

CHECK_PERIOD_S = 1.0
# Interval between reads of the default releases while one is not known.
REREAD_PERIOD_S = 5.0


@dataclass(slots=True)
class DefaultReleases:
    """The default release of each service, and whether it can be trusted.

    Attributes
    ----------
    records : StreamRecords
    fleet : FleetView
    inventory : Inventory
    list_services : callable
        Returns the services of routes whose streams may be resumed, and the
        longest duration of such a stream in seconds.
    history : ReleaseHistory
    watched_since : float
        Since when the history has no gap, by the clock of this process.
    proven_at : float
        When discovery last proved which targets there are.
    known : dict of str to str
        Default releases by service, as last read from the store.
    read_at : float
        When they were read.
    lives : GrantedLives
        For how long streams may be resumed.
    forgetful_at : float
        When this host last saw one that forgets streams while they run.
    era : int or None
        Era of the store, None while it is unknown.
    era_noted_at : float
        When this host learned of it.
    is_complete : bool
        Whether a stream without a record began at the default release.
    statement : LifeStatement or None
        The lease holder's, as last read from the store.
    """

    records: StreamRecords
    fleet: FleetView
    inventory: Inventory
    list_services: Callable[[], Mapping[str, float]]
    log: Logger
    history: ReleaseHistory = field(default_factory=ReleaseHistory)
    watched_since: float = math.inf
    proven_at: float = -math.inf
    known: dict[str, str] = field(default_factory=dict)
    read_at: float = -math.inf
    lives: GrantedLives = field(default_factory=GrantedLives)
    forgetful_at: float = -math.inf
    era: int | None = None
    era_noted_at: float = -math.inf
    is_complete: bool = False
    statement: LifeStatement | None = None

    def note_era(self, era: int) -> bool:
        """Record an era of the store; return whether it has lost records."""
        is_rolled_back = self.era is not None
        self.era = era
        self.era_noted_at = boot_time()
        if is_rolled_back:
            self.is_complete = False
            self.read_at = -math.inf
        return is_rolled_back

    def note_targets(self, proven_at: float, now: float) -> None:
        """Record which releases serve, as discovery proved at a time."""
        if proven_at - self.proven_at > DISCOVERY_LAG_S:
            self.watched_since = proven_at
        self.proven_at = proven_at
        targets = self.inventory.targets.values()
        self.history.note(
            {
                (one.announcement.service, one.announcement.release)
                for one in targets
            },
            proven_at,
        )
        self.history.expire(self.lives.longest_s, now)
        for service, release in list(self.known.items()):
            if not self.history.is_recent((service, release), now):
                self.known.pop(service)

    def is_default(self, service: str, release: str, now: float) -> bool:
        """Return whether a release is a service's default, and serves."""
        is_default = self.known.get(service) == release
        return is_default and self.history.is_recent((service, release), now)

    async def find(self, service: str) -> tuple[str | None, str]:
        """Return where a stream without a record began, and why it is known.

        Raises
        ------
        LogServiceError
            If the store does not answer.
        """
        found = await self.read()
        if not found.is_complete:
            return None, 'incomplete'
        if not self.is_complete:
            return None, 'forgotten'
        default = found.releases.get(service)
        return default, 'none' if default is None else 'default'

    async def maintain(self, is_holder: Callable[[], bool]) -> None:
        """Keep the default releases known, and as the lease holder, current."""
        while True:
            await anyio.sleep(CHECK_PERIOD_S)
            self._note_lives(boot_time())
            try:
                await self._update(is_holder=is_holder())
            except ConflictError as error:
                self.log('default_release_conflict', why=str(error))
            except LogServiceError as error:
                self.log('default_releases_unread', why=str(error))

    async def read(self) -> RecordedDefaults:
        """Read the default releases from the store.

        Raises
        ------
        LogServiceError
            If the store does not answer, or answers for an era that is over.
        """
        asked_at = boot_time()
        self._note_lives(asked_at)
        found = await self.records.read_defaults()
        if found.era < (self.era or 0):
            raise LogServiceError(f'answer of era {found.era}')
        self.read_at = asked_at
        if found.statement is not None and found.statement != self.statement:
            # The operator may have shortened time-outs before this host began.
            self.lives.note(found.statement.longest_s, asked_at)
        self.statement = found.statement
        is_remembered = self._is_all_remembered(asked_at)
        self.is_complete = found.is_complete and is_remembered
        self.known = {
            service: release
            for service, release in found.releases.items()
            if self.history.is_recent((service, release), asked_at)
        }
        return found

    async def _update(self, *, is_holder: bool) -> None:
        now = boot_time()
        services = set(self.list_services())
        unknown = {
            service
            for service in services - self.known.keys()
            if self.history.list_current(service, now)
        }
        period_s = CHECK_PERIOD_S if is_holder else REREAD_PERIOD_S
        is_needed = unknown or (services and not self.is_complete)
        is_due = is_holder and self._choose_statement(now) is not None
        if not (is_needed or is_due) or now - self.read_at < period_s:
            return
        found = await self.read()
        if is_holder:
            found = await self._maintain_statement(found)
            await self._maintain_records(found, unknown)

    async def _maintain_statement(
        self, found: RecordedDefaults
    ) -> RecordedDefaults:
        """Write the statement on lives if it is due, as the lease holder."""
        statement = self._choose_statement(
            boot_time(), is_first=not found.releases
        )
        if statement is None:
            return found
        await self.records.write_default(STREAM_LIFE_KEY, statement, found.end)
        self.log('stream_life_stated', statement=statement)
        return await self.read()

    async def _maintain_records(
        self, found: RecordedDefaults, unknown: Iterable[str]
    ) -> None:
        """Write what is due about default releases, as the lease holder."""
        now = boot_time()
        for service in unknown:
            chosen = choose_default(
                found.releases.get(service),
                self.history,
                service,
                now - self.watched_since,
                self.lives.longest_s,
                now,
            )
            if chosen is not None:
                await self.records.write_default(service, chosen, found.end)
                self.log('default_release', service=service, release=chosen)
                await self.read()
                return
        # By then, all streams of which records may be lost have ended.
        over_after_s = self.lives.longest_s + DISCOVERY_LAG_S
        is_over = now - self.era_noted_at >= over_after_s
        if is_over and not found.is_complete:
            era = str(self.era)
            await self.records.write_default(COMPLETE_ERA_KEY, era, found.end)
            self.log('origins_complete', era=era)
            await self.read()

    def _note_lives(self, now: float) -> None:
        """Record for how long streams are granted, and who forgets them."""
        services = self.list_services()
        if services:
            self.lives.note(max(services.values()), now)
        if not self.lives.outlasts_earlier_builds:
            return
        digests = self.fleet.recent_digests(now)
        if not all(one.remembers_granted for one in digests):
            self.forgetful_at = now

    def _is_all_remembered(self, now: float) -> bool:
        """Return whether no host can have forgotten a stream that runs."""
        if not self.lives.outlasts_earlier_builds:
            return True
        if now - self.forgetful_at < self.lives.longest_s + RETURN_S:
            return False
        return self.statement is not None and self.statement.era == self.era

    def _choose_statement(
        self, now: float, *, is_first: bool = False
    ) -> str | None:
        witness = Witness(self.watched_since, self.forgetful_at, is_first)
        era = self.era or 0
        return choose_statement(self.statement, self.lives, era, witness, now)
