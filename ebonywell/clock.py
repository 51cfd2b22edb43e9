"""The clock by which leases, freshness and deadlines are measured."""

import time


def boot_time() -> float:
    """Return seconds since boot, those in which the machine slept included.

    The steady clock of the event loop stands still while a machine is
    suspended, so a lease measured by it would seem to last on waking.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
