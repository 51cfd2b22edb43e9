"""The settings file that the platform writes for a process."""

import os
from collections.abc import Mapping
from typing import Any

import msgspec
import yaml

from ..exceptions import SettingsError
from ..hostsettings import Bounds, HostSettings, StoreLimits

FILE_VARIABLE = 'EBONYWELL_NODE_FILE'
_MS = 0.001
_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


class _Listen(msgspec.Struct):
    front: str = ''
    ready: str = ''
    directory: str = ''


class _Bounds(msgspec.Struct):
    drainMs: float = 2000
    configMs: float = 2000
    revokeMs: float = 5000
    graceS: float = 8
    leaseMs: float = 3000
    requireFence: bool = False
    retryBudgetRatio: float = 0.2
    budgetWindowS: float = 10
    budgetSlack: float = 0
    quotaWindowS: float = 8
    quotaOvershoot: float = 0
    quotaSlack: float = 0
    ceilingWindowS: float = 5
    ceilingOvershoot: float = 1
    # Named in snake case on the platform, unlike all others.
    ttl_max_s: float = 5


class _Platform(msgspec.Struct):
    address: str = ''


class _Limits(msgspec.Struct):
    memoryMb: float = 0


class _File(msgspec.Struct):
    node: str
    ip: str
    zone: str
    region: str = ''
    listen: _Listen = msgspec.field(default_factory=_Listen)
    portRange: tuple[int, int] = (7600, 7615)
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
    return yaml.load(text, Loader=_LOADER)  # noqa: S506


def _translate(found: _File) -> HostSettings:
    return HostSettings(
        name=found.node,
        ip=found.ip,
        zone=found.zone,
        region=found.region,
        caller_address=found.listen.front,
        ready_address=found.listen.ready,
        directory_address=found.listen.directory,
        first_inner_port=found.portRange[0],
        memory_bytes=int(found.limits.memoryMb) * 1024 * 1024,
        store=StoreLimits(found.platform.address),
        bounds=_translate_bounds(found.bounds),
    )


def _translate_bounds(found: _Bounds) -> Bounds:
    return Bounds(
        drain_s=found.drainMs * _MS,
        config_s=found.configMs * _MS,
        revoke_s=found.revokeMs * _MS,
        grace_s=found.graceS,
        lease_s=found.leaseMs * _MS,
        is_fenced=found.requireFence,
        retry_ratio=found.retryBudgetRatio,
        retry_window_s=found.budgetWindowS,
        retry_slack=found.budgetSlack,
        quota_window_s=found.quotaWindowS,
        quota_overshoot=found.quotaOvershoot,
        quota_slack=found.quotaSlack,
        load_window_s=found.ceilingWindowS,
        load_overshoot=found.ceilingOvershoot,
        max_directory_ttl_s=found.ttl_max_s,
    )
