"""A pool of idle client connections, reused for further requests to the same peer."""

from collections import deque

from poplarrun.transport._client import ClientConnection, open_connection

# Idle connections per peer.
MAX_IDLE_PER_PEER = 8


class ConnectionPool:
    """Idle connections by peer: an address and the instance of the process listening there."""

    def __init__(self) -> None:
        self._idle: dict[tuple[str, str], deque[ClientConnection]] = {}

    def acquire_idle(self, address: str, instance_id: str = "") -> ClientConnection | None:
        """Remove and return the most recently used idle connection that is reusable."""
        idle = self._idle.get((address, instance_id))
        while idle:
            connection = idle.pop()
            if connection.is_reusable:
                return connection
            connection.abort()
        return None

    async def open(self, address: str, timeout_s: float) -> ClientConnection:
        """Open a new connection.

        Raises
        ------
        ConnectFailed
            When the connection could not be established in time.
        """
        return await open_connection(address, timeout_s)

    def release(
        self,
        connection: ClientConnection,
        instance_id: str = "",
        max_idle: int = MAX_IDLE_PER_PEER,
    ) -> None:
        """Return a connection to the pool, or close it if it can't be reused.

        Parameters
        ----------
        max_idle : int
            Idle connections to the peer that may be kept.
        """
        if not connection.is_reusable or max_idle <= 0:
            connection.abort()
            return
        idle = self._idle.setdefault((connection.address, instance_id), deque())
        idle.append(connection)
        while len(idle) > min(max_idle, MAX_IDLE_PER_PEER):
            idle.popleft().abort()

    def close_idle(self, address: str, instance_id: str = "") -> None:
        """Close the idle connections to a peer."""
        for connection in self._idle.pop((address, instance_id), ()):
            connection.abort()

    def close_stale(self) -> None:
        """Close the idle connections that are no longer reusable."""
        for peer in list(self._idle):
            reusable = deque[ClientConnection]()
            for connection in self._idle[peer]:
                if connection.is_reusable:
                    reusable.append(connection)
                else:
                    connection.abort()
            if reusable:
                self._idle[peer] = reusable
            else:
                del self._idle[peer]
