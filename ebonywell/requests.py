"""Assembles the services that process requests."""

import random
from collections.abc import Iterator

import anyio

from .admission import Admission
from .backgroundappender import BackgroundAppender
from .callattempts import CallAttempts
from .calls import Calls
from .changes import CatalogueRecord
from .dispatch import Dispatcher
from .fleet import Fleet
from .kernel import Service
from .lives import is_alive, knows_all
from .logs import Logger
from .oncecalls import OnceCalls
from .quarantine import Quarantine
from .records import Record
from .replica import Replica
from .targets import Targets
from .targetselector import TargetSelector

MIN_WEIGHT = 0.001


class Requests:
    """The request-processing services of one process.

    Attributes
    ----------
    settler : BackgroundAppender
    selector : TargetSelector
    admission : Admission
    quarantine : Quarantine
    once : OnceCalls
    calls : Calls
    """

    def __init__(
        self,
        replica: Replica,
        targets: Targets,
        fleet: Fleet,
        life: str,
        zone: str,
        log: Logger,
    ) -> None:
        self.replica = replica
        self.targets = targets
        self.fleet = fleet
        self.life = life
        rng = random.Random()
        self.settler = BackgroundAppender(replica.append)
        self.selector = TargetSelector(
            targets.table, zone, anyio.current_time, rng
        )
        self.quarantine = Quarantine(
            replica,
            life,
            self.settler.enqueue,
            self.is_alive,
            targets.probe,
            log,
        )
        self.admission = Admission(
            self.selector,
            self.weight_of,
            self.quarantine.trial_targets,
            anyio.current_time,
            log,
        )
        self.once = OnceCalls(
            replica,
            life,
            self.is_alive,
            self.is_current,
            self.settler.enqueue,
            log,
        )
        attempts = CallAttempts(
            Dispatcher(),
            self.admission.slot,
            self.selector.observe,
            self.quarantine,
            log,
            rng,
        )
        self.calls = Calls(attempts, self.once, fleet.reserve, log)
        replica.watchers.append(self._cut_withdrawn)
        replica.replacement_watchers.append(self._cut_unapproved)

    def services(self) -> Iterator[tuple[str, Service]]:
        """Yield the services with their names, in start order."""
        yield 'settler', self.settler
        yield 'quarantine', self.quarantine
        yield 'admission', self.admission
        yield 'calls', self.calls

    def weight_of(self, workspace: str) -> float:
        """Return a workspace's weight in fair queueing."""
        known = self.replica.state.catalogue.workspaces.get(workspace)
        return 1 if known is None else max(known.weight, MIN_WEIGHT)

    def is_alive(self, life: str) -> bool:
        """Return whether a host, by name and incarnation, is known alive."""
        fresh = self.fleet.membership.fresh
        return is_alive(fresh, self.life, life, anyio.current_time())

    def is_current(self, since: float) -> bool:
        """Return whether this host knows all claims made before a time."""
        state = self.replica.state
        return knows_all(
            self.fleet.membership.fresh,
            self.life,
            state.registry.members.values(),
            state.applied,
            since,
        )

    def _cut_withdrawn(self, _: int, record: Record, counted: bool) -> None:
        if counted and isinstance(record.body, CatalogueRecord):
            self._cut_unapproved()

    def _cut_unapproved(self) -> None:
        self.calls.cut_unapproved(self.replica.state.catalogue)
