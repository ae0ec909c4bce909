"""Polling of log streams: the hosts share the reads and announce new records."""

import asyncio
import random
from collections.abc import Callable

from poplarrun.hosts._peers import Peers

# Without new records, the hosts together read a stream once in this time, each in its turn. A host
# announces what it read, and the others then read at once.
SHARED_POLL_INTERVAL_S = 0.25
# Each host reads at least this often, in case announcements are lost.
MAX_POLL_INTERVAL_S = 2.0
# After an announcement, the reads of all hosts are spread so that the log gets no more than this.
MAX_READS_PER_S = 200.0


class StreamPoller:
    """Paces the reads of one stream at one host.

    If each host polled on its own, 390 hosts that must know of a record within a quarter of a
    second would read the log 1,560 times a second.

    Parameters
    ----------
    peers : Peers
        The other hosts.
    topic : str
        Topic of the announcements, one for each stream.
    get_last_offset : callable
        Returns the offset of the last record that this host has read.
    rng : random.Random
        Spreads the reads after an announcement.
    """

    def __init__(
        self, peers: Peers, topic: str, get_last_offset: Callable[[], int], rng: random.Random
    ) -> None:
        self._peers = peers
        self._topic = topic
        self._get_last_offset = get_last_offset
        self._rng = rng
        self._wake_event = asyncio.Event()
        self._is_own_wake = False
        self._is_turn_reset = True
        peers.on_announced(self._handle_announcement)

    def announce(self) -> None:
        """Announce to the other hosts up to which offset this host has read."""
        self._peers.announce(self._topic, self._get_last_offset(), b"")

    def wake(self) -> None:
        """Read at once: this host has just appended to the stream, or knows of new records."""
        self._is_own_wake = True
        self._wake_event.set()

    async def wait(self, is_behind: bool = False) -> None:
        """Wait for this host's turn to read, or until new records are announced.

        A host that is behind doesn't wait for its turn, but only for the time in which the log can
        serve a read of each host: the log may be out of its reach, and the peers that it asked may
        not have had the records yet.
        """
        hosts = len(self._peers.live())
        is_behind = (
            is_behind or self._peers.highest_announced(self._topic) > self._get_last_offset()
        )
        delay_s = (
            max(SHARED_POLL_INTERVAL_S, hosts / MAX_READS_PER_S)
            if is_behind
            else self._next_delay_s()
        )
        try:
            await asyncio.wait_for(self._wake_event.wait(), delay_s)
        except TimeoutError:
            return
        self._wake_event.clear()
        self._is_turn_reset = True
        if not self._is_own_wake:
            # The log serves a bounded rate, so the hosts must not all read at the same moment.
            await asyncio.sleep(self._rng.random() * hosts / MAX_READS_PER_S)
        self._is_own_wake = False

    def _next_delay_s(self) -> float:
        """Return the time until this host's turn.

        An announcement reaches all hosts at about the same time, so each host counts its turn
        from there by its position. Otherwise all hosts would read at the same time, and then
        none for a whole interval.
        """
        names = [peer.name for peer in self._peers.live()]
        turns = max(1, min(len(names), int(MAX_POLL_INTERVAL_S / SHARED_POLL_INTERVAL_S)))
        if not self._is_turn_reset or self._peers.me.name not in names:
            return SHARED_POLL_INTERVAL_S * turns
        self._is_turn_reset = False
        return SHARED_POLL_INTERVAL_S * (1 + names.index(self._peers.me.name) % turns)

    def _handle_announcement(self, topic: str, number: int) -> None:
        if topic == self._topic and number > self._get_last_offset():
            self._wake_event.set()
