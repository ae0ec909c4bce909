"""The log as the loop sees it: awaited, while the blocking call runs elsewhere."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from poplarrun.log._interface import AppendOutcome, Log, ReadOutcome


class AsyncLog(Protocol):
    """A ``Log`` whose calls are awaited on the loop. Calls never raise."""

    async def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record to a stream."""

    async def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read at most ``limit`` records of a stream from an offset on."""


async def call_inline(call: Callable[..., Any], *arguments: Any) -> Any:
    """Run a call at once, for a ``ThreadedLog`` over one that doesn't block, as in memory."""
    return call(*arguments)


class ThreadedLog:
    """An ``AsyncLog`` over a blocking ``Log``.

    Parameters
    ----------
    log : Log
        The blocking log.
    run : callable
        Runs a blocking call with its arguments on some thread.
    """

    def __init__(self, log: Log, run: Callable[..., Awaitable[Any]]) -> None:
        self._log = log
        self._run = run

    async def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record to a stream."""
        outcome: AppendOutcome = await self._run(self._log.append, stream, data)
        return outcome

    async def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read at most ``limit`` records of a stream from an offset on."""
        outcome: ReadOutcome = await self._run(self._log.read, stream, from_offset, limit)
        return outcome
