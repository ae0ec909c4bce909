"""The other entry hosts: who is live, messages to them, who usually does a job."""

from poplarrun.hosts._listed import ListedHosts, Listing, reconcile
from poplarrun.hosts._memory import MemoryNetwork, MemoryPeers
from poplarrun.hosts._network import NetworkPeers
from poplarrun.hosts._peers import (
    Gathered,
    Handler,
    Peer,
    Peers,
    PeerSilent,
    SummaryTopic,
    ZoneView,
)
from poplarrun.hosts._polls import LONGEST_PERIOD_S, TURN_S, StreamPoll

__all__ = [
    "LONGEST_PERIOD_S",
    "TURN_S",
    "Gathered",
    "Handler",
    "ListedHosts",
    "Listing",
    "MemoryNetwork",
    "MemoryPeers",
    "NetworkPeers",
    "Peer",
    "PeerSilent",
    "Peers",
    "StreamPoll",
    "SummaryTopic",
    "ZoneView",
    "reconcile",
]
