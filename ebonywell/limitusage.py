"""What hosts told of the tokens that they admitted."""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from .digests import UsageShare
from .fleetview import Peer
from .limitwindow import REPORTED_PARTS

# What a host admitted after it was last heard of, by its rate then.
UNREPORTED_S = 0.6
_NO_USAGE = UsageShare('', (), 0)


@dataclass(slots=True, frozen=True)
class FormerUsage:
    """What a host had admitted before it started again.

    Attributes
    ----------
    usage : sequence of UsageShare
    reported_at : float
        When that was so, or later.
    """

    usage: Sequence[UsageShare]
    reported_at: float

    def count(self, workspace: str, span_s: float, now: float) -> float:
        """Return what of it is still in the window."""
        share = find_share(self.usage, workspace)
        age = (now - self.reported_at) * REPORTED_PARTS / span_s
        told = sum(
            tokens
            for index, tokens in enumerate(share.parts)
            if index + age < REPORTED_PARTS
        )
        return told + share.recent_rate * UNREPORTED_S


class HostUsage(msgspec.Struct, frozen=True, array_like=True):
    """One host's counts in the summary."""

    name: str
    life: int
    usage: tuple[UsageShare, ...]


class Summary(msgspec.Struct, frozen=True, array_like=True):
    """The counts of all hosts, as the store keeps them."""

    hosts: tuple[HostUsage, ...]


def find_share(
    usage: Sequence[UsageShare],
    workspace: str,
) -> UsageShare:
    """Return what a host told of a workspace, nothing if it did not."""
    for share in usage:
        if share.workspace == workspace:
            return share
    return _NO_USAGE


def last_reported(peer: Peer, workspace: str) -> int:
    """Return the tokens in the window that a host last told of."""
    if peer.digest is None:
        return 0
    return find_share(peer.digest.usage, workspace).in_window
