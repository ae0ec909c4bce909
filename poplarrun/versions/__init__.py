"""Model versions: quality estimates, version selection, and roll-outs with bounded exposure."""

from poplarrun.versions._cascades import ScoreCutoff, find_cutoff, make_cutoffs
from poplarrun.versions._cells import TRIAL_LOG_CAPITAL_LIMIT, Estimate, Standing
from poplarrun.versions._choice import (
    Choice,
    ChoiceRequest,
    ChosenVersion,
    Escalation,
    NoVersionAffordable,
    NoVersionAllowed,
    NoVersionMeetsTargets,
    VersionSelector,
)
from poplarrun.versions._controller import ControllerView, DueRecord, VersionRolloutController
from poplarrun.versions._estimates import Estimates
from poplarrun.versions._evidence import (
    EVIDENCE_TOPIC,
    AnswerObservation,
    CellKey,
    Evidence,
    decode_summary,
    encode_summary,
    merge_summaries,
)
from poplarrun.versions._exposure import ExposureBudget
from poplarrun.versions._judges import ConfidenceJudge, Judge, JudgedAnswer, MemoryJudge
from poplarrun.versions._manager import VersionManager
from poplarrun.versions._rollouts import (
    ROLLOUTS_STREAM,
    Closed,
    Granted,
    RolloutRecord,
    RolloutState,
    RolloutTable,
    Settled,
    Snapshot,
    decode_rollout,
    encode_rollout,
    fold_rollout,
    format_process_name,
)
from poplarrun.versions._sampling import RatingSampler, SampledAnswer
from poplarrun.versions._sequential_tests import ChangeDetector, bets_above, bets_below, log_capital
from poplarrun.versions._sessions import (
    SessionRegistry,
    choose_session_replicas,
    sign_session_token,
    verify_session_token,
)

__all__ = [
    "EVIDENCE_TOPIC",
    "ROLLOUTS_STREAM",
    "TRIAL_LOG_CAPITAL_LIMIT",
    "AnswerObservation",
    "CellKey",
    "ChangeDetector",
    "Choice",
    "ChoiceRequest",
    "ChosenVersion",
    "Closed",
    "ConfidenceJudge",
    "ControllerView",
    "DueRecord",
    "Escalation",
    "Estimate",
    "Estimates",
    "Evidence",
    "ExposureBudget",
    "Granted",
    "Judge",
    "JudgedAnswer",
    "MemoryJudge",
    "NoVersionAffordable",
    "NoVersionAllowed",
    "NoVersionMeetsTargets",
    "RatingSampler",
    "RolloutRecord",
    "RolloutState",
    "RolloutTable",
    "SampledAnswer",
    "ScoreCutoff",
    "SessionRegistry",
    "Settled",
    "Snapshot",
    "Standing",
    "VersionManager",
    "VersionRolloutController",
    "VersionSelector",
    "bets_above",
    "bets_below",
    "choose_session_replicas",
    "decode_rollout",
    "decode_summary",
    "encode_rollout",
    "encode_summary",
    "find_cutoff",
    "fold_rollout",
    "format_process_name",
    "log_capital",
    "make_cutoffs",
    "merge_summaries",
    "sign_session_token",
    "verify_session_token",
]
