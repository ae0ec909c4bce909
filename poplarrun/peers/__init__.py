"""Peers: what the hosts tell each other, and what follows from it."""

from poplarrun.peers._book import Peer, PeerBook
from poplarrun.peers._messages import (
    Ask,
    Digest,
    Documents,
    EndpointLoad,
    Listed,
    Message,
    RolloutNews,
    TallyNews,
    decode_message,
    encode_message,
)

__all__ = [
    "Ask",
    "Digest",
    "Documents",
    "EndpointLoad",
    "Listed",
    "Message",
    "Peer",
    "PeerBook",
    "RolloutNews",
    "TallyNews",
    "decode_message",
    "encode_message",
]
