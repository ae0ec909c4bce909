"""Roll-outs of endpoint versions that operators order and the system carries out."""

from poplarrun.rollouts._evidence import LOADED, Evidence, Stage, Tally, Times
from poplarrun.rollouts._rollouts import Rollout, Rollouts, Verdict, VersionChoice, VersionReason

__all__ = [
    "LOADED",
    "Evidence",
    "Rollout",
    "Rollouts",
    "Stage",
    "Tally",
    "Times",
    "Verdict",
    "VersionChoice",
    "VersionReason",
]
