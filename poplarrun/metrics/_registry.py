"""The metrics of one host. Not thread-safe: updated on the event loop only."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from poplarrun.errors import ErrorKind

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000


def ignore_event(_: str) -> None:
    """Discard an event; the counter of components that run without metrics."""


def measure_nothing() -> Mapping[str, int]:
    """Return no bytes; for components without buffers."""
    return {}


@dataclass
class Metrics:
    """Counters and histograms of one host.

    Attributes
    ----------
    refusal_counts : Counter of str
        Refusals by error kind.
    retry_counts : Counter of str
        Retries by reason.
    event_counts : Counter of str
        Other events by name.
    request_counts : Counter of str
        Requests by work class.
    line_counts : mapping of str to int
        Log lines by event, whether written or dropped.
    peer_bytes : mapping of str to int
        Bytes sent to other hosts by the type of message.
    measure_buffers : callable
        Returns the bytes that are buffered now, by what they are.
    histograms : dict of (str, str) to HdrHistogram
        Latencies in microseconds, by name and label.
    """

    refusal_counts: Counter[str] = field(default_factory=Counter)
    retry_counts: Counter[str] = field(default_factory=Counter)
    event_counts: Counter[str] = field(default_factory=Counter)
    request_counts: Counter[str] = field(default_factory=Counter)
    line_counts: Mapping[str, int] = field(default_factory=dict)
    peer_bytes: Mapping[str, int] = field(default_factory=dict)
    measure_buffers: Callable[[], Mapping[str, int]] = measure_nothing
    histograms: dict[tuple[str, str], HdrHistogram] = field(default_factory=dict)

    def count_refusal(self, kind: ErrorKind) -> None:
        """Count one refusal that was sent to a caller."""
        self.refusal_counts[kind.value] += 1

    def count_retry(self, reason: str) -> None:
        """Count one retry."""
        self.retry_counts[reason] += 1

    def count_event(self, event: str, amount: int = 1) -> None:
        """Count an event that is neither a refusal nor a retry."""
        self.event_counts[event] += amount

    def count_request(self, work_class: str) -> None:
        """Count one request of a work class, refused or not."""
        self.request_counts[work_class] += 1

    def record_latency(self, name: str, label: str, seconds: float) -> None:
        """Record one latency in the histogram of a name and a label."""
        histogram = self.histograms.get((name, label))
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self.histograms[(name, label)] = histogram
        histogram.record_value(max(MIN_LATENCY_US, int(seconds * MICROSECONDS_PER_SECOND)))

    def attach_line_counts(self, counts: Mapping[str, int]) -> None:
        """Expose the log handler's counts of lines by event, which it goes on updating."""
        self.line_counts = counts

    def attach_peer_bytes(self, counts: Mapping[str, int]) -> None:
        """Expose the counts of bytes sent to other hosts, which go on being updated."""
        self.peer_bytes = counts

    def attach_buffered_bytes(self, measure: Callable[[], Mapping[str, int]]) -> None:
        """Expose the bytes that are buffered when the metrics are read."""
        self.measure_buffers = measure

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Imported on the first scrape: loading the library at the start would delay the
        # time at which a restarted host serves its callers.
        from poplarrun.metrics._exposition import render_metrics

        return render_metrics(self)
