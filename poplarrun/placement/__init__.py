"""Placement: which endpoints there are, and which one gets the next request."""

from poplarrun.placement._directory import LAPSE_GRACE_S, Directory, DirectoryEvent, Listing
from poplarrun.placement._members import Member
from poplarrun.placement._placement import Placement, Seat

__all__ = ["LAPSE_GRACE_S", "Directory", "DirectoryEvent", "Listing", "Member", "Placement", "Seat"]
