"""The one place where worker threads cross into the loop."""

import asyncio
import inspect
import logging
import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

from poplarrun.logging import component_logger

ANSWER_TIMEOUT_S = 30.0


class LoopStopped(Exception):
    """The loop has stopped; the host is going down."""


class LoopBridge:
    """Runs the loop on its own thread and hands typed messages into it.

    Parameters
    ----------
    handle : callable
        Called on the loop with each message; gives the answer, or a coroutine
        where the answer needs waiting for.
    """

    def __init__(self, handle: Callable[[Any], Any]) -> None:
        self._handle = handle
        self._log = component_logger("crossing")
        self._waiting: set[asyncio.Task[Any]] = set()
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
        answer: Future[Any] = Future()
        self._hand_over(message, answer)
        return answer.result(timeout_s)

    def post(self, message: object) -> None:
        """Hand a message to the loop without waiting; a failure is only logged.

        Raises
        ------
        CrossingClosed
            When the loop has stopped.
        """
        answer: Future[Any] = Future()
        answer.add_done_callback(self._log_failure)
        self._hand_over(message, answer)

    def _hand_over(self, message: object, answer: Future[Any]) -> None:
        if not self._thread.is_alive():
            raise LoopStopped
        self.loop.call_soon_threadsafe(self._answer, message, answer)

    def _answer(self, message: object, answer: Future[Any]) -> None:
        """Answer on the loop; only a message that has to wait costs a task."""
        try:
            result = self._handle(message)
        except Exception as error:
            answer.set_exception(error)
            return
        if inspect.iscoroutine(result):
            task = self.loop.create_task(result)
            # The loop holds tasks weakly: one that nothing else names may be
            # collected while it waits, and its worker would wait for ever.
            self._waiting.add(task)
            task.add_done_callback(self._waiting.discard)
            task.add_done_callback(lambda done: _pass_on(done, answer))
            return
        answer.set_result(result)

    def _log_failure(self, answer: Future[Any]) -> None:
        error = answer.exception()
        if error is not None:
            self._log.log(logging.ERROR, "A message failed.", exc_info=error)

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()


def _pass_on(task: asyncio.Task[Any], answer: Future[Any]) -> None:
    if task.cancelled():
        answer.set_exception(LoopStopped())
        return
    error = task.exception()
    if error is not None:
        answer.set_exception(error)
        return
    answer.set_result(task.result())
