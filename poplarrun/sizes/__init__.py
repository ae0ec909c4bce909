"""Model sizes: which model answers first, and whether a larger one is asked."""

from poplarrun.sizes._sizes import MIDPOINT_CONFIDENCE, SizePolicy

__all__ = ["MIDPOINT_CONFIDENCE", "SizePolicy"]
