"""Limits on the load of a host, from its memory and sockets."""

from dataclasses import dataclass

# Memory of a host without requests, measured with its configuration and peers.
BASE_MEMORY_MB = 35.0
# Memory of one open request, including its body and the buffers of both connections.
MEMORY_PER_REQUEST_MB = 0.06
# Fraction of the remaining memory that open requests may fill. Bodies differ in size, and a host
# that exceeds its limit is killed together with all its open requests.
REQUEST_MEMORY_FRACTION = 0.4
# Fraction of it that answers may fill beyond that which are incomplete, or which their callers have
# not read.
ANSWER_MEMORY_FRACTION = 0.2
# Fraction of it that the bodies of requests may fill beyond that. Endpoints that read them slowly
# keep them there.
BODY_MEMORY_FRACTION = 0.25
BYTES_PER_MB = 1024 * 1024
# An open request needs a socket to its caller and one to its endpoint. These fractions of all
# sockets leave enough for endpoints, peers and the store when many callers are idle.
REQUEST_SOCKET_FRACTION = 0.35
CALLER_SOCKET_FRACTION = 0.6
# The same for the addresses of readiness checks and of metrics, each, and their least number.
OBSERVER_SOCKET_FRACTION = 0.03
MIN_OBSERVER_CONNECTIONS = 8
# Fraction of the open requests from which on new connections count as requests.
BUSY_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class Capacity:
    """Limits of one host.

    Attributes
    ----------
    max_open_requests : int
        Requests that may be open at the same time.
    max_caller_connections : int
        Connections of callers, including idle ones.
    answer_bytes : int
        Bytes of incomplete and unsent answers that may be kept.
    body_bytes : int
        Bytes of requests' bodies that may be kept.
    max_observer_connections : int
        Connections at the address of readiness checks, and at that of metrics.
    """

    max_open_requests: int
    max_caller_connections: int
    answer_bytes: int
    body_bytes: int = 0
    max_observer_connections: int = MIN_OBSERVER_CONNECTIONS

    def has_room(self, open_requests: int, awaited_requests: int) -> bool:
        """Return whether a host may read one more request of a new connection.

        Parameters
        ----------
        awaited_requests : int
            New connections whose first requests have not arrived yet.
        """
        # Connections that stay silent keep nobody out of a host that has little to do.
        if open_requests < BUSY_FRACTION * self.max_open_requests:
            return True
        return open_requests + awaited_requests < self.max_open_requests


def compute_capacity(memory_mb: float, max_sockets: int) -> Capacity:
    """Return the limits of a host with this memory and this many sockets."""
    room_mb = max(0.0, memory_mb - BASE_MEMORY_MB)
    by_memory = REQUEST_MEMORY_FRACTION * room_mb / MEMORY_PER_REQUEST_MB
    by_sockets = REQUEST_SOCKET_FRACTION * max_sockets
    return Capacity(
        max_open_requests=max(1, int(min(by_memory, by_sockets))),
        max_caller_connections=max(1, int(CALLER_SOCKET_FRACTION * max_sockets)),
        answer_bytes=int(ANSWER_MEMORY_FRACTION * room_mb * BYTES_PER_MB),
        body_bytes=int(BODY_MEMORY_FRACTION * room_mb * BYTES_PER_MB),
        max_observer_connections=max(
            MIN_OBSERVER_CONNECTIONS, int(OBSERVER_SOCKET_FRACTION * max_sockets)
        ),
    )
