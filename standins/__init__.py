"""Stand-ins for the outside systems, for tests, the demo and benchmarks."""

from standins.engine import EngineSettings, EngineStandIn
from standins.hostlist import HostListStandIn
from standins.logservice import LogStandIn
from standins.ratings import RatingsStandIn
from standins.service import ServiceStandIn
from standins.weights import WeightsStandIn

__all__ = [
    "EngineSettings",
    "EngineStandIn",
    "HostListStandIn",
    "LogStandIn",
    "RatingsStandIn",
    "ServiceStandIn",
    "WeightsStandIn",
]
