"""Settings of a host and the bounds of its deployment."""

from dataclasses import dataclass

from .evacuation.cold import ColdBounds
from .evacuation.zones import EvacuationBounds
from .loadpace import LoadWindow


@dataclass(slots=True, frozen=True)
class Bounds:
    """Time limits and rates that a deployment must keep.

    Attributes
    ----------
    revoke_s : float
        Time within which a withdrawn key stops working on all hosts.
    grace_s : float
        Time between the stop signal and the kill of the process.
    lease_s : float
        Minimum time between the orders of two successive lease holders.
    requires_fencing : bool
        Whether targets reject orders with an older fencing number.
    retry_ratio : float
        Maximum ratio of retries to requests in a window.
    retry_slack : float
        Retries that are allowed in a window beyond that ratio.
    retry_window_s : float
    quota_window_s : float
        Window over which the usage of limits is counted.
    max_directory_ttl_s : float
        Maximum time for which callers may cache a directory answer.
    load_window : LoadWindow
        Window over which loads from the weight store are counted.
    evacuation : EvacuationBounds
        Times within which the evacuation of a zone must be in force.
    cold : ColdBounds
        Requests that a cold target survives in a second.
    """

    revoke_s: float = 5
    grace_s: float = 8
    lease_s: float = 3
    requires_fencing: bool = False
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 0
    quota_window_s: float = 8
    max_directory_ttl_s: float = 5
    load_window: LoadWindow = LoadWindow()
    evacuation: EvacuationBounds = EvacuationBounds()
    cold: ColdBounds = ColdBounds()


@dataclass(slots=True, frozen=True)
class LogSettings:
    """Verbosity of a process's log.

    Attributes
    ----------
    is_brief : bool
        Whether only problems are logged.
    lines_per_s : int
        Maximum number of lines per second for each kind of event.
    """

    is_brief: bool = False
    lines_per_s: int = 100


@dataclass(slots=True, frozen=True, kw_only=True)
class HostSettings:
    """Settings of one host.

    Attributes
    ----------
    name : str
    ip, zone, region : str
    caller_address, ready_address, directory_address : str
        The ip:port for callers' requests, for readiness checks and for
        directory look-ups.
    first_internal_port : int
        The first port of the range for traffic between hosts.
    memory_bytes : int
        Memory limit above which the process is killed, 0 if unknown.
    max_descriptors : int
        Limit on open files and sockets, 0 if unknown.
    store_address : str
        The ip:port of the shared store.
    bounds : Bounds
    log : LogSettings
        The only setting that a reload changes.
    """

    name: str
    ip: str
    zone: str
    region: str
    caller_address: str
    ready_address: str
    directory_address: str
    first_internal_port: int
    memory_bytes: int
    store_address: str
    bounds: Bounds
    log: LogSettings = LogSettings()
    max_descriptors: int = 0
