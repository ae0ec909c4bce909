"""Placement of model versions on engines: demand, plan, and the orders to load or unload."""

from poplarrun.orders._controller import (
    ENGINE_GONE_TIMEOUT_S,
    ENGINE_POLL_INTERVAL_S,
    MAX_CONCURRENT_LOADS,
    FetchWeights,
    OrderController,
    SendOrder,
)
from poplarrun.orders._demand import DemandCounter, OpenRequest
from poplarrun.orders._plan import MIN_RESIDENCE_TIME_S, EngineCapacity, Plan, Planner, VersionNeed
from poplarrun.orders._summaries import (
    DEMAND_TOPIC,
    ORDERS_TOPIC,
    DemandSummary,
    DrainRevision,
    OrdersSummary,
    VersionDemand,
    decode_demand,
    decode_orders,
    encode_demand,
    hash_version,
    sum_demand,
)

__all__ = [
    "DEMAND_TOPIC",
    "ENGINE_GONE_TIMEOUT_S",
    "ENGINE_POLL_INTERVAL_S",
    "MAX_CONCURRENT_LOADS",
    "MIN_RESIDENCE_TIME_S",
    "ORDERS_TOPIC",
    "DemandCounter",
    "DemandSummary",
    "DrainRevision",
    "EngineCapacity",
    "FetchWeights",
    "OpenRequest",
    "OrderController",
    "OrdersSummary",
    "Plan",
    "Planner",
    "SendOrder",
    "VersionDemand",
    "VersionNeed",
    "decode_demand",
    "decode_orders",
    "encode_demand",
    "hash_version",
    "sum_demand",
]
