"""Which releases of each service's targets take requests, and since when.

Targets of several releases may serve side by side. What two of them write does
not fit together, so a stream may be resumed only at the release that began it.

The module is pure. It is designed for releases that come, go and return within
seconds, and for hosts that start when one of them has just left.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

# A host trusts the default release while its targets were away for at most
# this long. It exceeds the time in which discovery loses and restores entries.
MAX_ABSENCE_S = 12.0
# How much later than another host one may learn of a target.
DISCOVERY_LAG_S = 5.0

Release = tuple[str, str]


def retire_after_s(life_s: float) -> float:
    """Return after which absence of its targets a default is replaced.

    Other hosts must have stopped trusting it, and its streams must have ended.

    Parameters
    ----------
    life_s : float
        Longest duration of a stream.
    """
    return MAX_ABSENCE_S + life_s + DISCOVERY_LAG_S


@dataclass(slots=True)
class ReleaseHistory:
    """When targets of each release last took requests.

    Attributes
    ----------
    seen_at : dict of (str, str) to float
        Time of the last sight, by service and release.
    """

    seen_at: dict[Release, float] = field(default_factory=dict)

    def note(self, releases: Iterable[Release], now: float) -> None:
        """Record the releases that take requests now."""
        self.seen_at.update(dict.fromkeys(releases, now))

    def is_recent(self, release: Release, now: float) -> bool:
        """Return whether a release was seen not too long ago to be trusted."""
        seen_at = self.seen_at.get(release)
        return seen_at is not None and now - seen_at < MAX_ABSENCE_S

    def expire(self, life_s: float, now: float) -> None:
        """Forget releases of which no stream can be left."""
        for release, seen_at in list(self.seen_at.items()):
            if now - seen_at >= retire_after_s(life_s):
                self.seen_at.pop(release)

    def list_current(self, service: str, now: float) -> list[str]:
        """Return the releases of a service, the last seen first."""
        found = [
            (seen_at, release)
            for (name, release), seen_at in self.seen_at.items()
            if name == service and now - seen_at < MAX_ABSENCE_S
        ]
        return [release for _, release in sorted(found, reverse=True)]


def choose_default(
    current: str | None,
    history: ReleaseHistory,
    service: str,
    watched_s: float,
    life_s: float,
    now: float,
) -> str | None:
    """Return the new default release of a service, None to keep the old one.

    Parameters
    ----------
    current : str or None
        The default release in the store.
    history : ReleaseHistory
    service : str
    watched_s : float
        For how long the history has been kept without a gap.
    life_s : float
        Longest duration of a stream.
    now : float
    """
    candidates = history.list_current(service, now)
    if not candidates:
        return None
    if current is None:
        return candidates[0]
    is_away = (service, current) not in history.seen_at
    has_watched = watched_s >= retire_after_s(life_s)
    return candidates[0] if is_away and has_watched else None
