"""The futures on which the workers of queued chat requests wait."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from poplarrun.errors import Refusal
from poplarrun.router import ChatGrant

RELEASE_INTERVAL_S = 0.02

StartResult = ChatGrant | Refusal


class QueuedChats:
    """The pending results of queued requests; used on the event loop only."""

    def __init__(self) -> None:
        self._futures: dict[str, asyncio.Future[StartResult]] = {}
        self._has_entries = asyncio.Event()

    def __len__(self) -> int:
        return len(self._futures)

    def add(self, request_id: str) -> Coroutine[Any, Any, StartResult]:
        """Add a queued request; the coroutine returns once ``resolve`` is called for it."""
        future: asyncio.Future[StartResult] = asyncio.get_running_loop().create_future()
        self._futures[request_id] = future
        self._has_entries.set()
        return _wait_for(future)

    def resolve(self, released: list[tuple[str, StartResult]]) -> None:
        """Resume the workers of released requests."""
        for request_id, result in released:
            self._futures.pop(request_id).set_result(result)

    async def wait(self) -> None:
        """Wait until the queue should be checked again, indefinitely if it is empty."""
        if not self._futures:
            self._has_entries.clear()
        await self._has_entries.wait()
        await asyncio.sleep(RELEASE_INTERVAL_S)


async def _wait_for(future: asyncio.Future[StartResult]) -> StartResult:
    return await future
