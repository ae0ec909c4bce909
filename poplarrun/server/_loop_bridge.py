"""The bridge by which worker threads send messages to the event loop."""

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
    """The event loop has stopped, because the host is shutting down."""


class LoopBridge:
    """Runs the event loop on its own thread and passes messages to it.

    Parameters
    ----------
    handle : callable
        Called on the event loop with each message; returns the answer, or a coroutine that
        returns it.
    """

    def __init__(self, handle: Callable[[Any], Any]) -> None:
        self._handle = handle
        self._log = component_logger("crossing")
        self._tasks: set[asyncio.Task[Any]] = set()
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
        """Send a message to the event loop and wait for the answer.

        Raises
        ------
        LoopStopped
            When the loop has stopped.
        """
        result_future: Future[Any] = Future()
        self._submit(message, result_future)
        return result_future.result(timeout_s)

    def post(self, message: object) -> None:
        """Send a message to the event loop without waiting; an exception is only logged.

        Raises
        ------
        LoopStopped
            When the loop has stopped.
        """
        result_future: Future[Any] = Future()
        result_future.add_done_callback(self._log_failure)
        self._submit(message, result_future)

    def _submit(self, message: object, result_future: Future[Any]) -> None:
        if not self._thread.is_alive():
            raise LoopStopped
        self.loop.call_soon_threadsafe(self._handle_on_loop, message, result_future)

    def _handle_on_loop(self, message: object, result_future: Future[Any]) -> None:
        """Handle a message on the event loop; only a coroutine needs a task."""
        try:
            result = self._handle(message)
        except Exception as error:
            result_future.set_exception(error)
            return
        if inspect.iscoroutine(result):
            task = self.loop.create_task(result)
            # The event loop only holds weak references to tasks. Without another reference, a
            # waiting task could be garbage-collected, and its worker would wait forever.
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            task.add_done_callback(lambda done: _copy_result(done, result_future))
            return
        result_future.set_result(result)

    def _log_failure(self, result_future: Future[Any]) -> None:
        error = result_future.exception()
        if error is not None:
            self._log.log(logging.ERROR, "A message handler failed.", exc_info=error)

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()


def _copy_result(task: asyncio.Task[Any], result_future: Future[Any]) -> None:
    if task.cancelled():
        result_future.set_exception(LoopStopped())
        return
    error = task.exception()
    if error is not None:
        result_future.set_exception(error)
        return
    result_future.set_result(task.result())
