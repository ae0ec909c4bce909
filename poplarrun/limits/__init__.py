"""Limits of client accounts over all hosts together."""

from poplarrun.limits._accounts import AccountLimits, Limited
from poplarrun.limits._loans import LOAN_MESSAGE, Loan, encode_loan
from poplarrun.limits._shares import (
    MATURE_ROUNDS,
    ROUND_S,
    START_ROUNDS,
    VIEW_ROUNDS,
    Claimant,
    Share,
    ShareView,
)
from poplarrun.limits._starts import ASKED_AT_START, SETTLED_ROUNDS
from poplarrun.limits._summaries import LIMITS_TOPIC, LimitKind

__all__ = [
    "ASKED_AT_START",
    "LIMITS_TOPIC",
    "LOAN_MESSAGE",
    "MATURE_ROUNDS",
    "ROUND_S",
    "SETTLED_ROUNDS",
    "START_ROUNDS",
    "VIEW_ROUNDS",
    "AccountLimits",
    "Claimant",
    "LimitKind",
    "Limited",
    "Loan",
    "Share",
    "ShareView",
    "encode_loan",
]
