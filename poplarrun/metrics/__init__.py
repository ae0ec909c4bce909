"""Counters by reason, and latency quantiles."""

from poplarrun.metrics._registry import Metrics, ignore_event

__all__ = ["Metrics", "ignore_event"]
