"""Creates and connects the parts that load models and adapters."""

from dataclasses import dataclass

from .adapterloads import AdapterLoads
from .fleetdemand import FleetDemand
from .gossip import Gossip
from .holderlink import HolderLink
from .hostknowledge import Knowledge
from .hostsettings import HostSettings
from .leadership import Leadership
from .loadrequests import LoadRequests
from .logs import Logger
from .ordering import OrderSender
from .provisioning import Provisioner
from .targetlimits import TargetLimits
from .translators import Translators


@dataclass(slots=True, frozen=True)
class ModelServices:
    """The parts of a host that request and load models and adapters.

    Attributes
    ----------
    load_requests : LoadRequests
        Requests what this host's callers need.
    link : HolderLink
        Exchanges load requests and notifications with other hosts.
    provisioner : Provisioner
        Sends orders to engines if this host holds the lease.
    """

    load_requests: LoadRequests
    link: HolderLink
    provisioner: Provisioner


def make_model_services(
    settings: HostSettings,
    known: Knowledge,
    leadership: Leadership,
    gossip: Gossip,
    limits: TargetLimits,
    translators: Translators,
    log: Logger,
) -> ModelServices:
    """Return the model services of one host, connected to each other."""
    order_sender = OrderSender(
        settings.name,
        leadership,
        translators.engines,
        limits,
        log,
        evacuations=known.inventory.evacuations,
    )
    demand = FleetDemand(known.demand, known.board, known.fleet)
    adapters = AdapterLoads(
        known.inventory,
        known.board,
        order_sender,
        demand,
        known.engine_of,
    )
    provisioner = Provisioner(
        known.inventory,
        order_sender,
        adapters,
        lambda: known.intake.configuration,
        log,
        settings.bounds.load_window,
        known.observations.paces,
    )
    link = HolderLink(
        settings.name,
        gossip,
        known.fleet,
        known.inventory,
        leadership,
        demand,
        provisioner.request_load,
        provisioner.list_loading,
    )
    provisioner.link = link
    adapters.link = link
    load_requests = LoadRequests(
        known.inventory,
        link.has_holder,
        link.request_load,
        link.is_loading,
        link.load_left_s,
        known.engine_of,
    )
    return ModelServices(load_requests, link, provisioner)
