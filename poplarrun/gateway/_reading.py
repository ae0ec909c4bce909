"""When a host reads a topic of the store itself, and when it waits for its zone's reader."""

import asyncio
import contextlib
from collections.abc import Callable

from poplarrun.peers import DEFAULT_READ_TIMEOUTS, PeerTable, ReadSchedule, ReadTimeouts
from poplarrun.transport import seconds_since_boot


class SharedReader:
    """The turn of one host in the reading of one topic.

    Parameters
    ----------
    topic : str
        Names the line; another topic usually has another first host.
    times : ReadTimes
        How long reads are held back, and the zone's reader is waited for.

    Attributes
    ----------
    has_failed : bool
        Whether the last read did.
    """

    def __init__(
        self, topic: str, peer_table: PeerTable, times: ReadTimeouts = DEFAULT_READ_TIMEOUTS
    ) -> None:
        self.has_failed = False
        self.times = times
        self._topic = topic
        self._peer_table = peer_table
        self._duty = ReadSchedule(times)
        self._wake = asyncio.Event()

    @property
    def held_s(self) -> float:
        """How long the store may hold the next read back, in seconds.

        A read that is held back proves nothing before its end. After a failure the next
        one is answered at once: callers with keys are served again sooner, and a store
        that still says nothing is asked again sooner.
        """
        return self.times.long_poll_s if self._place() == 0 and not self.has_failed else 0.0

    def hurry(self) -> None:
        """Read at once: a peer has more than this host."""
        self._duty.is_behind = True
        self._wake.set()

    async def wait(self, true_at: Callable[[], float]) -> None:
        """Return when this host is to read.

        Parameters
        ----------
        true_at : callable
            When what it knows was the newest for sure; peers prove that anew meanwhile.
        """
        while wait_s := self._duty.wait_s(self._place(), true_at(), seconds_since_boot()):
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._wake.wait()
        self._duty.is_behind = False

    def _place(self) -> int:
        return self._peer_table.reader_rank(self._topic, seconds_since_boot())
