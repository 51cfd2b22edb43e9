"""The entry hosts that share the limits, and their allocation epochs.

A life is one incarnation of a host, written ``name/incarnation``.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec


class HostRegistered(msgspec.Struct, frozen=True, tag='host_registered'):
    """Adds a host and replaces an earlier life of the same name.

    Attributes
    ----------
    name : str
    incarnation : str
    address : str
        Address (ip:port) on which the process listens for its peers.
    """

    name: str
    incarnation: str
    address: str


class HostLeft(msgspec.Struct, frozen=True, tag='host_left'):
    """Removes a host that has reported that it admits no more requests."""

    name: str
    incarnation: str


class HostExpelled(msgspec.Struct, frozen=True, tag='host_expelled'):
    """Removes a host whose heartbeats its peers no longer receive.

    Attributes
    ----------
    name : str
    incarnation : str
    confirmed : bool
        Whether an operator has confirmed that the process has ended.
    """

    name: str
    incarnation: str
    confirmed: bool = False


class EpochSettled(msgspec.Struct, frozen=True, tag='epoch_settled'):
    """Records that no host holds more than its share of an epoch.

    Attributes
    ----------
    epoch : int
        Offset of the record that began the epoch.
    """

    epoch: int


RegistryRecord = HostRegistered | HostLeft | HostExpelled | EpochSettled


@dataclass(slots=True)
class Step:
    """A change of the members that is not settled yet.

    Attributes
    ----------
    epoch : int
        Offset of the change.
    before : list of str
        Lives that were members before the change.
    """

    epoch: int
    before: list[str]


@dataclass(slots=True)
class Registry:
    """Table of the registered entry hosts.

    Attributes
    ----------
    epoch : int
        Offset of the latest change of the members; -1 before the first.
    members : dict of str to str
        Life by host name.
    settled : int
        Latest epoch that was settled; -1 before the first.
    steps : list of Step
        Changes since the latest settled epoch, oldest first.
    addresses : dict of str to str
        Peer address by life, of all lives in `members` and `steps`.
    ended : list of str
        Lives in `steps` that are known to admit no more requests.
    """

    epoch: int = -1
    members: dict[str, str] = field(default_factory=dict)
    settled: int = -1
    steps: list[Step] = field(default_factory=list)
    addresses: dict[str, str] = field(default_factory=dict)
    ended: list[str] = field(default_factory=list)


def apply(table: Registry, offset: int, record: RegistryRecord) -> bool:
    """Apply a record, and return whether it had an effect.

    Parameters
    ----------
    table : Registry
        Changed in place.
    offset : int
    record : RegistryRecord

    Returns
    -------
    bool
        False for a record about a life or an epoch that is not the current
        one.
    """
    match record:
        case EpochSettled():
            return _settle(table, record.epoch)
        case HostRegistered():
            return _register(table, offset, record)
        case HostLeft():
            return _remove(table, offset, record, has_ended=True)
        case HostExpelled():
            return _remove(table, offset, record, has_ended=record.confirmed)


def _settle(table: Registry, epoch: int) -> bool:
    if epoch != table.epoch or epoch == table.settled:
        return False
    table.settled = epoch
    table.steps.clear()
    table.ended.clear()
    for life in set(table.addresses) - set(table.members.values()):
        table.addresses.pop(life)
    return True


def _register(
    table: Registry,
    offset: int,
    record: HostRegistered,
) -> bool:
    life = f'{record.name}/{record.incarnation}'
    if life in table.addresses:
        return False
    # One process at a time can bind the address, so earlier lives with this
    # address have ended. A life of the same name with another address may
    # only be frozen.
    for earlier, address in table.addresses.items():
        if address == record.address:
            _mark_ended(table, earlier)
    _begin_epoch(table, offset)
    table.members[record.name] = life
    table.addresses[life] = record.address
    return True


def _remove(
    table: Registry,
    offset: int,
    record: HostLeft | HostExpelled,
    *,
    has_ended: bool,
) -> bool:
    life = f'{record.name}/{record.incarnation}'
    if has_ended and life in table.addresses:
        _mark_ended(table, life)
    is_member = table.members.get(record.name) == life
    if is_member:
        _begin_epoch(table, offset)
        table.members.pop(record.name)
    return is_member


def _mark_ended(table: Registry, life: str) -> None:
    if life not in table.ended:
        table.ended.append(life)


def _begin_epoch(table: Registry, offset: int) -> None:
    table.steps.append(Step(offset, list(table.members.values())))
    table.epoch = offset


def may_settle(table: Registry, acks: Mapping[str, int]) -> bool:
    """Return whether the current epoch may be settled, apart from the wait.

    Every member must have acknowledged the epoch. For each unsettled change, a
    majority of the members before it must have acknowledged it or have ended.
    The remaining members, which may not know of the change, are then no
    majority.

    Parameters
    ----------
    table : Registry
    acks : mapping of str to int
        Largest applied offset received, by life.
    """
    if not table.members or table.settled == table.epoch:
        return False
    lives = table.members.values()
    ended = frozenset(table.ended)
    has_all = all(acks.get(life, -1) >= table.epoch for life in lives)
    return has_all and all(
        _count_acknowledged(step, acks, ended) >= majority(len(step.before))
        for step in table.steps
    )


def _count_acknowledged(
    step: Step,
    acks: Mapping[str, int],
    ended: frozenset[str],
) -> int:
    return sum(
        life in ended or acks.get(life, -1) >= step.epoch
        for life in step.before
    )


def possibly_running(table: Registry) -> set[str]:
    """Return the removed lives that may still run."""
    removed = _union(step.before for step in table.steps)
    return removed - set(table.members.values()) - set(table.ended)


def _union(parts: Iterable[list[str]]) -> set[str]:
    return set().union(*parts)


def majority(count: int) -> int:
    """Return the size of a majority of `count` members; 0 for no members."""
    return count // 2 + 1 if count else 0
