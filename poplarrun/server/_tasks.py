"""A host's tasks on the loop: steps that repeat for ever, and work beside a message."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from poplarrun.logging import component_logger
from poplarrun.metrics import Metrics

Step = Callable[[], Coroutine[Any, Any, None]]
Pause = Callable[[], Awaitable[None]]


class Tasks:
    """Starts tasks and keeps them; used on the loop only.

    Parameters
    ----------
    metrics : Metrics
        Counts the steps that failed.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._log = component_logger("host")
        # The loop holds tasks weakly: one that nothing else names may be collected.
        self._kept: set[asyncio.Task[None]] = set()

    def repeat(self, step: Step, pause: Pause) -> None:
        """Run a step for ever, with a pause after each run."""
        self.spawn(self._repeat(step, pause))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run something beside the message that asked for it."""
        task = asyncio.get_running_loop().create_task(work)
        self._kept.add(task)
        task.add_done_callback(self._kept.discard)

    async def _repeat(self, step: Step, pause: Pause) -> None:
        """Run a task's step for ever; one failure must not end the task.

        A task that died silently would leave this host routing on what it
        knew at that moment, with nothing to show for it but old figures.
        """
        while True:
            try:
                await step()
            except Exception:
                self._metrics.count_event("task_failed")
                self._log.log(logging.ERROR, "A task failed.", exc_info=True)
            await pause()
