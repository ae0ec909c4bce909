"""Requests that admission holds: their workers wait until they start or are refused."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from poplarrun.errors import Refusal
from poplarrun.router import ChatGrant

RELEASE_S = 0.02

Started = ChatGrant | Refusal


class QueuedChats:
    """The answers that held requests wait for; used on the loop only."""

    def __init__(self) -> None:
        self._answers: dict[str, asyncio.Future[Started]] = {}
        self._holds_some = asyncio.Event()

    def __len__(self) -> int:
        return len(self._answers)

    def add(self, request_id: str) -> Coroutine[Any, Any, Started]:
        """Hold a request from now on; what is returned ends when ``answer`` names it."""
        answer: asyncio.Future[Started] = asyncio.get_running_loop().create_future()
        self._answers[request_id] = answer
        self._holds_some.set()
        return _wait_for(answer)

    def resolve(self, released: list[tuple[str, Started]]) -> None:
        """Let the workers of released requests go on."""
        for request_id, started in released:
            self._answers.pop(request_id).set_result(started)

    async def wait(self) -> None:
        """Wait before the next look at the queue; for ever while nothing is held."""
        if not self._answers:
            self._holds_some.clear()
        await self._holds_some.wait()
        await asyncio.sleep(RELEASE_S)


async def _wait_for(answer: asyncio.Future[Started]) -> Started:
    return await answer
