"""Speeds that are learnt from what is observed."""

from poplarrun.speeds._pool_speed import PoolSpeed

__all__ = ["PoolSpeed"]
