"""The one place where worker threads cross into the loop."""

import asyncio
import threading
from collections.abc import Awaitable, Callable
from typing import Any

ANSWER_TIMEOUT_S = 30.0


class CrossingClosed(Exception):
    """The loop has stopped; the host is going down."""


class Crossing:
    """Runs the loop on its own thread and hands typed messages into it.

    Parameters
    ----------
    handle : callable
        Called on the loop with each message; its result is the answer.
    """

    def __init__(self, handle: Callable[[Any], Awaitable[Any]]) -> None:
        self._handle = handle
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name="loop", daemon=True)

    def start(self) -> None:
        """Start the loop's thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the loop and wait for its thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()

    def ask(self, message: object, timeout_s: float = ANSWER_TIMEOUT_S) -> Any:
        """Hand a message to the loop and wait for the answer.

        Raises
        ------
        CrossingClosed
            When the loop has stopped.
        """
        if not self._thread.is_alive():
            raise CrossingClosed
        return asyncio.run_coroutine_threadsafe(self._answer(message), self.loop).result(timeout_s)

    async def _answer(self, message: object) -> Any:
        return await self._handle(message)

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()
