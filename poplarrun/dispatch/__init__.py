"""Dispatch: whether a request may run, where it goes, and what follows a failure."""

from poplarrun.dispatch._dispatch import Dispatch, Send
from poplarrun.dispatch._failures import (
    AnswerFailed,
    Attempt,
    ConnectionBroke,
    Failure,
    Garbled,
    NoConnection,
    SaidNotRun,
    TookTooLong,
    may_have_run,
    reason_of,
)
from poplarrun.dispatch._knowledge import Knowledge
from poplarrun.dispatch._patience import first_patience_s, gap_patience_s

__all__ = [
    "AnswerFailed",
    "Attempt",
    "ConnectionBroke",
    "Dispatch",
    "Failure",
    "Garbled",
    "Knowledge",
    "NoConnection",
    "SaidNotRun",
    "Send",
    "TookTooLong",
    "first_patience_s",
    "gap_patience_s",
    "may_have_run",
    "reason_of",
]
