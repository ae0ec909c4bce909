"""Datagrams between hosts: the interface, pynng, and links for tests that fail on order."""

from poplarrun.links._interface import Links, Receive
from poplarrun.links._memory import LinkFaults, MemoryLinks, MemoryNetwork
from poplarrun.links._nng import NngLinks, TlsFiles

__all__ = [
    "LinkFaults",
    "Links",
    "MemoryLinks",
    "MemoryNetwork",
    "NngLinks",
    "Receive",
    "TlsFiles",
]
