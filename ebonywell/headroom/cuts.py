"""Turns away some requests of workspaces above their share, at once.

Made for workspaces at a multiple of their usual load. Little room alone does
not bound them, since many of their requests find an idle target, and then the
others find none.

The module is plain state without times.
"""

from dataclasses import dataclass, field

# Steps of the level at which requests are cut, when a request of a workspace
# within its share finds no room, and when it finds some. One in three finds
# none at a steady level.
RAISE_STEP = 0.1
LOWER_STEP = 0.05


@dataclass(slots=True)
class Cuts:
    """How many requests of workspaces above their share are turned away.

    Attributes
    ----------
    levels : dict of (str, int) to float
        From 0 to 1, by service and rank of the requests that found no room.
    """

    levels: dict[tuple[str, int], float] = field(default_factory=dict)

    def note(self, service: str, rank: int, *, has_room: bool) -> None:
        """Record whether a workspace within its share found room."""
        step = -LOWER_STEP if has_room else RAISE_STEP
        level = self.levels.get((service, rank), 0) + step
        self.levels[service, rank] = min(max(level, 0), 1)

    def share(self, service: str, rank: int, excess: float) -> float:
        """Return which share of a workspace's requests is turned away.

        Parameters
        ----------
        service : str
        rank : int
            Room that requests of this rank or a more urgent one did not find
            counts.
        excess : float
            How far the workspace is above its usual share; 1 if it is not. Its
            usual share is left to it.
        """
        level = max(
            (
                found
                for (name, other), found in self.levels.items()
                if name == service and other <= rank
            ),
            default=0,
        )
        return min(level, 1 - 1 / max(1, excess))
