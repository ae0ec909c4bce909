"""Routing: the configuration of routes, services and client accounts, and the requests."""

from poplarrun.routing._catalogue import (
    NO_WARM_UP_LIMIT,
    Account,
    CacheTransfer,
    CallerLimits,
    Catalogue,
    LatencyTargets,
    ModelSize,
    RepeatPolicy,
    Route,
    Service,
    ServiceWeight,
    WarmUpLimit,
)
from poplarrun.routing._requests import InFlightRequest, PromptPart, Request
from poplarrun.routing._rollouts import RolloutOrder, RolloutPhase, RolloutStatus

__all__ = [
    "NO_WARM_UP_LIMIT",
    "Account",
    "CacheTransfer",
    "CallerLimits",
    "Catalogue",
    "InFlightRequest",
    "LatencyTargets",
    "ModelSize",
    "PromptPart",
    "RepeatPolicy",
    "Request",
    "RolloutOrder",
    "RolloutPhase",
    "RolloutStatus",
    "Route",
    "Service",
    "ServiceWeight",
    "WarmUpLimit",
]
