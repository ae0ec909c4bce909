"""Runs the command line: ``python -m poplarrun``."""

from poplarrun.cli import main

main()
