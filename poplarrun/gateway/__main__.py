"""``python -m poplarrun.gateway``: run a gateway host on the platform."""

import asyncio
import os
import sys
from pathlib import Path

from poplarrun.gateway import GatewayHost
from poplarrun.logging import configure_logging
from poplarrun.platform import PATH_VARIABLE, InvalidSettings, load_node_settings


def main() -> int:
    """Serve until the platform asks the host to stop; return the exit code."""
    path = Path(os.environ.get(PATH_VARIABLE, ""))
    settings = load_node_settings(path)
    if isinstance(settings, InvalidSettings):
        print("\n".join(settings.problems), file=sys.stderr)
        return 2
    handler = configure_logging(settings.name)
    try:
        asyncio.run(GatewayHost(path, settings, handler).run())
    finally:
        handler.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
