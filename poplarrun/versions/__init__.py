"""Versions: which one a request gets."""

from poplarrun.versions._choice import Candidate, choose_version

__all__ = ["Candidate", "choose_version"]
