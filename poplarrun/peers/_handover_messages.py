"""Messages by which hosts that stop and start keep what is known of sessions."""

import msgspec


class HostStop(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """Tells that the sender is stopping, and owns no session any more."""

    address: str


class HostStart(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """Tells that the sender has started, and asks for the sessions that it owns.

    Attributes
    ----------
    lifetime : int
        Differs between two starts of a host.
    """

    address: str
    lifetime: int


class SessionsSent(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """Tells a host that has started that the sender has sent all sessions that it owns."""

    address: str
    lifetime: int


class RecentSessions(msgspec.Struct, frozen=True, array_like=True, tag=27):
    """Sessions that a stopping host has served lately, for an order that may come.

    Attributes
    ----------
    sessions : list of tuple of int and float
        Hash of each session's id, and how long ago its last request ended, in seconds; negative
        for one that may still be running.
    """

    service: str
    sessions: list[tuple[int, float]]
