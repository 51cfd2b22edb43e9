"""Checks the deploy file, which tells the platform what to build and run."""

import tomllib
from collections.abc import Iterator
from typing import Annotated, Literal

import msgspec

from ..structcheck import find_faults

_Served = Literal['edge', 'control', 'directory']


class _Role(msgspec.Struct):
    run: Annotated[str, msgspec.Meta(min_length=1)]
    # The machine class.
    on: Annotated[str, msgspec.Meta(min_length=1)]
    # Fraction of each zone's machines that run the role.
    share: Annotated[float, msgspec.Meta(gt=0, le=1)] | None = None
    count: Annotated[int, msgspec.Meta(ge=1)] | None = None
    serves: tuple[_Served, ...] = ()
    metrics: Annotated[str, msgspec.Meta(pattern=r'^\d+/.+')] | None = None
    template: str = ''
    env: dict[str, str] = {}


class _File(msgspec.Struct):
    build: str
    roles: dict[str, _Role]


def check_deploy(text: str) -> list[str]:
    """Return all faults of a deploy file, each with the path of its key."""
    try:
        found = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return [str(error)]
    roles = found.get('roles')
    if not isinstance(roles, dict) or not roles:
        return ['roles: is missing']
    faults = [] if 'build' in found else ['build: is missing']
    for name, role in roles.items():
        faults.extend(find_faults(role, _Role, f'roles.{name}'))
    if not faults:
        faults.extend(_find_role_faults(msgspec.convert(found, _File)))
    return faults


def _find_role_faults(found: _File) -> Iterator[str]:
    for name, role in found.roles.items():
        if role.share is not None and role.count is not None:
            yield f'roles.{name}: share and count exclude each other'
    served = {each.serves for each in found.roles.values()}
    for needed in ('edge', 'directory'):
        if not any(needed in services for services in served):
            yield f'roles: no role serves {needed}'
