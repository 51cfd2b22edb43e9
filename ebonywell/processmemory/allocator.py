"""Has freed memory of large buffers returned to the system.

The GNU allocator takes large blocks from the system and returns them, but once
such a block was freed, it keeps blocks of that size in its heap, where smaller
ones in between keep the memory from being returned.
"""

import ctypes

# Blocks from this size on are returned when they are freed.
RETURNED_BLOCK_BYTES = 1_048_576
# The end of the heap is returned from this size on. Without dynamic thresholds
# the default is lower than one read, and each read would move the end.
KEPT_HEAP_BYTES = 2_097_152
# Source: malloc.h of the GNU C library.
_TRIM_THRESHOLD_OPTION = -1
_MMAP_THRESHOLD_OPTION = -3


def return_freed_blocks() -> bool:
    """Return whether the allocator could be set so; others need no setting."""
    library = ctypes.CDLL(None)
    try:
        set_option = library.mallopt
    except AttributeError:
        return False
    is_set = set_option(_MMAP_THRESHOLD_OPTION, RETURNED_BLOCK_BYTES)
    return bool(is_set and set_option(_TRIM_THRESHOLD_OPTION, KEPT_HEAP_BYTES))
