"""Evacuations: the availability zones whose endpoints get no requests, as operators order."""

from poplarrun.evacuations._evacuations import Evacuations, ZoneOrder

__all__ = ["Evacuations", "ZoneOrder"]
