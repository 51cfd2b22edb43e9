"""Writes a new checkpoint before the previous one can expire."""

import math
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from .checkpoint import split_state
from .exceptions import LogOutageError
from .logs import Logger
from .replica import NO_CHECKPOINT, Replica
from .state import encode_state
from .types import new_id

CHECK_INTERVAL_S = 1.0
RANK_DELAY_S = 5.0
MAX_RECORDS_BETWEEN = 5000
MAX_PARTS_IN_FLIGHT = 8
# A new checkpoint is due at a quarter of the retention, so that three more
# writers in succession may fail before the previous one expires.
RENEW_AFTER_FRACTION = 0.25


@dataclass(slots=True)
class CheckpointView:
    """Inputs of the decision whether a checkpoint is due.

    Attributes
    ----------
    applied : int
    first_offset : int
        The first offset that the log still holds.
    checkpoint_offset : int
        Offset of the newest complete checkpoint; ``NO_CHECKPOINT`` if there is
        none.
    age_s : float
        Seconds since that checkpoint was read.
    retention_s : float
        Seconds for which the log keeps a record.
    """

    applied: int
    first_offset: int
    checkpoint_offset: int
    age_s: float
    retention_s: float


def is_due(view: CheckpointView) -> bool:
    """Return whether a checkpoint should be written.

    It is due long before the last one can expire, so that a new process can
    always start from a complete state, and immediately if the last one has
    already expired.
    """
    if view.applied < 0:
        return False
    is_missing = view.checkpoint_offset == NO_CHECKPOINT
    if view.checkpoint_offset < view.first_offset and not is_missing:
        return True
    if view.first_offset > 0 and is_missing:
        return True
    if view.applied - view.checkpoint_offset > MAX_RECORDS_BETWEEN:
        return True
    return view.age_s > view.retention_s * RENEW_AFTER_FRACTION


class Checkpointer:
    """Writes checkpoints when they are due.

    Concurrent writers do no harm, because every complete checkpoint is
    correct. Hosts delay their writes by rank, so that this is rare.

    Attributes
    ----------
    rank : callable
        Returns this host's rank, from 0, among the hosts that may write.
    written : int
        Number of complete checkpoints that this process wrote.
    """

    def __init__(
        self,
        replica: Replica,
        retention_s: float,
        rank: Callable[[], int],
        log: Logger,
    ) -> None:
        self.replica = replica
        self.retention_s = retention_s
        self.rank = rank
        self.log = log
        self.written = 0
        self.due_since = math.inf
        self.started_at = math.inf

    async def run(self, ready: Callable[[], None]) -> None:
        """Check periodically, until cancelled, whether a checkpoint is due."""
        self.started_at = self.replica.clock()
        ready()
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            await self._check()

    async def stop(self) -> None:
        """Do nothing; another host writes the next checkpoint."""

    def view(self) -> CheckpointView:
        """Return the inputs of the decision whether a checkpoint is due."""
        read_at = max(self.replica.checkpoint_at, self.started_at)
        return CheckpointView(
            self.replica.state.applied,
            self.replica.first_offset,
            self.replica.checkpoint_offset,
            self.replica.clock() - read_at,
            self.retention_s,
        )

    async def write(self) -> None:
        """Write a checkpoint of the current state.

        Raises
        ------
        ExceptionGroup
            Of LogOutageError, if a part was not read back; the remaining
            parts are then not written.
        """
        covers = self.replica.state.applied
        encoded = encode_state(self.replica.state)
        parts = split_state(new_id(), covers, encoded)
        for start in range(0, len(parts), MAX_PARTS_IN_FLIGHT):
            async with anyio.create_task_group() as group:
                for part in parts[start : start + MAX_PARTS_IN_FLIGHT]:
                    group.start_soon(self.replica.append, part)
        self.written += 1
        self.log('checkpoint_written', covers=covers, parts=len(parts))

    async def _check(self) -> None:
        now = self.replica.clock()
        if not self.replica.is_complete or not is_due(self.view()):
            self.due_since = math.inf
            return
        self.due_since = min(self.due_since, now)
        if now - self.due_since < self.rank() * RANK_DELAY_S:
            return
        try:
            await self.write()
        except* LogOutageError as outages:
            self.log('checkpoint_failed', reason=str(outages.exceptions[0]))
