"""The decisions about one request, from its arrival to its bill."""

from poplarrun.router._context import RouterContext
from poplarrun.router._dispatch import Dispatch, Job, NoEndpoint, Sent, Start
from poplarrun.router._messages import (
    AnswerAccepted,
    AttemptFailed,
    BeginChat,
    BeginOperation,
    CallFailed,
    ChatGrant,
    EndChat,
    EndOperation,
    Explanation,
    FindOperation,
    FirstToken,
    HandedOver,
    JudgeChat,
    OperationGrant,
    Replay,
    SendOperation,
)
from poplarrun.router._router import Router

__all__ = [
    "AnswerAccepted",
    "AttemptFailed",
    "BeginChat",
    "BeginOperation",
    "CallFailed",
    "ChatGrant",
    "Dispatch",
    "EndChat",
    "EndOperation",
    "Explanation",
    "FindOperation",
    "FirstToken",
    "HandedOver",
    "Job",
    "JudgeChat",
    "NoEndpoint",
    "OperationGrant",
    "Replay",
    "Router",
    "RouterContext",
    "SendOperation",
    "Sent",
    "Start",
]
