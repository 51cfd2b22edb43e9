"""What a caller has not read of its answer, and when it is too slow.

Answers the load of callers that read slowly, such as a byte a second, or not at
all. The module is pure.
"""

import collections
from dataclasses import dataclass, field

# Bytes of an answer that are held back for one caller. Usual streams have less
# than a tenth of it, and the largest event a quarter, so that targets wait for
# a caller in exceptional cases only.
MAX_HELD_BYTES = 1_048_576
# Age of the oldest unread byte at which a caller for which the target has to
# wait is too slow. Targets cut off answers that stay unread for some seconds.
MAX_TARGET_WAIT_S = 2.0
# Time for what is left to read after the end of an answer. The deadline of its
# request no longer bounds it then; most deadlines are 12 to 20 s.
MAX_DRAIN_S = 30.0
# Interval between the marks by which the age of unread bytes is known, and the
# same as a share of the age that the oldest mark has. The share bounds the
# number of marks: there are about 100 after ten minutes.
MARK_INTERVAL_S = 0.1
MARK_SHARE = 0.0625


@dataclass(slots=True, frozen=True)
class Mark:
    """Bytes of an answer that were written at about the same time.

    Attributes
    ----------
    end : int
        Position after the last of them.
    written_at : float
        When the first of them was written, in seconds.
    """

    end: int
    written_at: float


@dataclass(slots=True)
class Backlog:
    """What a caller has not read, while it is behind.

    Positions count from the first unread byte at the time when the caller fell
    behind.

    Attributes
    ----------
    written, taken : int
        Positions after the last byte written, and the last one that the caller
        took.
    marks : deque of Mark
        Empty while the caller keeps up.
    moved_at : float
        When the caller was last seen to take something.
    ended_at : float or None
        When the answer was found to have ended.
    """

    written: int = 0
    taken: int = 0
    marks: collections.deque[Mark] = field(default_factory=collections.deque)
    moved_at: float = 0
    ended_at: float | None = None

    @property
    def is_behind(self) -> bool:
        """Whether the caller has fallen behind and not caught up yet."""
        return bool(self.marks)

    @property
    def unread_bytes(self) -> int:
        """Bytes that the caller had not taken when last looked at."""
        return self.written - self.taken

    @property
    def unread_since(self) -> float | None:
        """When the oldest unread byte was written, None if there is none."""
        return self.marks[0].written_at if self.marks else None

    @property
    def is_full(self) -> bool:
        """Whether the target of the answer has to wait."""
        return self.unread_bytes >= MAX_HELD_BYTES

    def begin(self, unread_bytes: int, now: float) -> None:
        """Note that the caller falls behind with so many bytes."""
        self.written = unread_bytes
        self.taken = 0
        self.marks.append(Mark(unread_bytes, now))
        self.moved_at = now

    def add(self, count: int, now: float) -> None:
        """Note that bytes were written behind the unread ones."""
        self.written += count
        first, last = self.marks[0], self.marks[-1]
        interval_s = max(MARK_INTERVAL_S, MARK_SHARE * (now - first.written_at))
        if now - last.written_at < interval_s:
            self.marks[-1] = Mark(self.written, last.written_at)
        else:
            self.marks.append(Mark(self.written, now))

    def update(self, unread_bytes: int, now: float) -> None:
        """Note how much is unread now."""
        taken = self.written - unread_bytes
        if taken <= self.taken:
            return
        self.taken = taken
        self.moved_at = now
        while len(self.marks) > 1 and self.marks[0].end <= taken:
            self.marks.popleft()

    def note_ended(self, now: float) -> None:
        """Note that nothing more will be written."""
        if self.ended_at is None:
            self.ended_at = now

    def clear(self) -> None:
        """Note that the caller has caught up."""
        self.written = 0
        self.taken = 0
        self.marks.clear()
        self.ended_at = None

    def find_fault(
        self, now: float, idle_timeout_s: float, *, is_target_waiting: bool
    ) -> str | None:
        """Return the reason to cut the caller off now, None if there is none.

        Parameters
        ----------
        now : float
        idle_timeout_s : float
            Longest time without any byte taken.
        is_target_waiting : bool
            Whether the target of the answer is not read because of the caller.
        """
        since = self.unread_since
        if since is None:
            return None
        if is_target_waiting and now - since > MAX_TARGET_WAIT_S:
            return 'target_waits'
        if now - self.moved_at > idle_timeout_s:
            return 'answer_unread'
        if self.ended_at is not None and now - self.ended_at > MAX_DRAIN_S:
            return 'end_unread'
        return None
