"""Rate, stream and spend limits of client accounts, enforced over all hosts together."""

from poplarrun.limits._accounts import AccountLimits, LimitExceeded
from poplarrun.limits._loans import LOAN_MESSAGE, Loan, encode_loan
from poplarrun.limits._reports import LIMITS_TOPIC, LimitKind
from poplarrun.limits._shares import (
    ACTIVATION_ROUNDS,
    PROPAGATION_ROUNDS,
    RAMP_UP_ROUNDS,
    ROUND_INTERVAL_S,
    Share,
    ShareReport,
    ShareView,
)
from poplarrun.limits._startup import MAX_STARTUP_LENDERS, STABLE_ROUNDS

__all__ = [
    "ACTIVATION_ROUNDS",
    "LIMITS_TOPIC",
    "LOAN_MESSAGE",
    "MAX_STARTUP_LENDERS",
    "PROPAGATION_ROUNDS",
    "RAMP_UP_ROUNDS",
    "ROUND_INTERVAL_S",
    "STABLE_ROUNDS",
    "AccountLimits",
    "LimitExceeded",
    "LimitKind",
    "Loan",
    "Share",
    "ShareReport",
    "ShareView",
    "encode_loan",
]
