"""Runs the product's blocking worker code in threads that follow the virtual-time loop."""

import asyncio
import queue
import threading
import time
from collections.abc import Awaitable, Callable
from typing import Any

from poplarrun.server import _chats

AsyncCall = Callable[[], Awaitable[Any]]


class _Aborted(BaseException):
    """Raised in a worker whose host was killed, when the run is over."""


class Worker:
    """A thread that runs only while the loop blocks on it.

    The loop awaits the worker's asynchronous calls in the host's process. The worker is
    therefore killed and stopped with its host, and a seed always gives the same order.
    """

    def __init__(self, work: Callable[["Worker"], Any]) -> None:
        self._work = work
        self._calls: queue.SimpleQueue[AsyncCall | None] = queue.SimpleQueue()
        self._answers: queue.SimpleQueue[tuple[bool, Any]] = queue.SimpleQueue()
        self._is_aborted = False
        self._result: Any = None
        self._error: Exception | None = None
        self._thread = threading.Thread(target=self._run, daemon=True)

    async def run(self) -> Any:
        """Run the work to completion and return its result."""
        self._thread.start()
        while (async_call := self._calls.get()) is not None:
            self._answers.put((True, await async_call()))
        self._thread.join()
        if self._error is not None:
            raise self._error
        return self._result

    def wait_for(self, async_call: AsyncCall) -> Any:
        """Await a call on the loop and return its result; called on the worker's thread."""
        if self._is_aborted:
            raise _Aborted
        self._calls.put(async_call)
        is_continuing, answer = self._answers.get()
        if not is_continuing:
            self._is_aborted = True
            raise _Aborted
        return answer

    def abort(self) -> None:
        """Stop the thread of a worker whose host was killed."""
        if self._thread.is_alive():
            self._answers.put((False, None))
            self._thread.join()

    def _run(self) -> None:
        _local.worker = self
        try:
            self._result = self._work(self)
        except _Aborted:
            pass
        except Exception as error:
            self._error = error
        self._work = lambda _: None
        self._calls.put(None)


_local = threading.local()


class _VirtualSleep:
    """Replaces ``time``: ``sleep`` takes virtual time on a worker's thread, real time elsewhere."""

    @staticmethod
    def sleep(seconds: float) -> None:
        worker: Worker | None = getattr(_local, "worker", None)
        if worker is None:
            time.sleep(seconds)
        else:
            worker.wait_for(lambda: asyncio.sleep(seconds))


# The product's worker calls ``time.sleep``, which would block in real time.
_chats.time = _VirtualSleep  # type: ignore[attr-defined]
