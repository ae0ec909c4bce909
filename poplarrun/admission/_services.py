"""Concurrency limits of plain services, which don't report their load."""

import math
from dataclasses import dataclass, field

from poplarrun.admission._concurrency import AimdLimit

INITIAL_LIMIT = 16.0
# Calls that take at least this many times the baseline latency are assumed to have waited.
SLOW_FACTOR = 2.0
# The baseline grows slowly with each call, so that a service that became permanently slower
# doesn't look overloaded forever.
BASELINE_GROWTH_FACTOR = 1.00002
# Weight that the earlier calls keep with each new one in the mean latency.
MEAN_DECAY = 0.95
# Total weight of the calls from which the mean is good enough for a baseline.
MIN_CALL_WEIGHT = 10.0


@dataclass
class BaselineLatency:
    """The latency of a service without load: the minimum of the mean over recent calls.

    The minimum over single calls would be too low, since their durations vary: a service
    would look overloaded after each call of average duration.

    Attributes
    ----------
    seconds : float
        The baseline; infinite until enough calls were recorded.
    mean_s : float
        Mean duration of the recent calls, in seconds.
    """

    seconds: float = math.inf
    mean_s: float = 0.0
    _weight: float = 0.0

    def record(self, duration_s: float) -> float:
        """Record a call's duration; return the mean of the recent calls."""
        self._weight = MEAN_DECAY * self._weight + 1.0
        self.mean_s += (duration_s - self.mean_s) / self._weight
        if self._weight > MIN_CALL_WEIGHT:
            self.seconds = min(self.mean_s, self.seconds * BASELINE_GROWTH_FACTOR)
        return self.mean_s


@dataclass
class GradientLimit:
    """Changes the limit by the ratio of the baseline to the current latency.

    Used only in the comparison with ``AimdLimit`` (docs/design/admission.md).
    """

    limit: float = INITIAL_LIMIT
    baseline: BaselineLatency = field(default_factory=BaselineLatency)
    _smoothing: float = 0.2

    def record_end(self, duration_s: float, in_flight: int, now: float) -> None:
        """Record a call's duration."""
        mean_s = self.baseline.record(duration_s)
        gradient = max(0.5, min(1.0, SLOW_FACTOR * self.baseline.seconds / mean_s))
        if in_flight >= self.limit / 2.0 or gradient < 1.0:
            target_limit = self.limit * gradient + math.sqrt(self.limit)
            self.limit += self._smoothing / max(1.0, self.limit) * (target_limit - self.limit)
            self.limit = max(2.0, self.limit)


@dataclass
class ServiceLimit:
    """Limits the calls of this host that run concurrently at one plain service."""

    aimd: AimdLimit = field(default_factory=lambda: AimdLimit(limit=INITIAL_LIMIT))
    baseline: BaselineLatency = field(default_factory=BaselineLatency)
    in_flight: int = 0

    def has_room(self) -> bool:
        """Return whether another call may start."""
        return self.aimd.has_room(self.in_flight)

    def record_sent(self) -> None:
        """Count a call that is sent."""
        self.in_flight += 1

    def record_end(self, duration_s: float | None, now: float) -> None:
        """Count a call that ended; without a duration it says nothing about the load."""
        self.in_flight = max(0, self.in_flight - 1)
        if duration_s is None:
            return
        self.baseline.record(duration_s)
        if math.isfinite(self.baseline.seconds):
            self.aimd.target_wait_s = self.baseline.seconds * (SLOW_FACTOR - 1.0)
            self.aimd.record_wait(duration_s - self.baseline.seconds, self.in_flight + 1, now)

    def retry_after_s(self) -> float:
        """Return the delay after which a refused call should be retried: about one call's time."""
        return max(1.0, self.baseline.mean_s)
