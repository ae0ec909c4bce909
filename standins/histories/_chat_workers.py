"""The product's blocking code of a worker, run step by step by the loop in virtual time."""

import asyncio
import queue
import threading
import time
from collections.abc import Awaitable, Callable
from typing import Any

from poplarrun.server import _chats

Waiting = Callable[[], Awaitable[Any]]


class _Aborted(BaseException):
    """The run is over; a worker of a killed host ends."""


class Worker:
    """A thread that runs only while the loop waits for it.

    What it waits for, the loop awaits in the worker's process: so it is killed
    and stopped with its host, and the same seed gives the same order.
    """

    def __init__(self, work: Callable[["Worker"], Any]) -> None:
        self._work = work
        self._asked: queue.SimpleQueue[Waiting | None] = queue.SimpleQueue()
        self._answers: queue.SimpleQueue[tuple[bool, Any]] = queue.SimpleQueue()
        self._is_aborted = False
        self._result: Any = None
        self._error: Exception | None = None
        self._thread = threading.Thread(target=self._run, daemon=True)

    async def run(self) -> Any:
        """Run the work to its end."""
        self._thread.start()
        while (waiting := self._asked.get()) is not None:
            self._answers.put((True, await waiting()))
        self._thread.join()
        if self._error is not None:
            raise self._error
        return self._result

    def wait_for(self, waiting: Waiting) -> Any:
        """Wait for something on the loop; called on the worker's thread."""
        if self._is_aborted:
            raise _Aborted
        self._asked.put(waiting)
        goes_on, answer = self._answers.get()
        if not goes_on:
            self._is_aborted = True
            raise _Aborted
        return answer

    def abort(self) -> None:
        """End a worker whose host was killed."""
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
        self._asked.put(None)


_local = threading.local()


class _VirtualPauses:
    """The pauses of the product's workers: virtual in a history, else as they are."""

    @staticmethod
    def sleep(seconds: float) -> None:
        worker: Worker | None = getattr(_local, "worker", None)
        if worker is None:
            time.sleep(seconds)
        else:
            worker.wait_for(lambda: asyncio.sleep(seconds))


# The product's worker pauses by ``time.sleep``, which knows no virtual time.
_chats.time = _VirtualPauses  # type: ignore[attr-defined]
