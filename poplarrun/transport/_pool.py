"""Idle connections, kept for the next request to the same peer."""

from collections import deque

from poplarrun.transport._client import ClientConnection, open_connection

# Idle connections that are kept for each peer. An endpoint bounds the connections
# of all hosts together, so a host that keeps many shuts others out.
MOST_IDLE = 8


class ConnectionPool:
    """Connections by peer; a peer is an address in one lifetime."""

    def __init__(self) -> None:
        self._idle: dict[tuple[str, str], deque[ClientConnection]] = {}

    def acquire_idle(self, address: str, lifetime: str = "") -> ClientConnection | None:
        """Return the idle connection that was used last, if one is still good."""
        idle = self._idle.get((address, lifetime))
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
            When none came about in time.
        """
        return await open_connection(address, timeout_s)

    def release(self, connection: ClientConnection, lifetime: str = "") -> None:
        """Keep a connection for the next request, or close it."""
        if not connection.is_reusable:
            connection.abort()
            return
        idle = self._idle.setdefault((connection.address, lifetime), deque())
        idle.append(connection)
        if len(idle) > MOST_IDLE:
            idle.popleft().abort()

    def close_stale(self) -> None:
        """Close the idle connections that no request may use any more."""
        for peer in list(self._idle):
            kept = deque[ClientConnection]()
            for connection in self._idle[peer]:
                if connection.is_reusable:
                    kept.append(connection)
                else:
                    connection.abort()
            if kept:
                self._idle[peer] = kept
            else:
                del self._idle[peer]
