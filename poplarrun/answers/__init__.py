"""Answers: putting the chunks of a stream in order."""

from poplarrun.answers._reassembly import Reassembly

__all__ = ["Reassembly"]
