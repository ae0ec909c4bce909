"""The clock by which deadlines and leases are measured."""

import time


def seconds_since_boot() -> float:
    """Return the seconds since the machine booted, including time while suspended.

    The monotonic clock stops while a machine is suspended. By that clock, a host resumed
    after some seconds would act on leases, keys and deadlines that have expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
