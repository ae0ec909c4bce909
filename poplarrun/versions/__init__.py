"""Versions: estimates, the choice among versions, exposure and roll-outs."""

from poplarrun.versions._cascades import Cut, find_cut, make_cuts
from poplarrun.versions._cells import TRIAL_BAR, Estimate, Standing
from poplarrun.versions._choice import (
    Choice,
    ChoiceRequest,
    Chosen,
    Escalation,
    NothingAffordable,
    NothingAllowed,
    NothingMeets,
    Selector,
)
from poplarrun.versions._estimates import Estimates
from poplarrun.versions._evidence import (
    EVIDENCE_TOPIC,
    AnswerSeen,
    CellKey,
    Evidence,
    decode_summary,
    encode_summary,
    merge_summaries,
)
from poplarrun.versions._exposure import Exposure
from poplarrun.versions._judges import ConfidenceJudge, Judge, JudgedAnswer, MemoryJudge
from poplarrun.versions._part import Versions
from poplarrun.versions._rollouts import (
    ROLLOUTS_STREAM,
    Closed,
    Granted,
    RolloutRecord,
    Rollouts,
    RolloutState,
    Settled,
    Snapshot,
    decode_rollout,
    encode_rollout,
    fold_rollout,
    name_holder,
)
from poplarrun.versions._sampling import RatingSampler, SampledAnswer
from poplarrun.versions._sessions import (
    SessionKeeper,
    choose_homes,
    read_session,
    sign_session,
)
from poplarrun.versions._steward import DueRecord, Steward, StewardView
from poplarrun.versions._tests import ChangeDetector, bets_above, bets_below, log_capital

__all__ = [
    "EVIDENCE_TOPIC",
    "ROLLOUTS_STREAM",
    "TRIAL_BAR",
    "AnswerSeen",
    "CellKey",
    "ChangeDetector",
    "Choice",
    "ChoiceRequest",
    "Chosen",
    "Closed",
    "ConfidenceJudge",
    "Cut",
    "DueRecord",
    "Escalation",
    "Estimate",
    "Estimates",
    "Evidence",
    "Exposure",
    "Granted",
    "Judge",
    "JudgedAnswer",
    "MemoryJudge",
    "NothingAffordable",
    "NothingAllowed",
    "NothingMeets",
    "RatingSampler",
    "RolloutRecord",
    "RolloutState",
    "Rollouts",
    "SampledAnswer",
    "Selector",
    "SessionKeeper",
    "Settled",
    "Snapshot",
    "Standing",
    "Steward",
    "StewardView",
    "Versions",
    "bets_above",
    "bets_below",
    "choose_homes",
    "decode_rollout",
    "decode_summary",
    "encode_rollout",
    "encode_summary",
    "find_cut",
    "fold_rollout",
    "log_capital",
    "make_cuts",
    "merge_summaries",
    "name_holder",
    "read_session",
    "sign_session",
]
