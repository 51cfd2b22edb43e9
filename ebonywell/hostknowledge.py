"""State of a host that its services share."""

import itertools
import random
from collections.abc import Collection

from .clock import boot_time
from .digests import LoadShare
from .evacuation.cold import ColdSpec, ColdTargets
from .evacuation.zones import Evacuations
from .fleetview import FleetView
from .health import HealthTracker
from .hostsettings import HostSettings
from .intake import Intake
from .inventory import Inventory, KnownTarget
from .loadboard import LoadBoard
from .modeldemand import HostDemand
from .pace.sharing import SharedObservations
from .routetable import EngineSpec
from .sharedlimits import SharedLimits


class Knowledge:
    """State of a host that its services share.

    Attributes
    ----------
    intake : Intake
        Configuration in force.
    inventory : Inventory
        Targets.
    board : LoadBoard
        Loads of the targets.
    health : HealthTracker
    demand : HostDemand
        Models and adapters that this host's callers request.
    fleet : FleetView
        Other hosts.
    limits : SharedLimits
    observations : SharedObservations
        What the hosts learned of the targets' paces.
    """

    def __init__(self, settings: HostSettings, rng: random.Random) -> None:
        self.intake = Intake(rng, settings.bounds.revoke_s)
        self.inventory = Inventory(
            evacuations=Evacuations(settings.bounds.evacuation),
            cold=ColdTargets(self.cold_spec_of, settings.bounds.cold),
        )
        self.board = LoadBoard()
        self.health = HealthTracker()
        self.demand = HostDemand(load_s_of=self.load_s_of)
        self.fleet = FleetView(settings.name, self.board, settings.zone)
        self.limits = SharedLimits(settings.bounds.quota_window_s, self.fleet)
        self.limits.restart.note_start(boot_time())
        self.fleet.note_restart = self.limits.note_restart
        self.observations = SharedObservations()
        self.fleet.receive_observations = self.observations.receive

    def retain(self, targets: Collection[KnownTarget], now: float) -> None:
        """Forget what is known of all targets except these."""
        self.health.retain(one.name for one in targets)
        borns = {one.name: one.announcement.born for one in targets}
        self.observations.retain(borns, self.fleet.peers, now)

    def engine_of(self, service: str) -> EngineSpec | None:
        """Return a service's engine settings, None if it has no engines."""
        configuration = self.intake.configuration
        if configuration is None:
            return None
        return configuration.engines.get(service)

    def load_s_of(self, service: str, model: str) -> float:
        """Return how long a load of a model takes, 0 if it is not listed."""
        engine = self.engine_of(service)
        if engine is None or model not in engine.models:
            return 0
        return engine.models[model].load_s

    def cold_spec_of(self, service: str) -> ColdSpec | None:
        """Return how a service's targets start, None if they take any rate."""
        configuration = self.intake.configuration
        if configuration is None:
            return None
        found = configuration.services.get(service)
        return None if found is None else found.cold

    def list_resumable_services(self) -> dict[str, float]:
        """Return the services of routes whose streams may be resumed.

        Returns
        -------
        dict of str to float
            The longest duration of such a stream, by service.
        """
        configuration = self.intake.configuration
        if configuration is None:
            return {}
        routes = itertools.chain.from_iterable(
            by_prefix.values() for by_prefix in configuration.routes.values()
        )
        longest_s: dict[str, float] = {}
        for route in routes:
            if not route.is_resumable:
                continue
            for one in route.services:
                known_s = longest_s.get(one.service, 0)
                longest_s[one.service] = max(known_s, route.timeout_s)
        return longest_s

    def own_loads(self) -> tuple[LoadShare, ...]:
        """Return this host's load on each target, for its digest."""
        return tuple(
            LoadShare(
                target,
                dict(load.waiting_tokens),
                load.waiting,
                load.running,
                load.held_tokens,
            )
            for target, load in self.board.own.items()
        )
