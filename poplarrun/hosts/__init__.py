"""Membership of entry hosts, requests and announcements between them, and shared polling."""

from poplarrun.hosts._listed import ListedHostTable, ListedState, describe_host_state
from poplarrun.hosts._memory import MemoryPeerNetwork, MemoryPeers
from poplarrun.hosts._network import NetworkPeers
from poplarrun.hosts._peers import (
    CollectedSummaries,
    Handler,
    Peer,
    Peers,
    PeerSilent,
    SummaryTopic,
    ZoneView,
)
from poplarrun.hosts._polls import MAX_POLL_INTERVAL_S, SHARED_POLL_INTERVAL_S, StreamPoller

__all__ = [
    "MAX_POLL_INTERVAL_S",
    "SHARED_POLL_INTERVAL_S",
    "CollectedSummaries",
    "Handler",
    "ListedHostTable",
    "ListedState",
    "MemoryPeerNetwork",
    "MemoryPeers",
    "NetworkPeers",
    "Peer",
    "PeerSilent",
    "Peers",
    "StreamPoller",
    "SummaryTopic",
    "ZoneView",
    "describe_host_state",
]
