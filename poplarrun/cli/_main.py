"""The ``poplarrun`` command and its subcommands."""

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
from poplarrun.cli._where import Where


@cappa.command(description=EXIT_CODES)
@dataclass
class Poplarrun:
    """A model-aware router for versions and cascades."""

    command: cappa.Subcommands[Serve | Config | Status | Explain | Where | ShowLosses | Ask | Bill]


class PlainOutput(cappa.Output):
    """Writes error messages without interpreting or wrapping them.

    The library would interpret brackets in a message as markup, and either drop them or
    raise, and it wraps lines at 80 columns when writing to a pipe. Messages that quote a
    document would be garbled or end in a traceback.
    """

    def error(self, message: Any, **context: Any) -> None:
        """Write a message to standard error."""
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
        # The reader, such as head, has closed the pipe. Standard output is redirected to
        # /dev/null, because the interpreter's final flush would raise again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(EXIT_FAILED)
