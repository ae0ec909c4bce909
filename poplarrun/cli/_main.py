"""The command ``poplarrun`` and its subcommands."""

from dataclasses import dataclass

import cappa

from poplarrun.cli._arguments import EXIT_CODES
from poplarrun.cli._ask import Ask
from poplarrun.cli._bill import Bill
from poplarrun.cli._config import Config
from poplarrun.cli._serve import Serve
from poplarrun.cli._status import Explain, Status


@cappa.command(description=EXIT_CODES)
@dataclass
class Poplarrun:
    """A model-aware router for versions and cascades."""

    command: cappa.Subcommands[Serve | Config | Status | Explain | Ask | Bill]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Poplarrun)
