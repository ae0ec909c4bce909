"""``python -m standins.installation``: a gateway host whose links to addresses can be cut."""

import asyncio
import os
import sys
from pathlib import Path

from poplarrun.gateway import GatewayHost
from poplarrun.logging import configure_logging
from poplarrun.platform import PATH_VARIABLE, load_node_settings
from standins.installation._partition import CUT_FILE_VARIABLE, PartitionedLoop


async def _run(path: Path) -> None:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, PartitionedLoop)
    loop.watch(Path(os.environ[CUT_FILE_VARIABLE]))
    settings = load_node_settings(path)
    loop.use_address(settings.peer_address.rpartition(":")[0])
    handler = configure_logging(settings.name)
    try:
        await GatewayHost(path, settings, handler).run()
    finally:
        handler.flush()


def main() -> int:
    """Serve until the host is asked to stop; return the exit code."""
    with asyncio.Runner(loop_factory=PartitionedLoop) as runner:
        runner.run(_run(Path(os.environ[PATH_VARIABLE])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
