"""Runs the command line interface: ``python -m poplarrun``."""

from poplarrun.cli import main

main()
