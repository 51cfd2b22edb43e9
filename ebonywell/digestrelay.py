"""Chooses and shortens the digests that a host passes on.

Addresses fleets in which a host hears most others through relays only, while
observations of targets take room in each datagram.
"""

import random

import msgspec

from .digests import Digest
from .fleetview import FleetView

# Observations that a host passes on with the digest of another.
RELAYED_OBSERVATIONS = 1
# Most digests of which the newest is relayed. Old ones are known to most hosts,
# but a host that always took the newest of several would relay some hosts
# never, so the number of draws is random and may be one.
MAX_RELAY_DRAWS = 12


def take_for_relay(
    digests: list[Digest], fleet: FleetView, now: float, rng: random.Random
) -> Digest:
    """Remove a digest from a list and return what to relay of it.

    It is the newest of some that are drawn at random. It keeps its newest
    observations only: its loads matter more, and all observations would leave
    room for a quarter of the relayed digests.
    """
    draws = rng.randint(1, MAX_RELAY_DRAWS)
    drawn = rng.sample(range(len(digests)), min(draws, len(digests)))
    place = min(
        drawn,
        key=lambda one: fleet.peers[digests[one].name].digest_age_s(now),
    )
    digest = digests.pop(place)
    return msgspec.structs.replace(
        digest,
        observations=digest.observations[:RELAYED_OBSERVATIONS],
        observation_ages=digest.observation_ages[:RELAYED_OBSERVATIONS],
    )
