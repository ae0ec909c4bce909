"""Roll-outs of endpoint versions: operators order them and the hosts carry them out."""

from poplarrun.rollouts._evidence import (
    UNDER_LOAD,
    AnswerStatistics,
    AnswerTimes,
    ComparisonStage,
    Tally,
)
from poplarrun.rollouts._rollouts import (
    Rollout,
    Rollouts,
    RolloutVerdict,
    VersionChoice,
    VersionReason,
)
from poplarrun.rollouts._sessions import PinnedSession, SessionKey, SessionPins

__all__ = [
    "UNDER_LOAD",
    "AnswerStatistics",
    "AnswerTimes",
    "ComparisonStage",
    "PinnedSession",
    "Rollout",
    "RolloutVerdict",
    "Rollouts",
    "SessionKey",
    "SessionPins",
    "Tally",
    "VersionChoice",
    "VersionReason",
]
