"""What the parts on the loop assume of the transport between hosts."""

from collections.abc import Callable
from typing import Protocol

ReceiveCallback = Callable[[bytes], None]

# Larger messages are dropped by the receiving side before they are decoded.
MAX_MESSAGE_BYTES = 256 * 1024


class Links(Protocol):
    """Sends single messages to addresses; any of them may be lost, late or repeated.

    Nothing here waits, so a dead peer can't hold the loop.

    Attributes
    ----------
    address : str
        ``ip:port`` where this host receives.
    bytes_sent, bytes_received : int
        Bytes of messages so far.
    """

    address: str
    bytes_sent: int
    bytes_received: int

    def start(self, receive: ReceiveCallback) -> None:
        """Begin to receive; called on the loop."""

    def send(self, address: str, data: bytes) -> bool:
        """Hand a message over for sending; False when it was dropped at once."""

    def close_idle(self, now: float) -> int:
        """Close connections that were not used for a while; return how many."""

    def stop(self) -> None:
        """Stop receiving and close everything."""
