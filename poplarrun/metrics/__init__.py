"""Counters by reason, and latency quantiles."""

from poplarrun.metrics._registry import Metrics

__all__ = ["Metrics"]
