"""Endpoints: which are known, how loaded they are, which one gets the next call."""

from poplarrun.endpoints._choice import NO_DEMAND, Choice, Chooser, Demand
from poplarrun.endpoints._endpoint import Endpoint, OthersModel
from poplarrun.endpoints._ownership import assign_endpoints
from poplarrun.endpoints._pool import Pool
from poplarrun.endpoints._prefix import PrefixIndex, PrefixMatch
from poplarrun.endpoints._sharing import LOAD_TOPIC, LoadSharing, LoadSummary, merge_summaries
from poplarrun.endpoints._table import EndpointTable

__all__ = [
    "LOAD_TOPIC",
    "NO_DEMAND",
    "Choice",
    "Chooser",
    "Demand",
    "Endpoint",
    "EndpointTable",
    "LoadSharing",
    "LoadSummary",
    "OthersModel",
    "Pool",
    "PrefixIndex",
    "PrefixMatch",
    "assign_endpoints",
    "merge_summaries",
]
