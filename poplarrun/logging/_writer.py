"""A logging handler that never blocks the event loop and bounds how many lines are written."""

import logging
import sys
import threading
import time
from collections import Counter, deque
from collections.abc import Callable

# Average rates at which lines are written: usual lines, and notable ones such as refusals.
# Ten times the load of the current hosts stays below them. A line takes about 40 us of
# processor time, so that a flood of lines costs 2.4% of a processor.
USUAL_LINES_PER_S = 200.0
NOTABLE_LINES_PER_S = 400.0
# Lines of this many seconds may be written in one burst.
BURST_WINDOW_S = 2.0
# Lines queued for a reader that has stopped reading; further ones are dropped and counted.
MAX_QUEUED_LINES = 2000
# Lines of one interval are written by one system call.
WRITE_INTERVAL_S = 0.1
# Least time between two reports of how many lines were dropped.
DROP_REPORT_INTERVAL_S = 1.0
# Characters per write: a pipe takes writes of up to 4,096 bytes atomically.
MAX_WRITE_CHARS = 4096


class LineRateLimiter:
    """A token bucket that limits the rate of log lines.

    Parameters
    ----------
    lines_per_s : float
        Average rate of lines.
    """

    def __init__(self, lines_per_s: float) -> None:
        self._lines_per_s = lines_per_s
        self._max_tokens = lines_per_s * BURST_WINDOW_S
        self._tokens = self._max_tokens
        self._refilled_at = 0.0

    def try_acquire(self, now: float) -> bool:
        """Return whether one more line may be written now, and count it if so."""
        self._tokens = min(
            self._max_tokens,
            self._tokens + max(0.0, now - self._refilled_at) * self._lines_per_s,
        )
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class NonBlockingHandler(logging.Handler):
    """Queues lines for a thread that writes them to standard output.

    A reader that stops reading blocks only that thread. Written directly, the first line
    for a full pipe would block the event loop, and with it every request of the host.

    Attributes
    ----------
    dropped_counts : Counter
        Dropped lines by event since they were last reported.
    line_counts : Counter
        All lines by event since the start, including the dropped ones.
    """

    def __init__(
        self,
        write: Callable[[str], object] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.dropped_counts: Counter[str] = Counter()
        self.line_counts: Counter[str] = Counter()
        self._write = write or _write_stdout
        self._clock = clock
        self._usual_limiter = LineRateLimiter(USUAL_LINES_PER_S)
        self._notable_limiter = LineRateLimiter(NOTABLE_LINES_PER_S)
        self._queue: deque[str] = deque()
        self._drops_reported_at = clock()
        self._has_lines = threading.Event()
        self._thread: threading.Thread | None = None

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped."""
        now = self._clock()
        event = str(record.__dict__.get("event", record.levelname))
        self.line_counts[event] += 1
        is_usual = bool(record.__dict__.pop("is_usual", False))
        limiter = self._usual_limiter if is_usual else self._notable_limiter
        if len(self._queue) >= MAX_QUEUED_LINES or not limiter.try_acquire(now):
            self.dropped_counts[event] += 1
            return
        self._queue.append(self.format(record))
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="log", daemon=True)
            self._thread.start()
        self._has_lines.set()

    def collect_dropped_counts(self) -> dict[str, int]:
        """Return and reset the counts of dropped lines, at most once per report interval.

        Empty when no line was dropped or the interval has not passed.
        """
        now = self._clock()
        if not self.dropped_counts or now - self._drops_reported_at < DROP_REPORT_INTERVAL_S:
            return {}
        self._drops_reported_at = now
        counts = dict(self.dropped_counts)
        self.dropped_counts.clear()
        return counts

    def flush(self) -> None:
        """Write all queued lines; called when the process ends."""
        self._write_queued()

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            self._write_queued()
            time.sleep(WRITE_INTERVAL_S)

    def _write_queued(self) -> None:
        """Write whole lines, as many per write as a pipe takes atomically.

        Where several processes write to one pipe, larger writes could be interleaved, and
        lines of two processes would be mixed up and unreadable.
        """
        while self._queue:
            text = self._queue.popleft() + "\n"
            while self._queue and len(text) + len(self._queue[0]) < MAX_WRITE_CHARS:
                text += self._queue.popleft() + "\n"
            self._write(text)


def _write_stdout(text: str) -> None:
    try:
        sys.stdout.write(text)
        sys.stdout.flush()
    except (BrokenPipeError, ValueError):
        # The reader is gone. The host goes on serving; its metrics still count the lines.
        return
