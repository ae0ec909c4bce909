"""Model sizes: which model answers first, and whether a larger one is asked."""

from poplarrun.sizes._sizes import EVEN_CONFIDENCE, SizePolicy

__all__ = ["EVEN_CONFIDENCE", "SizePolicy"]
