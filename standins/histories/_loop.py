"""An event loop in virtual time, whose tasks belong to hosts that can be stopped or killed."""

import asyncio
import contextvars
import selectors
from collections.abc import Callable, Coroutine, Generator
from typing import Any


class Process:
    """What a host's tasks run in.

    Attributes
    ----------
    paused, dead : bool
        While either holds, no task of the process takes a step.
    last_step_at : float, optional
        When it was killed, or stopped before that and never resumed.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.paused = False
        self.dead = False
        self.last_step_at: float | None = None
        self._halted: list[asyncio.Future[None]] = []
        self._stopped_at = 0.0
        self._stops: list[tuple[float, float]] = []

    @property
    def is_halted(self) -> bool:
        """Whether no task may take a step now."""
        return self.paused or self.dead

    def kill(self, at: float) -> None:
        """Let no task take a step any more."""
        self.dead = True
        self.last_step_at = self.last_step_at or at

    def stop(self, at: float) -> None:
        """Let no task take a step until ``resume``."""
        if not self.paused:
            self._stopped_at = at
        self.paused = True
        self.last_step_at = at

    def ran_after(self, at: float) -> float:
        """Return for how long a dead process ran after a moment, stops left out."""
        end = at if self.last_step_at is None else self.last_step_at
        stopped = sum(max(0.0, min(to, end) - max(begin, at)) for begin, to in self._stops)
        return end - at - stopped

    def halt_task(self) -> asyncio.Future[None]:
        """Return what a task that may not go on waits for."""
        halted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._halted.append(halted)
        return halted

    def resume(self) -> None:
        """Let the tasks go on where they stopped."""
        if self.paused:
            self._stops.append((self._stopped_at, asyncio.get_running_loop().time()))
        self.paused = False
        if not self.dead:
            self.last_step_at = None
        halted, self._halted = self._halted, []
        for future in halted:
            if not future.done():
                future.set_result(None)


_current: contextvars.ContextVar[Process | None] = contextvars.ContextVar("process", default=None)


def current_process() -> Process | None:
    """Return the process of the running task."""
    return _current.get()


class _Gate(Coroutine[Any, Any, Any]):
    """Runs a coroutine step by step, and none while its process is halted."""

    def __init__(self, inner: Coroutine[Any, Any, Any], process: Process) -> None:
        self._inner = inner
        self._process = process

    def __del__(self) -> None:
        self._inner.close()

    def send(self, value: Any) -> Any:
        if self._process.is_halted:
            halted = self._process.halt_task()
            halted._asyncio_future_blocking = True
            return halted
        return self._inner.send(value)

    def throw(self, *error: Any) -> Any:
        return self._inner.throw(*error)

    def close(self) -> None:
        self._inner.close()

    def __await__(self) -> Generator[Any, Any, Any]:
        return self._inner.__await__()


class _InstantSelector(selectors.SelectSelector):
    """Moves the clock on instead of waiting."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("every task waits for something that never comes")
        if timeout > 0:
            self.loop.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose time passes only when nothing is left to do at this moment.

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
        self.set_exception_handler(_ignore)

    def time(self) -> float:
        """Return the virtual time."""
        return self.now


def _make_task(
    loop: asyncio.AbstractEventLoop, inner: Coroutine[Any, Any, Any], **options: Any
) -> asyncio.Task[Any]:
    process = _current.get()
    gated = inner if process is None else _Gate(inner, process)
    return asyncio.Task(gated, loop=loop, **options)


def _ignore(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Keep the tasks of killed processes, which never end, off standard error."""
    if "exception" in context:
        raise context["exception"]


def spawn(
    process: Process | None, make: Callable[..., Coroutine[Any, Any, Any]], *arguments: Any
) -> asyncio.Task[Any]:
    """Start a task in a process, or outside of all."""
    context = contextvars.copy_context()
    context.run(_current.set, process)
    return context.run(lambda: asyncio.get_running_loop().create_task(make(*arguments)))


def run_virtual(work: Coroutine[Any, Any, Any]) -> Any:
    """Run something to its end on a loop of its own, in virtual time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work)
    finally:
        asyncio.set_event_loop(None)
