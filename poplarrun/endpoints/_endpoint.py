"""State of one endpoint and the estimate of its current load."""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from poplarrun.clients import HostKind
from poplarrun.contracts import VersionId

# Send and finish times that are kept between two load reports. The oldest are dropped, so that an
# engine that never reports can't grow this host's memory without bound.
MAX_RECORDED_TIMES = 512
# A report of more than this age is ignored: it tells little of the present load.
REPORT_TTL_S = 30.0


@dataclass
class BackgroundLoadModel:
    """Models how the load from other hosts drifts while a load report ages.

    Other hosts read the same delayed reports and fill the endpoints that look empty, so a deviation
    from the pool's mean decays. The rate of decay is estimated from successive reports.

    Attributes
    ----------
    mean : float
        Mean load from other hosts, in requests for each slot of the batch.
    decay_time_s : float
        Time in which a deviation falls to 1/e, in seconds.
    """

    mean: float = 0.0
    decay_time_s: float = 4.0
    _decay: float = 0.98
    _weight: float = 0.0
    _products: float = 0.0
    _squares: float = 0.0
    _interval_s: float = 0.0

    def update(self, before: float, after: float, interval_s: float) -> None:
        """Update the model with two successive loads of one endpoint from other hosts."""
        decay = self._decay
        self.mean += (1.0 - decay) * (after - self.mean)
        self._weight = decay * self._weight + 1.0
        self._products = decay * self._products + (before - self.mean) * (after - self.mean)
        self._squares = decay * self._squares + (before - self.mean) ** 2
        self._interval_s = decay * self._interval_s + interval_s
        if self._squares > 0.0:
            retained_fraction = min(0.99, max(0.05, self._products / self._squares))
            self.decay_time_s = -(self._interval_s / self._weight) / math.log(retained_fraction)

    def estimate_at_age(self, background_load: float, age_s: float) -> float:
        """Return the expected load from other hosts when a report has this age."""
        return self.mean + (background_load - self.mean) * math.exp(
            -age_s / max(self.decay_time_s, 1e-3)
        )


@dataclass(eq=False)
class Endpoint:
    """A model engine or a plain service, as seen by this host.

    Attributes
    ----------
    name, kind, zone, address, service
        As in the host list.
    is_leaving : bool
        Whether it is being removed and gets no new requests.
    versions : frozenset of VersionId
        Versions that it reports as loaded.
    reported_requests : float
        Running and waiting requests by its last report.
    measured_at : float
        When the values of that report were measured; -inf before the first one.
    capacity : int
        Slots in its batch.
    in_flight : int
        Requests of this host that it is processing.
    listed_since : float
        When it was first listed, or listed again.
    paused_until : float
        Time before which it is not selected, after a failure.
    consecutive_failures : int
        Failures since its last success; those during one pause count once.
    is_unreachable : bool
        Whether its last failure was a failed connection attempt.
    last_failed_at : float
        When it last failed.
    consecutive_refusals : int
        Refusals in a row because it was full; those during one pause count once.
    deprioritized_until : float
        Time before which it is selected only if the others are full.
    """

    name: str
    kind: HostKind
    zone: str
    address: str
    service: str | None = None
    is_leaving: bool = False
    versions: frozenset[VersionId] = frozenset()
    reported_requests: float = 0.0
    measured_at: float = -math.inf
    capacity: int = 1
    in_flight: int = 0
    listed_since: float = -math.inf
    paused_until: float = -math.inf
    consecutive_failures: int = 0
    is_unreachable: bool = False
    last_failed_at: float = -math.inf
    consecutive_refusals: int = 0
    deprioritized_until: float = -math.inf
    sent_at: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_RECORDED_TIMES))
    finished_at: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_RECORDED_TIMES))

    def apply_report(
        self,
        requests: float,
        capacity: int,
        measured_at: float,
        models: Sequence[BackgroundLoadModel] = (),
    ) -> None:
        """Apply a load report; one that is not newer than the last is ignored."""
        if measured_at <= self.measured_at:
            return
        before, interval_s = self._estimate_background_requests(), measured_at - self.measured_at
        had_report = math.isfinite(self.measured_at)
        self.reported_requests = requests
        self.capacity = max(1, capacity)
        self.measured_at = measured_at
        _discard_until(self.sent_at, measured_at)
        _discard_until(self.finished_at, measured_at)
        if had_report:
            after = self._estimate_background_requests() / self.capacity
            for model in models:
                model.update(before / self.capacity, after, interval_s)

    def record_sent(self, now: float) -> None:
        """Record a request that was sent."""
        self.in_flight += 1
        self.sent_at.append(now)

    def record_finished(self, now: float) -> None:
        """Record the end of a request."""
        self.in_flight = max(0, self.in_flight - 1)
        self.finished_at.append(now)

    def estimate_requests(self, now: float, background_load: BackgroundLoadModel) -> float:
        """Return the estimated number of requests that run or wait at the endpoint now.

        This host's own requests are known exactly. The rest of the last report is the load from
        other hosts at the time of the report.
        """
        age_s = now - self.measured_at
        if age_s > REPORT_TTL_S:
            return self.in_flight + background_load.mean * self.capacity
        load_at_report = self._estimate_background_requests() / self.capacity
        return (
            self.in_flight
            + max(0.0, background_load.estimate_at_age(load_at_report, age_s)) * self.capacity
        )

    def compute_load(self) -> float:
        """Return the load by the last report and own requests, for each slot of the batch."""
        return (self.in_flight + self._estimate_background_requests()) / self.capacity

    def _estimate_background_requests(self) -> float:
        own_at_report = self.in_flight - len(self.sent_at) + len(self.finished_at)
        return max(0.0, self.reported_requests - max(0, own_at_report))


def _discard_until(times: deque[float], until: float) -> None:
    while times and times[0] <= until:
        times.popleft()
