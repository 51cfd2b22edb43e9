"""Reports of hosts on the tokens that they have admitted."""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from .digests import UsageShare
from .fleetview import Peer
from .limitwindow import REPORTED_PARTS

# Seconds after its last report during which a host is assumed to have admitted
# tokens at the rate that it reported.
UNREPORTED_S = 0.6
# Age of a digest up to which its host is assumed to have gone on at the rate
# that it reported.
MAX_ESTIMATED_S = 2.0
_NO_USAGE = UsageShare('', (), 0)


@dataclass(slots=True, frozen=True)
class FormerUsage:
    """Tokens that a host had admitted before it restarted.

    Attributes
    ----------
    usage : sequence of UsageShare
    reported_at : float
        Time of the report, or a later time.
    """

    usage: Sequence[UsageShare]
    reported_at: float

    def count(self, workspace: str, span_s: float, now: float) -> float:
        """Return the tokens that are still in the window."""
        share = find_share(self.usage, workspace)
        age = (now - self.reported_at) * REPORTED_PARTS / span_s
        reported = sum(
            tokens
            for index, tokens in enumerate(share.parts)
            if index + age < REPORTED_PARTS
        )
        return reported + share.recent_rate * UNREPORTED_S


class HostUsage(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one host in the summary."""

    name: str
    life: int
    usage: tuple[UsageShare, ...]


class Summary(msgspec.Struct, frozen=True, array_like=True):
    """Counts of all hosts, as the store keeps them."""

    hosts: tuple[HostUsage, ...]


def find_share(
    usage: Sequence[UsageShare],
    workspace: str,
) -> UsageShare:
    """Return a host's report on a workspace, or an empty one."""
    for share in usage:
        if share.workspace == workspace:
            return share
    return _NO_USAGE


def estimate_usage(
    peer: Peer, workspace: str, span_s: float, now: float
) -> float:
    """Return the tokens that a host may have in the window by now.

    It has gone on since its newest digest, at the rate that it reported there,
    while its oldest tokens have left the window.
    """
    if peer.digest is None:
        return 0
    share = find_share(peer.digest.usage, workspace)
    if not share.parts:
        return 0
    age_s = min(peer.digest_age_s(now), MAX_ESTIMATED_S)
    if age_s >= span_s:
        return share.recent_rate * span_s
    expired, share_of_next = divmod(age_s * REPORTED_PARTS / span_s, 1)
    left = REPORTED_PARTS - int(expired)
    kept = sum(share.parts[:left]) - share.parts[left - 1] * share_of_next
    return kept + share.recent_rate * age_s


def last_reported(peer: Peer, workspace: str) -> int:
    """Return the tokens in the window that a host last reported."""
    if peer.digest is None:
        return 0
    return find_share(peer.digest.usage, workspace).in_window
