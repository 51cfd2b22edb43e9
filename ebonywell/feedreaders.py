"""Decides which hosts read the shared store on behalf of the others."""

import itertools
import math
import random
from collections.abc import Iterable

import xxhash

# A zone has one reader for this many hosts, so that a reader's work does not
# grow with the fleet.
HOSTS_PER_READER = 20


def pick_readers(hosts: Iterable[str], zone: str) -> list[str]:
    """Return the hosts of a zone that read the store, by rendezvous hashing.

    Hosts that agree on who is alive agree on the readers. If a host joins or
    leaves, at most one reader changes for each that there are.

    Parameters
    ----------
    hosts : iterable of str
        Names of the zone's hosts that are alive.
    zone : str

    Returns
    -------
    list of str
        The host that ranks first comes first.
    """
    ranked = sorted(hosts, key=lambda name: _weight(zone, name), reverse=True)
    return ranked[: math.ceil(len(ranked) / HOSTS_PER_READER)]


def order_readers(readers: Iterable[str], own_name: str) -> list[str]:
    """Return in which order a host asks the readers of its zone.

    The order differs between hosts, which spreads them over the readers.
    """
    return sorted(
        readers, key=lambda name: _weight(own_name, name), reverse=True
    )


def order_witnesses(
    hosts: Iterable[tuple[str, str]], own_zone: str, rng: random.Random
) -> list[str]:
    """Return whom to ask whether the store was away, in which order.

    Readers of other zones come first. Hosts of the own zone may know only what
    this host told them.

    Parameters
    ----------
    hosts : iterable of (str, str)
        Names and zones of other hosts that are alive.
    own_zone : str
    rng : random.Random
    """
    by_zone: dict[str, list[str]] = {}
    for host, zone in hosts:
        by_zone.setdefault(zone, []).append(host)
    others = list(itertools.chain.from_iterable(by_zone.values()))
    by_zone.pop(own_zone, None)
    readers: list[str] = []
    for other_zone, names in by_zone.items():
        readers.extend(pick_readers(names, other_zone))
    rng.shuffle(readers)
    rng.shuffle(others)
    return list(dict.fromkeys((*readers, *others)))


def _weight(domain: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f'{domain}/{name}'.encode())
