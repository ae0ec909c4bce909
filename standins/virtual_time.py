"""An asyncio loop whose clock jumps to the next timer, so that hours pass in moments."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _JumpingSelector(selectors.SelectSelector):
    """Moves the loop's clock on instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is readable now; pass the time that the loop would wait."""
        ready = super().select(0)
        if not ready and timeout is not None:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop in which a timer costs no waiting. Only for code without threads and sockets."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time, in seconds from the start."""
        return self._jumping.now

    def end(self) -> None:
        """Cancel what still runs and close."""
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        self.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.close()


def run_virtual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in virtual time."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.end()
