"""The command line interface of poplarrun."""

from poplarrun.cli._main import main

__all__ = ["main"]
