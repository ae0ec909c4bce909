"""The daemon of an entry host: its HTTP server, its event loop, and the bridge between them."""

from poplarrun.server._daemon import Daemon, run_daemon
from poplarrun.server._host import EntryHost
from poplarrun.server._loop_bridge import LoopBridge, LoopStopped
from poplarrun.server._messages import HostStatus

__all__ = ["Daemon", "EntryHost", "HostStatus", "LoopBridge", "LoopStopped", "run_daemon"]
