"""Event loop for simulations, whose clock advances to the next timer without waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _VirtualClockSelector(selectors.SelectSelector):
    """Selector that advances the clock by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return the ready files; if there are none, advance the clock by the timeout."""
        ready = super().select(0)
        if not ready and timeout is not None:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, for code that uses neither threads nor sockets."""

    def __init__(self) -> None:
        self._virtual_clock = _VirtualClockSelector()
        super().__init__(self._virtual_clock)

    def time(self) -> float:
        """Return the virtual time, in seconds from the start."""
        return self._virtual_clock.now

    def shut_down(self) -> None:
        """Cancel the remaining tasks and close the loop."""
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        if tasks:
            self.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.close()


def run_virtual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion in virtual time."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.shut_down()
