"""Background tasks of a host on the event loop."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from poplarrun.logging import component_logger
from poplarrun.metrics import Metrics

Step = Callable[[], Coroutine[Any, Any, None]]
Wait = Callable[[], Awaitable[None]]


class Tasks:
    """Starts background tasks and references them; used on the event loop only.

    Parameters
    ----------
    metrics : Metrics
        Counts the failed steps.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._log = component_logger("host")
        # The event loop only holds weak references to tasks; without another reference they
        # could be garbage-collected.
        self._tasks: set[asyncio.Task[None]] = set()

    def run_periodically(self, step: Step, wait: Wait) -> None:
        """Run a step forever, and wait after each run."""
        self.spawn(self._run_forever(step, wait))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_forever(self, step: Step, wait: Wait) -> None:
        """Run a step forever; an exception must not end the task.

        If a task ended unnoticed, this host would route requests on outdated knowledge.
        """
        while True:
            try:
                await step()
            except Exception:
                self._metrics.count_event("task_failed")
                self._log.log(logging.ERROR, "A background task failed.", exc_info=True)
            await wait()
