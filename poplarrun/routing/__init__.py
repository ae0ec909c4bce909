"""Routing: which route, services, client account and limits a request falls under."""

from poplarrun.routing._catalogue import (
    Account,
    CallerLimits,
    Catalogue,
    Pace,
    Repeat,
    Route,
    Service,
    Share,
    Size,
)
from poplarrun.routing._requests import PromptPart, Request, Work
from poplarrun.routing._rollouts import RolloutOrder, RolloutPhase, RolloutStatus

__all__ = [
    "Account",
    "CallerLimits",
    "Catalogue",
    "Pace",
    "PromptPart",
    "Repeat",
    "Request",
    "RolloutOrder",
    "RolloutPhase",
    "RolloutStatus",
    "Route",
    "Service",
    "Share",
    "Size",
    "Work",
]
