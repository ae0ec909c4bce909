"""The decisions about one request, from its arrival to its bill."""

from poplarrun.router._context import RouterContext
from poplarrun.router._messages import (
    AttemptFailed,
    BeginChat,
    BeginOperation,
    Bill,
    CallFailed,
    ChatGrant,
    EndChat,
    EndOperation,
    Explanation,
    FindOperation,
    FirstToken,
    HandedOver,
    OperationGrant,
    Replay,
    SendOperation,
)
from poplarrun.router._router import Router

__all__ = [
    "AttemptFailed",
    "BeginChat",
    "BeginOperation",
    "Bill",
    "CallFailed",
    "ChatGrant",
    "EndChat",
    "EndOperation",
    "Explanation",
    "FindOperation",
    "FirstToken",
    "HandedOver",
    "OperationGrant",
    "Replay",
    "Router",
    "RouterContext",
    "SendOperation",
]
