"""How much a host takes on, from the memory and the sockets that it has."""

from dataclasses import dataclass

# Memory of a host without requests, in MB, measured with its configuration and peers.
BASE_MB = 35.0
# What one open request takes with its body and the buffers of both sides, in MB.
REQUEST_MB = 0.06
# Part of the other memory that open requests may fill: bodies differ in size, and a
# host over its limit is killed with all that it has open.
MEMORY_PART = 0.4
# An open request takes a socket of its caller and one of its endpoint. Parts of all
# sockets, so that idle callers leave enough for endpoints, peers and the store.
OPEN_PART = 0.35
CALLERS_PART = 0.6


@dataclass(frozen=True, slots=True)
class Capacity:
    """Bounds of one host.

    Attributes
    ----------
    requests : int
        Requests that it has open at once.
    callers : int
        Connections of callers that it keeps, idle ones included.
    """

    requests: int
    callers: int


def compute_capacity(memory_mb: float, most_sockets: int) -> Capacity:
    """Return what a host of this size takes on."""
    by_memory = MEMORY_PART * max(0.0, memory_mb - BASE_MB) / REQUEST_MB
    by_sockets = OPEN_PART * most_sockets
    requests = max(1, int(min(by_memory, by_sockets)))
    return Capacity(requests, max(1, int(CALLERS_PART * most_sockets)))
