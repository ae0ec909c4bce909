"""Interface of the message transport between hosts."""

from collections.abc import Callable
from typing import Protocol

ReceiveCallback = Callable[[bytes], None]

# The receiver drops larger messages before they are decoded.
MAX_MESSAGE_BYTES = 256 * 1024


class Links(Protocol):
    """Sends messages to addresses; any of them may be lost, delayed or duplicated.

    No method blocks, so that a dead peer can't stall the event loop.

    Attributes
    ----------
    address : str
        ``ip:port`` at which this host receives.
    bytes_sent, bytes_received : int
        Total size of the messages so far.
    """

    address: str
    bytes_sent: int
    bytes_received: int

    def start(self, receive: ReceiveCallback) -> None:
        """Start receiving; called on the event loop."""

    def send(self, address: str, data: bytes) -> bool:
        """Queue a message; return False if it was dropped at once."""

    def reconnect(self, address: str) -> None:
        """Connect anew at the next message, without the delay that follows failed attempts."""

    def close_idle(self, now: float) -> int:
        """Close connections that have been idle for long; return how many."""

    def stop(self) -> None:
        """Stop receiving and close everything."""
