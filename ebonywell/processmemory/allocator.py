"""Has freed memory of large buffers returned to the system.

The GNU allocator takes large blocks from the system and returns them, but once
such a block was freed, it keeps blocks of that size in its heap, where smaller
ones in between keep the memory from being returned.
"""

import ctypes

# Blocks from this size on are returned when they are freed.
RETURNED_BLOCK_BYTES = 1_048_576
# Source: malloc.h of the GNU C library.
_MMAP_THRESHOLD_OPTION = -3


def return_freed_blocks() -> bool:
    """Return whether the allocator could be set so; others need no setting."""
    library = ctypes.CDLL(None)
    try:
        set_option = library.mallopt
    except AttributeError:
        return False
    return bool(set_option(_MMAP_THRESHOLD_OPTION, RETURNED_BLOCK_BYTES))
