"""The clock for leases, freshness and deadlines."""

import time


def boot_time() -> float:
    """Return the seconds since boot, including time spent suspended.

    The event loop's monotonic clock stops while the machine is suspended, so a
    lease that is timed by it would appear still valid after resuming.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
