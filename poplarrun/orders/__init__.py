"""Which engine holds which versions, and the orders that bring it about."""

from poplarrun.orders._demand import DemandCounter, OpenWork
from poplarrun.orders._holder import (
    GONE_S,
    LOADS_AT_ONCE,
    LOOK_S,
    FetchWeights,
    OrderHolder,
    SendOrder,
)
from poplarrun.orders._plan import DWELL_S, EngineRoom, Need, Plan, Planner
from poplarrun.orders._summaries import (
    DEMAND_TOPIC,
    ORDERS_TOPIC,
    DemandSummary,
    OrdersSummary,
    Stamp,
    VersionDemand,
    add_demand,
    decode_demand,
    decode_orders,
    encode_demand,
    hash_version,
)

__all__ = [
    "DEMAND_TOPIC",
    "DWELL_S",
    "GONE_S",
    "LOADS_AT_ONCE",
    "LOOK_S",
    "ORDERS_TOPIC",
    "DemandCounter",
    "DemandSummary",
    "EngineRoom",
    "FetchWeights",
    "Need",
    "OpenWork",
    "OrderHolder",
    "OrdersSummary",
    "Plan",
    "Planner",
    "SendOrder",
    "Stamp",
    "VersionDemand",
    "add_demand",
    "decode_demand",
    "decode_orders",
    "encode_demand",
    "hash_version",
]
