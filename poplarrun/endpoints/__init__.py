"""Back-end endpoints: their state, load estimates and load balancing."""

from poplarrun.endpoints._choice import EMPTY_PROMPT, Choice, EndpointSelector, PromptProfile
from poplarrun.endpoints._endpoint import BackgroundLoadModel, Endpoint
from poplarrun.endpoints._ownership import assign_endpoints
from poplarrun.endpoints._pool import Pool
from poplarrun.endpoints._prefix import PrefixIndex, PrefixMatch
from poplarrun.endpoints._sharing import LOAD_TOPIC, LoadSharing, LoadSummary, merge_summaries
from poplarrun.endpoints._table import EndpointTable

__all__ = [
    "EMPTY_PROMPT",
    "LOAD_TOPIC",
    "BackgroundLoadModel",
    "Choice",
    "Endpoint",
    "EndpointSelector",
    "EndpointTable",
    "LoadSharing",
    "LoadSummary",
    "Pool",
    "PrefixIndex",
    "PrefixMatch",
    "PromptProfile",
    "assign_endpoints",
    "merge_summaries",
]
