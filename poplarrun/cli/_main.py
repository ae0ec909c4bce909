"""The command ``poplarrun`` and its subcommands."""

import os
import sys
from dataclasses import dataclass
from typing import Any

import cappa

from poplarrun.cli._arguments import EXIT_CODES, EXIT_FAILED, EXIT_INTERRUPTED
from poplarrun.cli._ask import Ask
from poplarrun.cli._bill import Bill
from poplarrun.cli._config import Config
from poplarrun.cli._losses import ShowLosses
from poplarrun.cli._serve import Serve
from poplarrun.cli._status import Explain, Status


@cappa.command(description=EXIT_CODES)
@dataclass
class Poplarrun:
    """A model-aware router for versions and cascades."""

    command: cappa.Subcommands[Serve | Config | Status | Explain | ShowLosses | Ask | Bill]


class PlainOutput(cappa.Output):
    """Writes errors as they are.

    The library would read brackets in a message as markup, drop them or fail at
    them, and break lines at 80 columns in a pipe: what a document holds would
    be told wrongly, or end in a trace.
    """

    def error(self, message: Any, **context: Any) -> None:
        """Write a message to the standard error output."""
        text = message.message if isinstance(message, cappa.Exit) else message
        if text is None:
            return
        if context.get("short_help"):
            self.error_console.print(context["short_help"])
        print(f"Error: {text}", file=sys.stderr)


def main() -> None:
    """Run the command line."""
    try:
        cappa.invoke(Poplarrun, output=PlainOutput())
        sys.stdout.flush()
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
    except BrokenPipeError:
        # The reader, such as head, has what it wanted. Without this, the
        # interpreter would fail once more at its last flush.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(EXIT_FAILED)
