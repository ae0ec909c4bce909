"""Answers: reassembly of streamed chunks."""

from poplarrun.answers._reassembly import Reassembly

__all__ = ["Reassembly"]
