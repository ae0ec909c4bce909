"""Connections to endpoints that another host relays, over TCP.

Messages between hosts are dropped where their queue is full, which a request that may run once
can't bear. A relayed connection is therefore a TCP connection of its own: it is reliable, holds
back a fast sender, and its end reaches the other side. The host that serves the caller decides
everything about the request; the helper passes bytes.
"""

from poplarrun.relays._answer_head import AnswerHead
from poplarrun.relays._messages import OpenRelay
from poplarrun.relays._race import EndpointConnection, Way, connect_first
from poplarrun.relays._server import RelayDecisions, RelayEnd, RelayServer, RelayTarget
from poplarrun.relays._tunnel import RelayFailed, Tunnel, open_tunnel

__all__ = [
    "AnswerHead",
    "EndpointConnection",
    "OpenRelay",
    "RelayDecisions",
    "RelayEnd",
    "RelayFailed",
    "RelayServer",
    "RelayTarget",
    "Tunnel",
    "Way",
    "connect_first",
    "open_tunnel",
]
