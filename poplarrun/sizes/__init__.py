"""Model sizes: which model answers first, and whether a larger one is asked."""

from poplarrun.sizes._sizes import SizePolicy

__all__ = ["SizePolicy"]
