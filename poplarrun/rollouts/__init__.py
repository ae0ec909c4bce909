"""Roll-outs of endpoint versions that operators order and the system carries out."""

from poplarrun.rollouts._evidence import LOADED, Evidence, Stage, Tally, Times
from poplarrun.rollouts._rollouts import Rollout, Rollouts, Verdict, VersionChoice, VersionReason
from poplarrun.rollouts._sessions import HeldSession, SessionKey, Sessions

__all__ = [
    "LOADED",
    "Evidence",
    "HeldSession",
    "Rollout",
    "Rollouts",
    "SessionKey",
    "Sessions",
    "Stage",
    "Tally",
    "Times",
    "Verdict",
    "VersionChoice",
    "VersionReason",
]
