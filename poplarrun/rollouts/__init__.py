"""Roll-outs of endpoint versions: operators order them and the hosts carry them out."""

from poplarrun.rollouts._changes import ChangeDetector
from poplarrun.rollouts._evidence import (
    FULL_LOAD,
    UNDER_LOAD,
    AnswerStatistics,
    AnswerTimes,
    ComparisonStage,
    EndpointCounts,
    Tally,
)
from poplarrun.rollouts._load_tests import (
    COPY_TIMEOUT_S,
    EVIDENCE_DELAY_S,
    MAX_PREFILL_S,
    MIN_PROOF_LOAD,
    count_needed_copies,
    count_target_copies,
    divide_test,
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
    "COPY_TIMEOUT_S",
    "EVIDENCE_DELAY_S",
    "FULL_LOAD",
    "MAX_PREFILL_S",
    "MIN_PROOF_LOAD",
    "UNDER_LOAD",
    "AnswerStatistics",
    "AnswerTimes",
    "ChangeDetector",
    "ComparisonStage",
    "EndpointCounts",
    "PinnedSession",
    "Rollout",
    "RolloutVerdict",
    "Rollouts",
    "SessionKey",
    "SessionPins",
    "Tally",
    "VersionChoice",
    "VersionReason",
    "count_needed_copies",
    "count_target_copies",
    "divide_test",
]
