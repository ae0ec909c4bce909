"""Counters and latency histograms of one host, exposed to Prometheus."""

from poplarrun.metrics._registry import Metrics, ignore_event

__all__ = ["Metrics", "ignore_event"]
