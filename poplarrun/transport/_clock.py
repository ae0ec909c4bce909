"""The clock of all deadlines."""

import time


def seconds_since_boot() -> float:
    """Return the seconds since the host booted, suspended time included.

    A host that is suspended for seconds would find, by the monotonic clock, that
    no time has passed, and act on leases, keys and deadlines that are long over.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
