"""The other entry hosts: who is live, messages to them, who usually does a job."""

from poplarrun.hosts._memory import MemoryNetwork, MemoryPeers
from poplarrun.hosts._peers import (
    Gathered,
    Handler,
    Peer,
    Peers,
    PeerSilent,
    SummaryTopic,
)
from poplarrun.hosts._rendezvous import rank_hosts

__all__ = [
    "Gathered",
    "Handler",
    "MemoryNetwork",
    "MemoryPeers",
    "Peer",
    "PeerSilent",
    "Peers",
    "SummaryTopic",
    "rank_hosts",
]
