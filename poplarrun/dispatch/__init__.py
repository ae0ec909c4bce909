"""Dispatch: admits requests, chooses their endpoints and decides on retries."""

from poplarrun.dispatch._config_view import ConfigView
from poplarrun.dispatch._crash_guard import CrashGuard, start_of
from poplarrun.dispatch._dispatcher import Dispatcher, SendDecision
from poplarrun.dispatch._failures import (
    AnswerFailed,
    Attempt,
    ConnectionBroke,
    CutOffUnread,
    Failure,
    Garbled,
    NoConnection,
    SaidNotRun,
    TookTooLong,
    Withheld,
    failure_label,
    may_have_run,
)
from poplarrun.dispatch._load_tests import (
    CopyOutcome,
    CopySend,
    LoadTestPlanner,
    copy_request,
    divide_copies,
)
from poplarrun.dispatch._refusals import ALL_HELD_OFF, explain_no_endpoint, refuse_held_off
from poplarrun.dispatch._timeouts import can_abandon, event_gap_timeout_s, first_event_timeout_s
from poplarrun.dispatch._zone_offers import OfferedEndpoint

__all__ = [
    "ALL_HELD_OFF",
    "AnswerFailed",
    "Attempt",
    "ConfigView",
    "ConnectionBroke",
    "CopyOutcome",
    "CopySend",
    "CrashGuard",
    "CutOffUnread",
    "Dispatcher",
    "Failure",
    "Garbled",
    "LoadTestPlanner",
    "NoConnection",
    "OfferedEndpoint",
    "SaidNotRun",
    "SendDecision",
    "TookTooLong",
    "Withheld",
    "can_abandon",
    "copy_request",
    "divide_copies",
    "event_gap_timeout_s",
    "explain_no_endpoint",
    "failure_label",
    "first_event_timeout_s",
    "may_have_run",
    "refuse_held_off",
    "start_of",
]
