"""Sends messages to other hosts, and counts what they take of the host's link."""

from collections import Counter
from collections.abc import Iterable

from poplarrun.links import Links
from poplarrun.peers import Message, encode_message


class MessageSender:
    """Encodes and sends messages.

    Attributes
    ----------
    bytes_by_kind : Counter of str
        Bytes sent so far by the type of message.
    """

    def __init__(self, links: Links) -> None:
        self.bytes_by_kind: Counter[str] = Counter()
        self._links = links

    def reconnect(self, address: str) -> None:
        """Connect anew to a host that has started, at the next message to it."""
        self._links.reconnect(address)

    def send(self, address: str, message: Message) -> None:
        """Send a message to one host."""
        self.send_to_all([address], message)

    def send_to_all(self, addresses: Iterable[str], message: Message) -> None:
        """Send the same message to several hosts."""
        data = encode_message(message)
        for address in addresses:
            if self._links.send(address, data):
                self.bytes_by_kind[type(message).__name__] += len(data)
