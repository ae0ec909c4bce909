"""Model sizes: the model that answers first, and the escalation to a larger one."""

from poplarrun.sizes._sizes import MIDPOINT_CONFIDENCE, KeepReason, SizeDecision, SizePolicy

__all__ = ["MIDPOINT_CONFIDENCE", "KeepReason", "SizeDecision", "SizePolicy"]
