"""Puts together what brings models and adapters to the engines."""

from dataclasses import dataclass

from .adapterloads import AdapterLoads
from .fleetdemand import FleetDemand
from .gossip import Gossip
from .holderlink import HolderLink
from .hostknowledge import Knowledge
from .hostsettings import HostSettings
from .leadership import Leadership
from .logs import Logger
from .ordering import Ordering
from .provisioning import Provisioner
from .translators import Translators
from .wants import Wants


@dataclass(slots=True, frozen=True)
class ModelServices:
    """What asks for models and adapters, and what brings them.

    Attributes
    ----------
    wants : Wants
        Asks for what this host's callers miss.
    link : HolderLink
        Passes questions and answers between the hosts.
    provisioner : Provisioner
        Gives the orders where this host holds the lease.
    """

    wants: Wants
    link: HolderLink
    provisioner: Provisioner


def make_model_services(
    settings: HostSettings,
    known: Knowledge,
    leadership: Leadership,
    gossip: Gossip,
    translators: Translators,
    log: Logger,
) -> ModelServices:
    """Return the services of one host, linked with each other."""
    ordering = Ordering(settings.name, leadership, translators.engines, log)
    demand = FleetDemand(known.demand, known.board, known.fleet)
    adapters = AdapterLoads(
        known.inventory,
        known.board,
        ordering,
        demand,
        known.engine_of,
    )
    provisioner = Provisioner(
        known.inventory,
        ordering,
        adapters,
        lambda: known.intake.configuration,
        log,
        settings.bounds.load_window,
    )
    link = HolderLink(
        settings.name,
        gossip,
        known.fleet,
        known.inventory,
        leadership,
        demand,
        provisioner.want,
        provisioner.list_coming,
    )
    provisioner.link = link
    adapters.link = link
    gossip.take_message = link.take
    wants = Wants(
        known.inventory,
        link.has_holder,
        link.ask,
        link.is_coming,
    )
    return ModelServices(wants, link, provisioner)
