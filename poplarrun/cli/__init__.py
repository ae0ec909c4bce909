"""The command line."""

from poplarrun.cli._main import main

__all__ = ["main"]
