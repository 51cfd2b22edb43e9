"""Describes a deployment and builds the arguments of its processes."""

from dataclasses import dataclass, field
from pathlib import Path

from .ports import allocate_address

ENGINE_MEMORY_BYTES = 16_000_000_000
SAMPLE_CATALOGUE = Path(__file__).with_name('sample.toml')


@dataclass(slots=True, kw_only=True)
class Shape:
    """Processes and settings of a deployment.

    Attributes
    ----------
    entries : int
        The number of entry processes.
    zones : tuple of str
        Availability zones. Hosts and targets are assigned round-robin.
    engines : tuple of str
        Names of the engines.
    services : tuple of str
        Names of the targets that are plain services.
    hosts_ttl_s : float
        How long callers may cache the answer to ``GET /v1/hosts``, in
        seconds.
    token_ms : float
        The time between two tokens of an engine's answer, in milliseconds.
    entry_flags : tuple of str
        Additional arguments of every entry process.
    log_flags : tuple of str
        Additional arguments of the log service.
    """

    entries: int = 3
    zones: tuple[str, ...] = ('zone-a', 'zone-b', 'zone-c')
    engines: tuple[str, ...] = ('engine-1', 'engine-2')
    services: tuple[str, ...] = (
        'orders-1',
        'orders-2',
        'stock-1',
        'stock-2',
        'notices-1',
    )
    hosts_ttl_s: float = 2
    token_ms: float = 10
    entry_flags: tuple[str, ...] = ()
    log_flags: tuple[str, ...] = ()

    def zone(self, index: int) -> str:
        """Return the availability zone of the host or target at an index."""
        return self.zones[index % len(self.zones)]


@dataclass(slots=True, frozen=True)
class EntryAddresses:
    """Addresses that an entry process listens on, each as ip:port."""

    listen: str = field(default_factory=allocate_address)
    peer_listen: str = field(default_factory=allocate_address)


@dataclass(slots=True)
class PlatformUrls:
    """URLs of the platform's services."""

    log_url: str
    hosts_url: str
    weights_url: str


def entry_arguments(
    shape: Shape,
    platform: PlatformUrls,
    name: str,
    addresses: EntryAddresses,
) -> list[str]:
    """Return the arguments of the entry process called `name`."""
    number = int(name.rpartition('-')[2])
    return [
        'ebonywell',
        'entry',
        f'--host-id={name}',
        f'--zone={shape.zone(number - 1)}',
        f'--listen={addresses.listen}',
        f'--peer-listen={addresses.peer_listen}',
        f'--log-url={platform.log_url}',
        f'--host-list-url={platform.hosts_url}',
        f'--hosts-ttl-s={shape.hosts_ttl_s}',
        *shape.entry_flags,
    ]


def engine_arguments(
    shape: Shape,
    platform: PlatformUrls,
    name: str,
) -> list[str]:
    """Return the arguments of the stand-in for an engine."""
    return [
        'lab.standin_engine',
        f'--name={name}',
        f'--zone={shape.zone(shape.engines.index(name))}',
        f'--host-list-url={platform.hosts_url}',
        f'--weights-url={platform.weights_url}',
        f'--memory-bytes={ENGINE_MEMORY_BYTES}',
        f'--token-ms={shape.token_ms}',
    ]


def service_arguments(
    shape: Shape,
    platform: PlatformUrls,
    name: str,
) -> list[str]:
    """Return the arguments of the stand-in for a plain service."""
    return [
        'lab.standin_service',
        f'--name={name}',
        f'--zone={shape.zone(shape.services.index(name))}',
        f'--host-list-url={platform.hosts_url}',
    ]


def log_arguments(shape: Shape) -> list[str]:
    """Return the arguments of the stand-in for the log service."""
    return ['lab.standin_log', *shape.log_flags]
