"""An asynchronous interface to the log, for the event loop."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from poplarrun.log._interface import AppendOutcome, Log, ReadOutcome


class AsyncLog(Protocol):
    """A ``Log`` whose calls are awaited on the event loop. Calls never raise."""

    async def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record to a stream."""

    async def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read at most ``limit`` records of a stream, starting at an offset."""


async def call_inline(call: Callable[..., Any], *arguments: Any) -> Any:
    """Run a call on the event loop, for a ``ThreadedLog`` over a log that doesn't block."""
    return call(*arguments)


class ThreadedLog:
    """An ``AsyncLog`` that runs the calls of a blocking ``Log`` on threads.

    Parameters
    ----------
    log : Log
        The blocking log.
    run : callable
        Runs a call with its arguments, usually on another thread, and returns an awaitable.
    """

    def __init__(self, log: Log, run: Callable[..., Awaitable[Any]]) -> None:
        self._log = log
        self._run = run

    async def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record to a stream."""
        outcome: AppendOutcome = await self._run(self._log.append, stream, data)
        return outcome

    async def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read at most ``limit`` records of a stream, starting at an offset."""
        outcome: ReadOutcome = await self._run(self._log.read, stream, from_offset, limit)
        return outcome
