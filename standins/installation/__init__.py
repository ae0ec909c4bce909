"""A stand-in of the users' platform: store, endpoints, settings, and hosts as processes."""

from standins.installation._installation import Answer, Installation
from standins.installation._runner import Fault, Runner
from standins.installation._store import Store

__all__ = ["Answer", "Fault", "Installation", "Runner", "Store"]
