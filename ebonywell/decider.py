"""Decides which records of the registry are to be written."""

import math
from collections.abc import Callable

from .freshness import EXPELLED_WAIT_S, OUTAGE_LIMIT_S
from .records import Body
from .registry import (
    EpochSettled,
    HostExpelled,
    Registry,
    majority,
    may_settle,
    possibly_running,
)

EXPEL_AFTER_S = 4.0
RANK_DELAY_S = 2.0


class RegistryDecider:
    """Decides when to expel a host and when to settle an epoch.

    Every member runs a decider. Of the members in touch, the one whose name
    sorts first writes a due record at once. Each further one waits
    `RANK_DELAY_S` longer, which avoids duplicate records in the log.

    Attributes
    ----------
    life : str
    expel_after_s : float
        Seconds without a heartbeat after which a host is expelled.
    heartbeat_at : dict of str to float
        Time of the latest heartbeat of each life, or of the first check for
        one, in seconds.
    epoch : int
        Epoch to which `epoch_began_at` and `agreed_at` refer.
    epoch_began_at : float
    agreed_at : float
        Time since which the epoch may be settled, apart from the wait.
    due : Body or None
        Record that is due.
    due_since : float
        Time since which that record is due.
    """

    def __init__(self, life: str, clock: Callable[[], float]) -> None:
        self.life = life
        self.clock = clock
        self.expel_after_s = EXPEL_AFTER_S
        self.heartbeat_at: dict[str, float] = {}
        self.epoch = -1
        self.epoch_began_at = math.inf
        self.agreed_at = math.inf
        self.due: Body | None = None
        self.due_since = math.inf

    def note_heartbeat(self, life: str) -> None:
        """Record the time of a heartbeat of a life."""
        self.heartbeat_at[life] = self.clock()

    def has_majority(self, table: Registry, now: float) -> bool:
        """Return whether a majority of the members is in touch."""
        lives = table.members.values()
        count = sum(self._is_in_touch(life, now) for life in lives)
        return count >= majority(len(lives))

    def decide(
        self,
        table: Registry,
        acks: dict[str, int],
        now: float,
    ) -> Body | None:
        """Return the record that this host is to write now, if any."""
        if table.epoch != self.epoch:
            self.epoch = table.epoch
            self.epoch_began_at = now
            self.agreed_at = math.inf
        lives = sorted(table.members.values())
        in_touch = [life for life in lives if self._is_in_touch(life, now)]
        silent = sorted(set(lives) - set(in_touch))
        due: Body | None = None
        if silent and len(in_touch) >= majority(len(lives)):
            name, _, incarnation = silent[0].partition('/')
            due = HostExpelled(name, incarnation)
        elif self._may_settle(table, acks, now):
            due = EpochSettled(table.epoch)
        if due != self.due:
            self.due = due
            self.due_since = now
        rank = sum(life < self.life for life in in_touch)
        return due if now - self.due_since >= rank * RANK_DELAY_S else None

    def _is_in_touch(self, life: str, now: float) -> bool:
        heard_at = self.heartbeat_at.setdefault(life, now)
        return life == self.life or now - heard_at < self.expel_after_s

    def _may_settle(
        self,
        table: Registry,
        acks: dict[str, int],
        now: float,
    ) -> bool:
        if table.settled == table.epoch:
            return False
        if may_settle(table, acks):
            self.agreed_at = min(self.agreed_at, now)
            wait_s = EXPELLED_WAIT_S if possibly_running(table) else 0
            return now - self.agreed_at >= wait_s
        # If no majority has acknowledged the changes, wait until no host can
        # still count as fresh on the evidence of a majority.
        has_all = all(
            acks.get(life, -1) >= table.epoch for life in table.members.values()
        )
        outage_s = OUTAGE_LIMIT_S + EXPELLED_WAIT_S
        return has_all and now - self.epoch_began_at >= outage_s
