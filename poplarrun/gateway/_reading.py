"""Schedules a host's reads of a topic of the store, which the hosts of a zone share."""

import asyncio
import contextlib
import math
from collections.abc import Callable

from poplarrun.logging import events, write_event
from poplarrun.peers import DEFAULT_READ_TIMEOUTS, PeerTable, ReadSchedule, ReadTimeouts
from poplarrun.transport import seconds_since_boot

# Hosts of a zone that send the others what they read: its reader, and the next one in rank, which
# reads first if the reader is silent. Then the others read at about the same time.
MAX_SENDERS = 2
# Least time in seconds between two log lines about a silent reader.
SILENCE_LOG_INTERVAL_S = 5.0


def publish_nothing() -> None:
    """Do nothing; what a follower publishes until it is connected to peers."""


class SharedReader:
    """Decides when this host reads one topic, and how long the store may hold a read open.

    Parameters
    ----------
    topic : str
        Determines the ranks of hosts; another topic usually has another reader.
    timeouts : ReadTimeouts
        Timeouts of reads and of waiting for the zone's reader.

    Attributes
    ----------
    has_failed : bool
        Whether the last read failed.
    """

    def __init__(
        self, topic: str, peer_table: PeerTable, timeouts: ReadTimeouts = DEFAULT_READ_TIMEOUTS
    ) -> None:
        self.has_failed = False
        self.timeouts = timeouts
        self._topic = topic
        self._peer_table = peer_table
        self._schedule = ReadSchedule(timeouts)
        self._wake_event = asyncio.Event()
        self._silence_logged_at = -math.inf

    @property
    def long_poll_s(self) -> float:
        """How long the store may hold the next read open.

        A long poll proves nothing before its end. After a failure, the next read is no long poll,
        so that callers with API keys are served again sooner, and a store that still does not
        answer is tried again sooner.
        """
        return self.timeouts.long_poll_s if self._rank() == 0 and not self.has_failed else 0.0

    @property
    def sends_to_zone(self) -> bool:
        """Whether this host sends the others of its zone what it reads."""
        return self._rank() < MAX_SENDERS

    def read_now(self) -> None:
        """Read at once, because a peer has newer state than this host."""
        self._schedule.is_behind = True
        self._wake_event.set()

    def read_unless_sent(self) -> None:
        """Read after a moment, because a peer has newer state, unless it is sent meanwhile."""
        if self._schedule.behind_since == math.inf:
            self._schedule.behind_since = seconds_since_boot()
            self._wake_event.set()

    def record_caught_up(self) -> None:
        """Record that a peer sent its newer state."""
        self._schedule.is_behind = False
        self._schedule.behind_since = math.inf

    async def wait_until_due(self, confirmed_at: Callable[[], float]) -> None:
        """Wait until this host has to read.

        Parameters
        ----------
        confirmed_at : callable
            Returns the latest time at which this host's state was surely current, which advances
            with the proofs of peers.
        """
        while wait_s := self._schedule.wait_s(self._rank(), confirmed_at(), seconds_since_boot()):
            self._wake_event.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._wake_event.wait()
        self._log_silence(confirmed_at(), seconds_since_boot())
        self.record_caught_up()

    def _log_silence(self, confirmed_at: float, now: float) -> None:
        rank, age_s = self._rank(), now - confirmed_at
        if rank == 0 or age_s < self.timeouts.proof_timeout_s:
            return
        if now - self._silence_logged_at >= SILENCE_LOG_INTERVAL_S:
            self._silence_logged_at = now
            write_event(events.ZoneReaderSilent(self._topic, rank, min(age_s, 1e6)))

    def _rank(self) -> int:
        return self._peer_table.reader_rank(self._topic, seconds_since_boot())
