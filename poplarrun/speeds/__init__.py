"""Estimates of endpoint latency from observed requests."""

from poplarrun.speeds._pool_speed import PoolSpeed

__all__ = ["PoolSpeed"]
