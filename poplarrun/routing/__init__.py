"""Routing: the configuration of routes, services and client accounts, and the requests."""

from poplarrun.routing._catalogue import (
    Account,
    CallerLimits,
    Catalogue,
    LatencyTargets,
    ModelSize,
    RepeatPolicy,
    Route,
    Service,
    ServiceWeight,
)
from poplarrun.routing._requests import InFlightRequest, PromptPart, Request
from poplarrun.routing._rollouts import RolloutOrder, RolloutPhase, RolloutStatus

__all__ = [
    "Account",
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
]
