"""What a host knows, shared by its services."""

import random

from .digests import LoadShare
from .fleetview import FleetView
from .health import HealthTracker
from .hostsettings import HostSettings
from .intake import Intake
from .inventory import Inventory
from .loadboard import LoadBoard
from .modeldemand import HostDemand
from .routetable import EngineSpec
from .sharedlimits import SharedLimits


class Knowledge:
    """What a host knows, shared by its services.

    Attributes
    ----------
    intake : Intake
        The configuration in force.
    inventory : Inventory
        The targets.
    board : LoadBoard
        Their loads.
    health : HealthTracker
    demand : HostDemand
        What this host's callers ask for.
    fleet : FleetView
        The other hosts.
    limits : SharedLimits
    """

    def __init__(self, settings: HostSettings, rng: random.Random) -> None:
        self.intake = Intake(rng, settings.bounds.revoke_s)
        self.inventory = Inventory()
        self.board = LoadBoard()
        self.health = HealthTracker()
        self.demand = HostDemand()
        self.fleet = FleetView(settings.name, self.board)
        self.limits = SharedLimits(settings.bounds.quota_window_s, self.fleet)
        self.fleet.note_restart = self.limits.note_restart

    def engine_of(self, service: str) -> EngineSpec | None:
        """Return what a service's engines have in common, None if plain."""
        configuration = self.intake.configuration
        if configuration is None:
            return None
        return configuration.engines.get(service)

    def own_loads(self) -> tuple[LoadShare, ...]:
        """Return what this host has on the targets, for its digest."""
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
