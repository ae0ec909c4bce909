"""Concurrency limits of plain services, which give no load reports."""

import math
from dataclasses import dataclass, field

from poplarrun.admission._concurrency import AimdLimit

FIRST_LIMIT = 16.0
# Calls that take this many times as long as in a quiet service have waited.
SLOW_FACTOR = 2.0
# The quiet time is forgotten slowly, so that a service that got slower for good
# does not look overloaded for ever.
QUIET_GROWTH = 1.00002
MEAN_DECAY = 0.95
ENOUGH_CALLS = 10.0


@dataclass
class QuietTime:
    """The time of a call in a quiet service: the least mean over some calls.

    The least single call would not do: the times of calls differ by themselves,
    and a service would look overloaded whenever a usual call came.
    """

    seconds: float = math.inf
    mean_s: float = 0.0
    _weight: float = 0.0

    def note(self, took_s: float) -> float:
        """Take in a call's time; return the mean of the last calls."""
        self._weight = MEAN_DECAY * self._weight + 1.0
        self.mean_s += (took_s - self.mean_s) / self._weight
        if self._weight > ENOUGH_CALLS:
            self.seconds = min(self.mean_s, self.seconds * QUIET_GROWTH)
        return self.mean_s


@dataclass
class GradientLimit:
    """Moves the limit by the ratio of the quiet to the present time.

    Weighed against ``AimdLimit`` (docs/design/admission.md) and not used.
    """

    limit: float = FIRST_LIMIT
    baseline: QuietTime = field(default_factory=QuietTime)
    _smoothing: float = 0.2

    def record_end(self, took_s: float, in_flight: int, now: float) -> None:
        """Take in a call's time."""
        mean_s = self.baseline.note(took_s)
        gradient = max(0.5, min(1.0, SLOW_FACTOR * self.baseline.seconds / mean_s))
        if in_flight >= self.limit / 2.0 or gradient < 1.0:
            wanted = self.limit * gradient + math.sqrt(self.limit)
            self.limit += self._smoothing / max(1.0, self.limit) * (wanted - self.limit)
            self.limit = max(2.0, self.limit)


@dataclass
class ServiceLimit:
    """The calls of this host that may run at one plain service at once."""

    aimd: AimdLimit = field(default_factory=lambda: AimdLimit(limit=FIRST_LIMIT))
    baseline: QuietTime = field(default_factory=QuietTime)
    in_flight: int = 0

    def has_room(self) -> bool:
        """Tell whether another call may start."""
        return self.aimd.has_room(self.in_flight)

    def record_sent(self) -> None:
        """Count a call that goes out."""
        self.in_flight += 1

    def record_end(self, took_s: float | None, now: float) -> None:
        """Count a call that came back; without a time it tells nothing of the load."""
        self.in_flight = max(0, self.in_flight - 1)
        if took_s is None:
            return
        self.baseline.note(took_s)
        if math.isfinite(self.baseline.seconds):
            self.aimd.target_wait_s = self.baseline.seconds * (SLOW_FACTOR - 1.0)
            self.aimd.record_wait(took_s - self.baseline.seconds, self.in_flight + 1, now)

    def retry_after_s(self) -> float:
        """Return when a refused call may find room: after about one call's time."""
        return max(1.0, self.baseline.mean_s)
