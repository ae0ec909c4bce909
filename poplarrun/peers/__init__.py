"""Peers: what the hosts tell each other, and what follows from it."""

from poplarrun.peers._book import DOCUMENTS, ENDPOINTS, Peer, PeerBook
from poplarrun.peers._duty import USUAL_TIMES, ReadDuty, ReadTimes
from poplarrun.peers._messages import (
    Ask,
    ChangedRecord,
    Changes,
    Digest,
    Documents,
    EndpointLoad,
    HeldSessions,
    Listed,
    Message,
    RolloutNews,
    SessionAnswer,
    SessionAsk,
    TallyNews,
    decode_message,
    encode_message,
)

__all__ = [
    "DOCUMENTS",
    "ENDPOINTS",
    "USUAL_TIMES",
    "Ask",
    "ChangedRecord",
    "Changes",
    "Digest",
    "Documents",
    "EndpointLoad",
    "HeldSessions",
    "Listed",
    "Message",
    "Peer",
    "PeerBook",
    "ReadDuty",
    "ReadTimes",
    "RolloutNews",
    "SessionAnswer",
    "SessionAsk",
    "TallyNews",
    "decode_message",
    "encode_message",
]
