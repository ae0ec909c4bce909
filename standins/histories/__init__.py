"""Simulates concurrent requests under injected faults and checks the recorded histories."""

from standins.histories._chat_events import (
    AttemptGranted,
    ChatAnswer,
    ChatEnd,
    ChatHistory,
    ChatInvoke,
    ConfigurationApplied,
    Generation,
    GenerationStarted,
    SessionDisruption,
    VersionPolicy,
    VersionWithdrawn,
)
from standins.histories._chat_rules import check_chats
from standins.histories._chat_schedule import ChatResult, run_chats
from standins.histories._events import Answer, AnswerKind, Effect, History, Invoke, RecordedBill
from standins.histories._loop import VirtualLoop, run_virtual
from standins.histories._rules import Violation, check_history
from standins.histories._schedule import RunResult, run_schedule

__all__ = [
    "Answer",
    "AnswerKind",
    "AttemptGranted",
    "ChatAnswer",
    "ChatEnd",
    "ChatHistory",
    "ChatInvoke",
    "ChatResult",
    "ConfigurationApplied",
    "Effect",
    "Generation",
    "GenerationStarted",
    "History",
    "Invoke",
    "RecordedBill",
    "RunResult",
    "SessionDisruption",
    "VersionPolicy",
    "VersionWithdrawn",
    "Violation",
    "VirtualLoop",
    "check_chats",
    "check_history",
    "run_chats",
    "run_schedule",
    "run_virtual",
]
