"""Settings of an entry process, checked at its start."""

from dataclasses import dataclass
from typing import Annotated
from urllib.parse import urlsplit

from cyclopts import Parameter

from .exceptions import SettingsError
from .misc import split_address
from .moves import LOADS_PER_S

_MIB = 1024 * 1024
# Load time of a model of typical size.
TYPICAL_LOAD_S = 1.5
_POSITIVE = (
    'max_body_bytes',
    'deadline_s',
    'grace_s',
    'log_retention_s',
    'loads_per_s',
    'load_s',
)


@dataclass(slots=True, kw_only=True)
class Settings:
    """Settings of an entry process.

    Attributes
    ----------
    host_id : str
        Name of this entry host, unique in the fleet.
    zone : str
        Availability zone of this host.
    listen : str
        Address, as ip:port, on which this process serves callers and operators.
    peer_listen : str
        Address, as ip:port, on which this process serves its peers, the other
        entry processes.
    log_url : str
        URL of the platform's log service.
    host_list_url : str
        URL of the platform's host list.
    operator_token : str
        Token that operators must present. While it is empty, all operators are
        rejected.
    fleet_secret : str
        Shared secret with which the entry processes authenticate each other.
    max_body_bytes : int
        Largest request body that is accepted, in bytes.
    deadline_s : float
        Longest time that a call may take, in seconds.
    hosts_ttl_s : float
        How long callers may cache an answer of ``GET /v1/hosts``, in seconds.
    grace_s : float
        Longest time that a planned stop waits for running calls, in seconds.
    log_retention_s : float
        How long the log service keeps a record, in seconds.
    loads_per_s : float
        Number of loads that the weight store starts each second, over all
        engines.
    load_s : float
        Typical duration of a load, in seconds.
    allow_faults : bool
        Whether tests may cut this process's links.
    """

    host_id: str
    zone: str
    listen: str
    peer_listen: str
    log_url: str
    host_list_url: str
    operator_token: Annotated[str, Parameter(show_default=False)] = ''
    fleet_secret: Annotated[str, Parameter(show_default=False)] = ''
    max_body_bytes: int = 8 * _MIB
    deadline_s: float = 60
    hosts_ttl_s: float = 30
    grace_s: float = 120
    log_retention_s: float = 3600
    loads_per_s: float = LOADS_PER_S
    load_s: float = TYPICAL_LOAD_S
    allow_faults: bool = False


def check(settings: Settings) -> None:
    """Check the constraints that the types do not express.

    Raises
    ------
    SettingsError
        If a setting is invalid; the message names the setting.
    """
    for name in ('host_id', 'zone'):
        _check_name(name, getattr(settings, name))
    for name in ('listen', 'peer_listen'):
        _check_address(name, getattr(settings, name))
    for name in ('log_url', 'host_list_url'):
        _check_url(name, getattr(settings, name))
    for name in _POSITIVE:
        if getattr(settings, name) <= 0:
            raise SettingsError(f'{_flag(name)} must be greater than 0')
    if settings.hosts_ttl_s < 0:
        raise SettingsError('--hosts-ttl-s must not be less than 0')


def _flag(name: str) -> str:
    dashed = name.replace('_', '-')
    return f'--{dashed}'


def _check_name(name: str, text: str) -> None:
    plain = text.replace('-', '').replace('.', '')
    if not plain.isalnum():
        raise SettingsError(
            f'{_flag(name)}: {text!r} is not made of letters, digits, - and .',
        )


def _check_address(name: str, text: str) -> None:
    try:
        split_address(text)
    except SettingsError as error:
        raise SettingsError(f'{_flag(name)}: {error}') from error


def _check_url(name: str, text: str) -> None:
    parts = urlsplit(text)
    if parts.scheme not in {'http', 'https'} or not parts.netloc:
        raise SettingsError(f'{_flag(name)}: {text!r} is not an http URL')
    if parts.path not in {'', '/'}:
        raise SettingsError(f'{_flag(name)}: {text!r} must have no path')
