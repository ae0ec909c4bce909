"""Tries several ways to connect, each a little later than the one before."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from poplarrun.transport import ClientConnection, ConnectFailed


@dataclass(frozen=True, slots=True)
class EndpointConnection:
    """A connection to an endpoint.

    Attributes
    ----------
    helper : str
        Peer address of the host that relays it; empty for none.
    """

    connection: ClientConnection
    helper: str = ""


Way = Callable[[], Coroutine[Any, Any, EndpointConnection]]
_Attempts = set[asyncio.Task[EndpointConnection]]


async def connect_first(ways: Iterator[Way], stagger_s: float) -> EndpointConnection:
    """Return the result of the way that connects first, and abort the others.

    The next way is tried once the one before has failed, or hasn't connected in ``stagger_s``.

    Raises
    ------
    ConnectFailed
        When all have failed, with the reason of the first one.
    """
    reasons: list[str] = []
    async with _aborting_attempts() as attempts:
        while True:
            way = next(ways, None)
            if way is not None:
                attempts.add(asyncio.create_task(way()))
            if not attempts:
                raise ConnectFailed(reasons[0] if reasons else "no way to connect")
            timeout_s = None if way is None else stagger_s
            done, _ = await asyncio.wait(
                attempts, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            for attempt in done:
                attempts.discard(attempt)
                try:
                    return attempt.result()
                except ConnectFailed as error:
                    reasons.append(str(error))


@asynccontextmanager
async def _aborting_attempts() -> AsyncIterator[_Attempts]:
    """Yield a set of attempts; those that are still in it at the end are aborted."""
    attempts: _Attempts = set()
    try:
        yield attempts
    finally:
        for attempt in attempts:
            attempt.cancel()
            attempt.add_done_callback(_abort_connected)


def _abort_connected(attempt: asyncio.Task[EndpointConnection]) -> None:
    if not attempt.cancelled() and attempt.exception() is None:
        attempt.result().connection.abort()
