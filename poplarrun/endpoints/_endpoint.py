"""One endpoint as this host sees it, and the estimate of its load now."""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from poplarrun.clients import HostKind
from poplarrun.contracts import VersionId

# Sends and ends that are remembered between two reports; more are forgotten,
# oldest first, so that an engine without reports can't grow this host's memory.
MAX_RECORDED_TIMES = 512
# A report older than this says nothing about the load now.
REPORT_TTL_S = 30.0


@dataclass
class BackgroundLoadModel:
    """How the load that other hosts give an endpoint drifts while a report ages.

    Other hosts read the same late reports and fill the endpoints that look
    empty, so a deviation from the pool's mean fades. How fast is measured: each
    new report is compared with the one before it.

    Attributes
    ----------
    mean : float
        Mean load by other hosts, in requests for each place of the batch.
    fade_s : float
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
        """Take in two successive loads of one endpoint by other hosts."""
        keep = self._decay
        self.mean += (1.0 - keep) * (after - self.mean)
        self._weight = keep * self._weight + 1.0
        self._products = keep * self._products + (before - self.mean) * (after - self.mean)
        self._squares = keep * self._squares + (before - self.mean) ** 2
        self._interval_s = keep * self._interval_s + interval_s
        if self._squares > 0.0:
            kept_share = min(0.99, max(0.05, self._products / self._squares))
            self.decay_time_s = -(self._interval_s / self._weight) / math.log(kept_share)

    def estimate_at_age(self, others: float, age_s: float) -> float:
        """Return the expected load by other hosts when a report has this age."""
        return self.mean + (others - self.mean) * math.exp(-age_s / max(self.decay_time_s, 1e-3))


@dataclass(eq=False)
class Endpoint:
    """A model engine or a plain service, as this host sees it.

    Attributes
    ----------
    name, kind, zone, address, service
        As listed.
    leaving : bool
        It gets no new work.
    versions : frozenset of VersionId
        Versions that it reports as loaded.
    reported : float
        Requests in and before its batch, by its last report.
    true_at : float
        When that report was true; -inf before the first one.
    capacity : int
        Requests in its batch.
    in_flight : int
        Requests of this host that run there now.
    known_since : float
        When it was first listed, or came back.
    paused_until : float
        Time before which it is passed over, after a failure.
    failures : int
        Failures since its last success; those during one pause count once.
    unreachable : bool
        Whether its last failure showed that nothing listens there.
    failed_at : float
        When it last failed.
    refusals : int
        Times in a row that it said that it is full.
    doubted_until : float
        Time before which it is only asked where the others are full.
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
        true_at: float,
        models: Sequence[BackgroundLoadModel] = (),
    ) -> None:
        """Take in a report that was true at a time; an older one than the last is dropped."""
        if true_at <= self.measured_at:
            return
        before, interval_s = self._estimate_background_requests(), true_at - self.measured_at
        had_report = math.isfinite(self.measured_at)
        self.reported_requests = requests
        self.capacity = max(1, capacity)
        self.measured_at = true_at
        _discard_until(self.sent_at, true_at)
        _discard_until(self.finished_at, true_at)
        if had_report:
            after = self._estimate_background_requests() / self.capacity
            for model in models:
                model.update(before / self.capacity, after, interval_s)

    def record_sent(self, now: float) -> None:
        """Count a request that goes out."""
        self.in_flight += 1
        self.sent_at.append(now)

    def record_finished(self, now: float) -> None:
        """Count a request that came back."""
        self.in_flight = max(0, self.in_flight - 1)
        self.finished_at.append(now)

    def estimate_requests(self, now: float, others: BackgroundLoadModel) -> float:
        """Return the requests expected in and before the batch now.

        This host's own requests are known exactly. The report gives those of
        the other hosts at the time when it was true, as the rest.
        """
        age_s = now - self.measured_at
        if age_s > REPORT_TTL_S:
            return self.in_flight + others.mean * self.capacity
        then = self._estimate_background_requests() / self.capacity
        return self.in_flight + max(0.0, others.estimate_at_age(then, age_s)) * self.capacity

    def compute_load(self) -> float:
        """Return the load by the last report and own requests, for each place of the batch."""
        return (self.in_flight + self._estimate_background_requests()) / self.capacity

    def _estimate_background_requests(self) -> float:
        own_then = self.in_flight - len(self.sent_at) + len(self.finished_at)
        return max(0.0, self.reported_requests - max(0, own_then))


def _discard_until(times: deque[float], until: float) -> None:
    while times and times[0] <= until:
        times.popleft()
