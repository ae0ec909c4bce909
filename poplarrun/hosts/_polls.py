"""When a host reads a stream of the log again: the hosts take turns and tell each other."""

import asyncio
import random
from collections.abc import Callable

from poplarrun.hosts._peers import Peers

# While all is quiet the hosts together read a stream once in this time, each in its
# turn; what one of them reads it announces, and the others read at once.
SHARED_POLL_INTERVAL_S = 0.25
# No host reads more rarely than this, should announcements be lost.
MAX_POLL_INTERVAL_S = 2.0
# After an announcement the reads of all hosts are spread over the time in which the log
# can serve them.
READS_PER_S = 200.0


class StreamPoller:
    """Paces the reads of one stream at one host.

    Were each host to poll on its own, 390 hosts that must know of a record within
    a quarter of a second would read the log 1,560 times a second.

    Parameters
    ----------
    peers : Peers
        The other hosts.
    topic : str
        Topic of the announcements; one for each stream.
    read_to : callable
        Returns the offset of the last record that this host has read.
    source : random.Random
        Random source of the turns.
    """

    def __init__(
        self, peers: Peers, topic: str, read_to: Callable[[], int], source: random.Random
    ) -> None:
        self._peers = peers
        self._topic = topic
        self._read_to = read_to
        self._random = source
        self._woken = asyncio.Event()
        self._is_own_news = False
        self._is_after_news = True
        peers.on_announced(self._note_announcement)

    def announce(self) -> None:
        """Tell the others how far this host has read."""
        self._peers.announce(self._topic, self._read_to(), b"")

    def wake(self) -> None:
        """Read at once: this host has just appended to the stream, or knows of more."""
        self._is_own_news = True
        self._woken.set()

    async def wait(self, is_behind: bool = False) -> None:
        """Wait for this host's turn, or less when there is news.

        A host that is behind doesn't wait for its turn: the log may be out of its
        reach, and the peers that it asked may not have had the news yet.
        """
        hosts = len(self._peers.live())
        is_behind = is_behind or self._peers.highest_announced(self._topic) > self._read_to()
        turn_s = (
            max(SHARED_POLL_INTERVAL_S, hosts / READS_PER_S) if is_behind else self._next_turn_s()
        )
        try:
            await asyncio.wait_for(self._woken.wait(), turn_s)
        except TimeoutError:
            return
        self._woken.clear()
        self._is_after_news = True
        if not self._is_own_news:
            # Not all hosts at the same moment: the log serves a bounded rate.
            await asyncio.sleep(self._random.random() * hosts / READS_PER_S)
        self._is_own_news = False

    def _next_turn_s(self) -> float:
        """Return the time until this host's turn.

        News reaches all hosts at about the same time: from there on they count, each
        to its own place. Without it they would read together, and then for a whole
        period nobody would.
        """
        names = [peer.name for peer in self._peers.live()]
        places = max(1, min(len(names), int(MAX_POLL_INTERVAL_S / SHARED_POLL_INTERVAL_S)))
        if not self._is_after_news or self._peers.me.name not in names:
            return SHARED_POLL_INTERVAL_S * places
        self._is_after_news = False
        return SHARED_POLL_INTERVAL_S * (1 + names.index(self._peers.me.name) % places)

    def _note_announcement(self, topic: str, number: int) -> None:
        if topic == self._topic and number > self._read_to():
            self._woken.set()
