"""Messages by which hosts tell each other what they know of crashes."""

import math
from collections.abc import Iterator

from .blame import Crash, CrashId
from .digests import CrashMessage

# Traits per message, so that it fits in a datagram.
TRAITS_PER_MESSAGE = 64


def make_messages(
    crash_id: CrashId, crash: Crash, now: float
) -> Iterator[CrashMessage]:
    """Yield messages on a crash, those with the strongest evidence first."""
    strong = crash.begun | crash.tried
    traits = (*strong, *(crash.traits - strong))
    for part in range(math.ceil(len(traits) / TRAITS_PER_MESSAGE)):
        start = part * TRAITS_PER_MESSAGE
        chunk = traits[start : start + TRAITS_PER_MESSAGE]
        yield CrashMessage(
            *crash_id,
            now - crash.noted_at,
            chunk,
            tuple(crash.tried.intersection(chunk)),
            tuple(crash.begun.intersection(chunk)),
            tuple(crash.cleared.intersection(chunk)),
        )


def read_evidence(message: CrashMessage, now: float) -> Crash:
    """Return what a message tells of a crash."""
    return Crash(
        now - message.age_s,
        set(message.traits),
        set(message.tried),
        set(message.begun),
        set(message.cleared),
    )
