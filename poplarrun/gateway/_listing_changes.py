"""Writes the changes of the list of endpoints to the log, once in each zone.

All hosts learn of the same changes. If each wrote them, a start of a fleet of 82 hosts would write
some 8,000 lines about 100 endpoints.
"""

import math

from poplarrun.gateway._reading import SharedReader
from poplarrun.logging import count_unwritten, events, write_event

# For this long after its first changes, a starting host may not have heard yet which hosts read the
# store for its zone. It keeps the lines until then.
START_TIMEOUT_S = 2.0


class ListingChanges:
    """Writes changes at the hosts that read the store for their zone; the others count them.

    Parameters
    ----------
    reader : SharedReader
        Knows whether this host reads the store for its zone.
    """

    def __init__(self, reader: SharedReader) -> None:
        self._reader = reader
        self._write_at = math.inf
        self._kept: list[events.EndpointChanged] = []

    def record(self, change: events.EndpointChanged, now: float) -> None:
        """Record a change; its line may be written later if this host has just started."""
        if self._write_at == math.inf:
            self._write_at = now + START_TIMEOUT_S
        self._kept.append(change)
        self.flush(now)

    def flush(self, now: float) -> None:
        """Write or count the changes that were kept until it is known who reads the store."""
        if not self._kept or now < self._write_at:
            return
        is_writer = self._reader.sends_to_zone
        for change in self._kept:
            if is_writer:
                write_event(change)
            else:
                count_unwritten(change)
        self._kept.clear()
