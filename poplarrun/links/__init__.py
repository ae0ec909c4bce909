"""Message transport between hosts: interface, pynng sockets, and in-memory links for tests."""

from poplarrun.links._interface import Links, ReceiveCallback
from poplarrun.links._memory import LinkFaults, MemoryLinkNetwork, MemoryLinks
from poplarrun.links._nng import NngLinks, TlsFiles

__all__ = [
    "LinkFaults",
    "Links",
    "MemoryLinkNetwork",
    "MemoryLinks",
    "NngLinks",
    "ReceiveCallback",
    "TlsFiles",
]
