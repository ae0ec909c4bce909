"""The metrics of one host; written on the loop only."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from poplarrun.errors import ErrorKind

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000


def ignore_event(_: str) -> None:
    """Count nothing: for parts that run without metrics."""


@dataclass
class Metrics:
    """Counters and histograms of one host.

    Attributes
    ----------
    refusal_counts, retry_counts, event_counts, request_counts : Counter of str
        By error kind, reason, name of the event and class.
    line_counts : mapping of str to int
        Log lines by event, written or left out.
    histograms : dict of (str, str) to HdrHistogram
        Microseconds by name and label.
    """

    refusal_counts: Counter[str] = field(default_factory=Counter)
    retry_counts: Counter[str] = field(default_factory=Counter)
    event_counts: Counter[str] = field(default_factory=Counter)
    request_counts: Counter[str] = field(default_factory=Counter)
    line_counts: Mapping[str, int] = field(default_factory=dict)
    histograms: dict[tuple[str, str], HdrHistogram] = field(default_factory=dict)

    def count_refusal(self, kind: ErrorKind) -> None:
        """Count one refusal that a caller saw."""
        self.refusal_counts[kind.value] += 1

    def count_retry(self, reason: str) -> None:
        """Count one repeated attempt."""
        self.retry_counts[reason] += 1

    def count_event(self, event: str, amount: int = 1) -> None:
        """Count anything else that an operator may ask for."""
        self.event_counts[event] += amount

    def count_request(self, work_class: str) -> None:
        """Count one request of a class, refused or not."""
        self.request_counts[work_class] += 1

    def record_latency(self, name: str, label: str, seconds: float) -> None:
        """Record one latency under a name and a label."""
        histogram = self.histograms.get((name, label))
        if histogram is None:
            histogram = HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
            self.histograms[(name, label)] = histogram
        histogram.record_value(max(LOWEST_MICROSECONDS, int(seconds * MICROSECONDS_PER_SECOND)))

    def attach_line_counts(self, counts: Mapping[str, int]) -> None:
        """Give out how many lines of each event were logged, by a mapping that grows."""
        self.line_counts = counts

    def render(self) -> bytes:
        """Return everything in the Prometheus text form."""
        # The library is loaded by the first reader: a host that starts anew would
        # otherwise keep its callers waiting for it.
        from poplarrun.metrics._exposition import render_metrics

        return render_metrics(self)
