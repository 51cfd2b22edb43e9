"""Bounds of buffers, as shares of the memory limit of the process.

What callers' connections take has its share in `callermemory`.
"""

from ..answerbuffers import AnswerBuffers
from ..upstream import PoolBuffers

# Answers that are buffered whole.
WHOLE_ANSWERS_SHARE = 0.16
# Answers that are passed on at once, of one pool of connections.
POOL_SHARE = 0.05


def bound_buffers(
    process_bytes: int, whole: AnswerBuffers, pools: tuple[PoolBuffers, ...]
) -> None:
    """Bound buffers of answers; they keep their defaults without a limit.

    Parameters
    ----------
    process_bytes : int
        Memory limit of the process, 0 if it is not known.
    whole : AnswerBuffers
    pools : tuple of PoolBuffers
    """
    if not process_bytes:
        return
    whole.max_bytes = int(process_bytes * WHOLE_ANSWERS_SHARE)
    for pool in pools:
        pool.max_bytes = int(process_bytes * POOL_SHARE)
