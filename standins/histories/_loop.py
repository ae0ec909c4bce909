"""An event loop in virtual time whose tasks belong to processes that can be stopped or killed."""

import asyncio
import contextvars
import selectors
from collections.abc import Callable, Coroutine, Generator
from typing import Any


class Process:
    """A simulated process in which a host's tasks run.

    Attributes
    ----------
    paused, dead : bool
        While either is true, no task of the process runs.
    last_step_at_s : float, optional
        When the process was killed, or when it was last stopped if it has not been resumed.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.paused = False
        self.dead = False
        self.last_step_at_s: float | None = None
        self._resume_futures: list[asyncio.Future[None]] = []
        self._stopped_at_s = 0.0
        self._stops: list[tuple[float, float]] = []

    @property
    def is_halted(self) -> bool:
        """Whether the process is stopped or dead, so that no task may run."""
        return self.paused or self.dead

    def kill(self, at_s: float) -> None:
        """Stop all tasks for good."""
        self.dead = True
        self.last_step_at_s = self.last_step_at_s or at_s

    def stop(self, at_s: float) -> None:
        """Stop all tasks until ``resume``."""
        if not self.paused:
            self._stopped_at_s = at_s
        self.paused = True
        self.last_step_at_s = at_s

    def running_time_after(self, at_s: float) -> float:
        """Return how long a dead process ran after a time, in seconds, excluding stops."""
        end_s = at_s if self.last_step_at_s is None else self.last_step_at_s
        stopped = sum(max(0.0, min(to, end_s) - max(begin, at_s)) for begin, to in self._stops)
        return end_s - at_s - stopped

    def create_resume_future(self) -> asyncio.Future[None]:
        """Return a future that completes when the process resumes."""
        resumed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._resume_futures.append(resumed)
        return resumed

    def resume(self) -> None:
        """Continue the tasks where they stopped."""
        if self.paused:
            self._stops.append((self._stopped_at_s, asyncio.get_running_loop().time()))
        self.paused = False
        if not self.dead:
            self.last_step_at_s = None
        futures, self._resume_futures = self._resume_futures, []
        for future in futures:
            if not future.done():
                future.set_result(None)


_current: contextvars.ContextVar[Process | None] = contextvars.ContextVar("process", default=None)


def current_process() -> Process | None:
    """Return the process of the running task."""
    return _current.get()


class _ProcessCoroutine(Coroutine[Any, Any, Any]):
    """Wraps a coroutine, which is suspended while its process is halted."""

    def __init__(self, inner: Coroutine[Any, Any, Any], process: Process) -> None:
        self._inner = inner
        self._process = process

    def __del__(self) -> None:
        self._inner.close()

    def send(self, value: Any) -> Any:
        if self._process.is_halted:
            resumed = self._process.create_resume_future()
            resumed._asyncio_future_blocking = True
            return resumed
        return self._inner.send(value)

    def throw(self, *error: Any) -> Any:
        return self._inner.throw(*error)

    def close(self) -> None:
        self._inner.close()

    def __await__(self) -> Generator[Any, Any, Any]:
        return self._inner.__await__()


class _InstantSelector(selectors.SelectSelector):
    """Advances the virtual clock instead of waiting."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: every task waits and no timer is scheduled")
        if timeout > 0:
            self.loop.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only when no callback is ready.

    Attributes
    ----------
    now : float
        Seconds since the loop's start.
    """

    def __init__(self) -> None:
        self.now = 0.0
        selector = _InstantSelector()
        selector.loop = self
        super().__init__(selector)
        self.set_task_factory(_make_task)
        self.set_exception_handler(_handle_exception)

    def time(self) -> float:
        """Return the virtual time."""
        return self.now


def _make_task(
    loop: asyncio.AbstractEventLoop, inner: Coroutine[Any, Any, Any], **options: Any
) -> asyncio.Task[Any]:
    process = _current.get()
    gated = inner if process is None else _ProcessCoroutine(inner, process)
    return asyncio.Task(gated, loop=loop, **options)


def _handle_exception(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Raise exceptions; ignore the reports on unfinished tasks of killed processes."""
    if "exception" in context:
        raise context["exception"]


def spawn(
    process: Process | None, make: Callable[..., Coroutine[Any, Any, Any]], *arguments: Any
) -> asyncio.Task[Any]:
    """Start a task in a process, or in none."""
    context = contextvars.copy_context()
    context.run(_current.set, process)
    return context.run(lambda: asyncio.get_running_loop().create_task(make(*arguments)))


def run_virtual(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to completion on a new virtual-time loop."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work)
    finally:
        asyncio.set_event_loop(None)
