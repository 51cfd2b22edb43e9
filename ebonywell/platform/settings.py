"""Reads the settings file that the platform writes for a process."""

import os
from collections.abc import Iterator, Mapping
from typing import Annotated, Any, Literal, NamedTuple

import msgspec
import yaml

from ..evacuation.cold import ColdBounds
from ..evacuation.zones import EvacuationBounds
from ..exceptions import SettingsError
from ..hostsettings import Bounds, HostSettings, LogSettings
from ..loadpace import LoadWindow
from ..structcheck import find_faults

FILE_VARIABLE = 'EBONYWELL_NODE_FILE'
# A million gigabytes; a larger value can only be a mistake.
MAX_MEMORY_MB = 1e9
_MS = 0.001
_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


class _Listen(msgspec.Struct, rename='camel'):
    front: str = ''
    ready: str = ''
    directory: str = ''


class _Bounds(msgspec.Struct, rename='camel'):
    revoke_ms: float = 5000
    grace_s: float = 8
    lease_ms: float = 3000
    require_fence: bool = False
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 0
    quota_window_s: float = 8
    # Loads that may begin in a window, relative to the weight store's stated
    # rate.
    ceiling_overshoot: float = 1.1
    ceiling_window_s: float = 5
    evacuate_ms: Annotated[float, msgspec.Meta(ge=0)] = 5000
    # Time within which hosts see new records of the operator's topic.
    config_ms: Annotated[float, msgspec.Meta(ge=0)] = 3000
    # Requests that a cold target survives in a second: a multiple of the rate
    # of its service, and more.
    cold_overshoot: Annotated[float, msgspec.Meta(ge=0)] = 1.5
    cold_slack: Annotated[float, msgspec.Meta(ge=0)] = 5
    # The platform writes this key in snake case, unlike all others.
    ttl_max_s: float = msgspec.field(default=5, name='ttl_max_s')


class _Platform(msgspec.Struct, rename='camel'):
    address: str = ''


class _Limits(msgspec.Struct, rename='camel'):
    memory_mb: Annotated[float, msgspec.Meta(ge=0, le=MAX_MEMORY_MB)] = 0
    max_fds: Annotated[int, msgspec.Meta(ge=0)] = 0


class _File(msgspec.Struct, rename='camel'):
    node: str
    ip: str
    zone: str
    region: str = ''
    listen: _Listen = msgspec.field(default_factory=_Listen)
    port_range: tuple[int, int] = (7600, 7615)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    platform: _Platform = msgspec.field(default_factory=_Platform)


class _Log(msgspec.Struct):
    level: Literal['info', 'warning'] = 'info'
    lines_per_s: Annotated[int, msgspec.Meta(ge=1)] = 100


def find_file(environment: Mapping[str, str] = os.environ) -> str:
    """Return the path of the settings file.

    Raises
    ------
    SettingsError
        If the environment variable is not set.
    """
    path = environment.get(FILE_VARIABLE, '')
    if not path:
        raise SettingsError(f'{FILE_VARIABLE} is not set')
    return path


def read_settings(path: str) -> HostSettings:
    """Read and validate the settings file at `path`.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a field is missing or of a wrong type.
    """
    try:
        with open(path, encoding='utf-8') as opened:
            text = opened.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: {error}') from error
    return parse_settings(text, path)


def parse_settings(text: str, path: str) -> HostSettings:
    """Parse and validate the text of a settings file; see `read_settings`."""
    faults = check_settings(text)
    if faults:
        listed = '; '.join(faults)
        raise SettingsError(f'{path}: {listed}')
    split = _split(yaml.load(text, Loader=_LOADER))
    return _translate(
        msgspec.convert(split.host, _File, strict=False),
        msgspec.convert(split.log, _Log, strict=False),
    )


def check_settings(text: str) -> list[str]:
    """Return all faults of a settings file, each with the path of its key."""
    try:
        split = _split(yaml.load(text, Loader=_LOADER))
    except Exception as error:
        # PyYAML does not wrap exceptions of its type converters: an impossible
        # date raises a plain ValueError.
        return [' '.join(str(error).split()) or repr(error)]
    faults = [
        *find_faults(split.host, _File, split.place),
        *find_faults(split.log, _Log, 'log'),
    ]
    if not faults:
        faults.extend(_find_missing(split))
    return faults


class _SplitSettings(NamedTuple):
    """The platform's part of a settings file and this project's part.

    Attributes
    ----------
    host : object
        The platform's part.
    log : object
        This project's part.
    place : str
        Key of the platform's part; empty if it is the whole file.
    """

    host: Any
    log: Any
    place: str


def _split(found: Any) -> _SplitSettings:
    """Split the content of a file into its two parts.

    A file that was not made from this project's template has no key "host";
    all of it is the platform's part.
    """
    if isinstance(found, Mapping) and 'host' in found:
        return _SplitSettings(found['host'], found.get('log', {}), 'host')
    return _SplitSettings(found, {}, '')


def _find_missing(split: _SplitSettings) -> Iterator[str]:
    found = msgspec.convert(split.host, _File, strict=False)
    place = f'{split.place}.' if split.place else ''
    for name in ('front', 'ready', 'directory'):
        if not getattr(found.listen, name):
            yield f'{place}listen.{name}: is missing'
    if not found.platform.address:
        yield f'{place}platform.address: is missing'


def _translate(found: _File, log: _Log) -> HostSettings:
    return HostSettings(
        name=found.node,
        ip=found.ip,
        zone=found.zone,
        region=found.region,
        caller_address=found.listen.front,
        ready_address=found.listen.ready,
        directory_address=found.listen.directory,
        first_internal_port=found.port_range[0],
        memory_bytes=int(found.limits.memory_mb) * 1024 * 1024,
        store_address=found.platform.address,
        bounds=_translate_bounds(found.bounds),
        log=LogSettings(log.level == 'warning', log.lines_per_s),
        max_descriptors=found.limits.max_fds,
    )


def _translate_bounds(found: _Bounds) -> Bounds:
    return Bounds(
        revoke_s=found.revoke_ms * _MS,
        grace_s=found.grace_s,
        lease_s=found.lease_ms * _MS,
        requires_fencing=found.require_fence,
        retry_ratio=found.retry_budget_ratio,
        retry_window_s=found.budget_window_s,
        retry_slack=found.budget_slack,
        quota_window_s=found.quota_window_s,
        max_directory_ttl_s=found.ttl_max_s,
        load_window=LoadWindow(found.ceiling_window_s, found.ceiling_overshoot),
        evacuation=EvacuationBounds(
            found.evacuate_ms * _MS, found.config_ms * _MS
        ),
        cold=ColdBounds(found.cold_overshoot, found.cold_slack),
    )
