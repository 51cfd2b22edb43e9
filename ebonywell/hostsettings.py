"""What a host is told about itself and the bounds that it must keep."""

from dataclasses import dataclass

from .loadpace import LoadWindow


@dataclass(slots=True, frozen=True)
class Bounds:
    """The bounds of one deployment.

    Attributes
    ----------
    revoke_s : float
        Until a withdrawn key no longer works, on any host.
    grace_s : float
        Between the signal to stop and the kill.
    lease_s : float
        Two holders that give orders are this far apart.
    requires_fencing : bool
        Whether targets refuse orders with an older fencing token.
    retry_ratio, retry_slack : float
        Retries in a window, by the requests in it, and on top.
    retry_window_s : float
    quota_window_s : float
        Over how long limits are counted.
    max_directory_ttl_s : float
        The longest that a directory's answer may be kept.
    load_window : LoadWindow
        Over what loads from the weight store are counted.
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


@dataclass(slots=True, frozen=True)
class LogSettings:
    """How much a process logs.

    Attributes
    ----------
    is_brief : bool
        Whether only what went wrong is written.
    lines_per_s : int
        Of one event.
    """

    is_brief: bool = False
    lines_per_s: int = 100


@dataclass(slots=True, frozen=True, kw_only=True)
class HostSettings:
    """One host's settings.

    Attributes
    ----------
    name : str
    ip, zone, region : str
    caller_address, ready_address, directory_address : str
        The ip:port for callers' requests, for readiness checks and for
        questions about addresses.
    first_internal_port : int
        The first of the ports that are free for traffic between hosts.
    memory_bytes : int
        The process is killed above that.
    store_address : str
        The ip:port of the shared store.
    bounds : Bounds
    log : LogSettings
        A reload changes it.
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
