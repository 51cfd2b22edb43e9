"""The settings file that the platform writes for a process."""

import os
from collections.abc import Mapping
from typing import Any

import msgspec
import yaml

from ..exceptions import SettingsError
from ..hostsettings import Bounds, HostSettings

FILE_VARIABLE = 'EBONYWELL_NODE_FILE'
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
    # Named in snake case on the platform, unlike all others.
    ttl_max_s: float = msgspec.field(default=5, name='ttl_max_s')


class _Platform(msgspec.Struct, rename='camel'):
    address: str = ''


class _Limits(msgspec.Struct, rename='camel'):
    memory_mb: float = 0


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


def find_file(environment: Mapping[str, str] = os.environ) -> str:
    """Return the path of the settings file.

    Raises
    ------
    SettingsError
        If the environment does not name it.
    """
    path = environment.get(FILE_VARIABLE, '')
    if not path:
        raise SettingsError(f'{FILE_VARIABLE} is not set')
    return path


def read_settings(path: str) -> HostSettings:
    """Return the checked settings of the file at `path`.

    Raises
    ------
    SettingsError
        If it cannot be read, or a field is missing or of another type.
    """
    try:
        with open(path, encoding='utf-8') as opened:
            text = opened.read()
    except OSError as error:
        raise SettingsError(f'{path}: {error}') from error
    return parse_settings(text, path)


def parse_settings(text: str, path: str) -> HostSettings:
    """Return the checked settings in a file's text; see `read_settings`."""
    try:
        found = msgspec.convert(_load(text), _File, strict=False)
    except (msgspec.ValidationError, yaml.YAMLError) as error:
        line = ' '.join(str(error).split())
        raise SettingsError(f'{path}: {line}') from error
    for name in ('front', 'ready', 'directory'):
        if not getattr(found.listen, name):
            raise SettingsError(f'{path}: listen.{name} is missing')
    if not found.platform.address:
        raise SettingsError(f'{path}: platform.address is missing')
    return _translate(found)


def _load(text: str) -> Any:
    return yaml.load(text, Loader=_LOADER)


def _translate(found: _File) -> HostSettings:
    return HostSettings(
        name=found.node,
        ip=found.ip,
        zone=found.zone,
        region=found.region,
        caller_address=found.listen.front,
        ready_address=found.listen.ready,
        directory_address=found.listen.directory,
        first_inner_port=found.port_range[0],
        memory_bytes=int(found.limits.memory_mb) * 1024 * 1024,
        store_address=found.platform.address,
        bounds=_translate_bounds(found.bounds),
    )


def _translate_bounds(found: _Bounds) -> Bounds:
    return Bounds(
        revoke_s=found.revoke_ms * _MS,
        grace_s=found.grace_s,
        lease_s=found.lease_ms * _MS,
        is_fenced=found.require_fence,
        retry_ratio=found.retry_budget_ratio,
        retry_window_s=found.budget_window_s,
        retry_slack=found.budget_slack,
        quota_window_s=found.quota_window_s,
        max_directory_ttl_s=found.ttl_max_s,
    )
