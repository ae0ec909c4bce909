"""``poplarrun serve``: runs the daemon of an entry host."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from poplarrun.cli._arguments import EXIT_INVALID
from poplarrun.server import run_daemon
from poplarrun.settings import SettingsProblems, load_settings


@dataclass
class Serve:
    """Run an entry host."""

    settings: Annotated[Path, cappa.Arg(long=True, help="The host's settings, YAML.")]

    def __call__(self) -> None:
        """Serve until a signal stops the process."""
        match load_settings(self.settings):
            case SettingsProblems(lines=lines):
                raise cappa.Exit("\n".join(lines), code=EXIT_INVALID)
            case settings:
                raise cappa.Exit(code=run_daemon(settings))
