"""Model sizes: the model that answers first, and the escalation to a larger one."""

from poplarrun.sizes._sizes import MIDPOINT_CONFIDENCE, SizePolicy

__all__ = ["MIDPOINT_CONFIDENCE", "SizePolicy"]
