"""Histories of concurrent runs under faults, in virtual time, and the rules that they must keep."""

from standins.histories._events import Answer, AnswerKind, BillRecorded, Effect, History, Invoke
from standins.histories._loop import VirtualLoop, run_virtual
from standins.histories._rules import Violation, check_history
from standins.histories._schedule import RunResult, run_schedule

__all__ = [
    "Answer",
    "AnswerKind",
    "BillRecorded",
    "Effect",
    "History",
    "Invoke",
    "RunResult",
    "Violation",
    "VirtualLoop",
    "check_history",
    "run_schedule",
    "run_virtual",
]
