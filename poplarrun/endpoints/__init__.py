"""Endpoints: which are known, how loaded they are, which one gets the next call."""

from poplarrun.endpoints._choice import NO_DEMAND, Choice, Chooser, Demand
from poplarrun.endpoints._endpoint import Endpoint, OthersModel
from poplarrun.endpoints._pool import Pool, PoolSpeed
from poplarrun.endpoints._prefix import PrefixIndex, PrefixMatch, home_of
from poplarrun.endpoints._table import EndpointTable

__all__ = [
    "NO_DEMAND",
    "Choice",
    "Chooser",
    "Demand",
    "Endpoint",
    "EndpointTable",
    "OthersModel",
    "Pool",
    "PoolSpeed",
    "PrefixIndex",
    "PrefixMatch",
    "home_of",
]
