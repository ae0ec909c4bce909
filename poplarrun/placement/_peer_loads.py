"""Loads of endpoints by other hosts."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerLoads:
    """Loads of endpoints by another host: requests and pending prefill seconds."""

    by_endpoint: dict[str, tuple[int, float]]
    unlisted: tuple[int, float]

    def mean_unlisted(self, endpoints: int) -> tuple[float, float]:
        """Return the load of each of so many endpoints that are not listed."""
        in_flight, pending_s = self.unlisted
        return in_flight / max(1, endpoints), pending_s / max(1, endpoints)
