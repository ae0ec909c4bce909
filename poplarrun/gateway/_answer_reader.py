"""Reads the body of an answer for as long as no other endpoint may answer in its place."""

import asyncio
from collections.abc import Callable

from poplarrun.transport import ClientConnection, seconds_since_boot

# Reads, and bytes, after which all other work of the host has its turn.
MAX_READS_AT_ONCE = 32
MAX_BYTES_AT_ONCE = 8 * 1024


class WaitEnded(Exception):
    """What was waited for did not arrive in time, and another endpoint may go on."""

    def __init__(self, waited_s: float) -> None:
        super().__init__(f"waited {waited_s:.3f} s")
        self.waited_s = waited_s


class AnswerReader:
    """Waits for something whole, an answer or an event, however many bytes arrive meanwhile.

    Parameters
    ----------
    waits_since : float
        Since when the first whole thing is waited for, by ``seconds_since_boot``.
    timeout_s : float, optional
        How long; None for as long as it takes.
    can_abandon : callable
        Returns whether another endpoint may go on.
    """

    def __init__(
        self,
        connection: ClientConnection,
        waits_since: float,
        timeout_s: float | None,
        can_abandon: Callable[[], bool],
    ) -> None:
        self._connection = connection
        self._waits_since = waits_since
        self._timeout_s = timeout_s
        self._can_abandon = can_abandon
        self._reads_at_once = 0
        self._bytes_at_once = 0
        self._arrived = memoryview(b"")

    def wait_anew(self, timeout_s: float | None) -> None:
        """Wait for the next whole thing, from now on."""
        self._waits_since = seconds_since_boot()
        self._timeout_s = timeout_s

    async def read(self) -> bytes | None:
        """Wait for the next bytes, 8 KB at most; None at the end of the answer.

        Raises
        ------
        WaitEnded
            When the timeout has passed, and another endpoint may go on.
        ConnectionBroken
            When the connection ends first, or the answer is not valid HTTP.
        """
        self._reads_at_once += 1
        is_full = self._bytes_at_once >= MAX_BYTES_AT_ONCE
        if is_full or self._reads_at_once >= MAX_READS_AT_ONCE:
            # Reading doesn't wait while an endpoint sends faster than its bytes are read.
            self._reads_at_once = self._bytes_at_once = 0
            await asyncio.sleep(0)
        if not self._arrived:
            data = await self._read_more()
            if data is None:
                return None
            self._arrived = memoryview(data)
        part = bytes(self._arrived[:MAX_BYTES_AT_ONCE])
        self._arrived = self._arrived[MAX_BYTES_AT_ONCE:]
        self._bytes_at_once += len(part)
        return part

    async def _read_more(self) -> bytes | None:
        while True:
            try:
                return await self._connection.read_data(self._remaining_s())
            except TimeoutError as error:
                if self._can_abandon():
                    raise WaitEnded(seconds_since_boot() - self._waits_since) from error
                self.wait_anew(self._timeout_s)

    def _remaining_s(self) -> float | None:
        if self._timeout_s is None:
            return None
        return max(0.0, self._waits_since + self._timeout_s - seconds_since_boot())
