"""Histories of concurrent runs under faults, in virtual time, and the rules that they must keep."""

from standins.histories._chat_events import (
    Began,
    ChatAnswer,
    ChatEnd,
    ChatHistory,
    ChatInvoke,
    Disturbed,
    Generation,
    Granted,
    InForce,
    Terms,
    Withdrawn,
)
from standins.histories._chat_rules import check_chats
from standins.histories._chat_schedule import ChatResult, run_chats
from standins.histories._events import Answer, AnswerKind, BillRecorded, Effect, History, Invoke
from standins.histories._loop import VirtualLoop, run_virtual
from standins.histories._rules import Violation, check_history
from standins.histories._schedule import RunResult, run_schedule

__all__ = [
    "Answer",
    "AnswerKind",
    "Began",
    "BillRecorded",
    "ChatAnswer",
    "ChatEnd",
    "ChatHistory",
    "ChatInvoke",
    "ChatResult",
    "Disturbed",
    "Effect",
    "Generation",
    "Granted",
    "History",
    "InForce",
    "Invoke",
    "RunResult",
    "Terms",
    "Violation",
    "VirtualLoop",
    "Withdrawn",
    "check_chats",
    "check_history",
    "run_chats",
    "run_schedule",
    "run_virtual",
]
