"""Datagrams between hosts: the interface, pynng, and links for tests that fail on order."""

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
