"""Request routing of an entry host: versions, endpoints, retries and bills."""

from poplarrun.router._context import RouterContext
from poplarrun.router._engine_dispatcher import (
    Dispatched,
    EngineDispatcher,
    EngineRequest,
    NoEndpoint,
    StartOutcome,
)
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
    JudgeChat,
    OperationGrant,
    Replay,
    SendOperation,
    SendResult,
)
from poplarrun.router._router import Router

__all__ = [
    "AnswerAccepted",
    "AttemptFailed",
    "BeginChat",
    "BeginOperation",
    "CallFailed",
    "ChatGrant",
    "Dispatched",
    "EndChat",
    "EndOperation",
    "EngineDispatcher",
    "EngineRequest",
    "Explanation",
    "FindOperation",
    "FirstToken",
    "JudgeChat",
    "NoEndpoint",
    "OperationGrant",
    "Replay",
    "Router",
    "RouterContext",
    "SendOperation",
    "SendResult",
    "StartOutcome",
]
