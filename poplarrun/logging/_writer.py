"""Writes log lines without ever holding the loop up, and not too many of them."""

import logging
import sys
import threading
import time
from collections import Counter, deque
from collections.abc import Callable

# Lines a second that are written on average, with so many at once: usual lines, and
# notable ones such as refusals. Ten times the load of today's hosts stays below; a
# line takes about 40 us of processor time, so that a flood of them costs 2.4%.
USUAL_LINES_PER_S = 200.0
NOTABLE_LINES_PER_S = 400.0
BURST_S = 2.0
# Lines that wait for a reader that doesn't read; more are left out and counted.
MOST_WAITING = 2000
# Pause between two writes, in seconds: lines of that time go out in one system call.
WRITE_PERIOD_S = 0.1
# Pause between two lines that tell how many were left out, in seconds.
TELL_PERIOD_S = 1.0
# Characters that are written at once: a pipe takes 4,096 bytes undivided.
MOST_WRITTEN = 4096


class LineRateLimiter:
    """Lets through so many lines a second.

    Parameters
    ----------
    per_s : float
        Lines a second on average.
    """

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._most = per_s * BURST_S
        self._tokens = self._most
        self._at = 0.0

    def take(self, now: float) -> bool:
        """Tell whether one more line may be written now."""
        self._tokens = min(self._most, self._tokens + max(0.0, now - self._at) * self._per_s)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class NonBlockingHandler(logging.Handler):
    """Hands lines to a thread that writes them to standard output.

    A reader that stops reading blocks that thread alone. Without it, the first write
    to a full pipe would stop the loop, and with it every request of the host.

    Attributes
    ----------
    dropped_counts : Counter
        Lines that were left out, by event, since they were last told.
    line_counts : Counter
        All lines by event since the start, those that were left out included.
    """

    def __init__(
        self,
        write: Callable[[str], object] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.dropped_counts: Counter[str] = Counter()
        self.line_counts: Counter[str] = Counter()
        self._write = write or _write_out
        self._clock = clock
        self._usual = LineRateLimiter(USUAL_LINES_PER_S)
        self._notable = LineRateLimiter(NOTABLE_LINES_PER_S)
        self._waiting: deque[str] = deque()
        self._told_at = clock()
        self._wake = threading.Event()
        self._thread: threading.Thread | None = None

    def emit(self, record: logging.LogRecord) -> None:
        """Put a line into the queue, or count it as left out."""
        now = self._clock()
        event = str(record.__dict__.get("event", record.levelname))
        self.line_counts[event] += 1
        is_usual = bool(record.__dict__.pop("is_usual", False))
        budget = self._usual if is_usual else self._notable
        if len(self._waiting) >= MOST_WAITING or not budget.take(now):
            self.dropped_counts[event] += 1
            return
        self._waiting.append(self.format(record))
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="log", daemon=True)
            self._thread.start()
        self._wake.set()

    def collect_dropped_counts(self) -> dict[str, int]:
        """Return how many lines were left out, once a period; empty otherwise."""
        now = self._clock()
        if not self.dropped_counts or now - self._told_at < TELL_PERIOD_S:
            return {}
        self._told_at = now
        counts = dict(self.dropped_counts)
        self.dropped_counts.clear()
        return counts

    def flush(self) -> None:
        """Write what waits, for the end of the process."""
        self._write_waiting()

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            self._write_waiting()
            time.sleep(WRITE_PERIOD_S)

    def _write_waiting(self) -> None:
        """Write whole lines, as many at once as a pipe takes undivided.

        A reader of many processes' lines would else find the line of one of them inside
        another one's, and neither could be read.
        """
        while self._waiting:
            text = self._waiting.popleft() + "\n"
            while self._waiting and len(text) + len(self._waiting[0]) < MOST_WRITTEN:
                text += self._waiting.popleft() + "\n"
            self._write(text)


def _write_out(text: str) -> None:
    try:
        sys.stdout.write(text)
        sys.stdout.flush()
    except (BrokenPipeError, ValueError):
        # Nobody reads any more. The host serves on; its counters still tell.
        return
