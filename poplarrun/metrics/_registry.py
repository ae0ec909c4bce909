"""The metrics of one host; written on the loop only."""

from collections import Counter
from collections.abc import Mapping

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client import Counter as PrometheusCounter
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from poplarrun.errors import ErrorKind

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000
QUANTILES = (50.0, 95.0, 99.0)


def ignore_event(_: str) -> None:
    """Count nothing: for parts that run without metrics."""


class Metrics:
    """Counters and histograms of one host."""

    def __init__(self) -> None:
        self.refusal_counts: Counter[str] = Counter()
        self._registry = CollectorRegistry()
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}
        self._refusals = self._counter("poplarrun_refusals", "Refusals by error kind", "kind")
        self._retries = self._counter("poplarrun_retries", "Retries by reason", "reason")
        self._events = self._counter("poplarrun_events", "Other events by name", "event")
        self._requests = self._counter("poplarrun_requests", "Requests by class", "work_class")
        self._registry.register(_Quantiles(self._histograms))

    def count_refusal(self, kind: ErrorKind) -> None:
        """Count one refusal that a caller saw."""
        self.refusal_counts[kind.value] += 1
        self._refusals.labels(kind.value).inc()

    def count_retry(self, reason: str) -> None:
        """Count one repeated attempt."""
        self._retries.labels(reason).inc()

    def count_event(self, event: str, amount: float = 1) -> None:
        """Count anything else that an operator may ask for."""
        self._events.labels(event).inc(amount)

    def count_request(self, work_class: str) -> None:
        """Count one request of a class, refused or not."""
        self._requests.labels(work_class).inc()

    def record_latency(self, name: str, label: str, seconds: float) -> None:
        """Record one latency under a name and a label."""
        histogram = self._histograms.get((name, label))
        if histogram is None:
            histogram = HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
            self._histograms[(name, label)] = histogram
        histogram.record_value(max(LOWEST_MICROSECONDS, int(seconds * MICROSECONDS_PER_SECOND)))

    def expose_lines(self, counts: Mapping[str, int]) -> None:
        """Give out how many lines of each event were logged, by a mapping that grows."""
        self._registry.register(_Lines(counts))

    def render(self) -> bytes:
        """Return everything in the Prometheus text form."""
        return generate_latest(self._registry)

    def _counter(self, name: str, text: str, label: str) -> PrometheusCounter:
        return PrometheusCounter(name, text, [label], registry=self._registry)


class _Quantiles(Collector):
    """Gives the histograms out as gauges, one a quantile."""

    def __init__(self, histograms: dict[tuple[str, str], HdrHistogram]) -> None:
        self._histograms = histograms

    def collect(self) -> list[Metric]:
        family = GaugeMetricFamily(
            "poplarrun_latency_seconds", "Latency quantiles", labels=["name", "label", "quantile"]
        )
        for (name, label), histogram in self._histograms.items():
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / MICROSECONDS_PER_SECOND
                family.add_metric([name, label, str(quantile / 100)], value)
        return [family]


class _Lines(Collector):
    """Gives out counts that the log keeps."""

    def __init__(self, counts: Mapping[str, int]) -> None:
        self._counts = counts

    def collect(self) -> list[Metric]:
        family = CounterMetricFamily(
            "poplarrun_log_lines", "Log lines by event, written or left out", labels=["event"]
        )
        for event, count in self._counts.items():
            family.add_metric([event], count)
        return [family]
