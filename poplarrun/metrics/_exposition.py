"""Renders the metrics of one host in the Prometheus text format."""

from collections.abc import Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from poplarrun.metrics._registry import MICROSECONDS_PER_SECOND, Metrics

PERCENTILES = (50.0, 95.0, 99.0)


def render_metrics(metrics: Metrics) -> bytes:
    """Return all counters and latency quantiles as text."""
    registry = CollectorRegistry()
    registry.register(_Families(metrics))
    return generate_latest(registry)


class _Families(Collector):
    """Collects the counters, and each histogram as one gauge per quantile."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        metrics = self._metrics
        yield _make_family(
            "poplarrun_refusals", "Refusals by error kind", "kind", metrics.refusal_counts
        )
        yield _make_family("poplarrun_retries", "Retries by reason", "reason", metrics.retry_counts)
        yield _make_family(
            "poplarrun_events", "Other events by name", "event", metrics.event_counts
        )
        yield _make_family(
            "poplarrun_requests", "Requests by class", "work_class", metrics.request_counts
        )
        yield _make_family(
            "poplarrun_log_lines",
            "Log lines by event, written or left out",
            "event",
            metrics.line_counts,
        )
        yield _make_family(
            "poplarrun_peer_bytes", "Bytes sent to other hosts", "message", metrics.peer_bytes
        )
        yield self._buffer_family()
        yield self._latency_family()

    def _buffer_family(self) -> Metric:
        family = GaugeMetricFamily(
            "poplarrun_buffered_bytes", "Bytes kept for callers and endpoints", labels=["part"]
        )
        for part, size in self._metrics.measure_buffers().items():
            family.add_metric([part], size)
        return family

    def _latency_family(self) -> Metric:
        family = GaugeMetricFamily(
            "poplarrun_latency_seconds", "Latency quantiles", labels=["name", "label", "quantile"]
        )
        for (name, label), histogram in self._metrics.histograms.items():
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_SECOND
                family.add_metric([name, label, str(percentile / 100)], value)
        return family


def _make_family(name: str, documentation: str, label: str, counts: Mapping[str, int]) -> Metric:
    family = CounterMetricFamily(name, documentation, labels=[label])
    for value, count in counts.items():
        family.add_metric([value], count)
    return family
