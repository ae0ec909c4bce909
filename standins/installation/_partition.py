"""An event loop whose connections to chosen addresses can be cut while it runs."""

import asyncio
import enum
import errno
import json
import weakref
from pathlib import Path
from typing import Any

CUT_FILE_VARIABLE = "POPLARRUN_CUT_FILE"
POLL_INTERVAL_S = 0.02


class Cut(enum.Enum):
    """What happens to connections to an address that is cut off."""

    RESET = "open connections are reset and new ones refused"
    SILENT = "open connections go silent and new ones hang"
    LIVE_ON = "open connections live on and new ones are refused"


class PartitionedLoop(asyncio.SelectorEventLoop):
    """A loop that cuts connections to the addresses that a file names."""

    def __init__(self) -> None:
        super().__init__()
        self._own_ip = ""
        self._cuts: dict[str, Cut] = {}
        self._content = ""
        self._transports: dict[str, weakref.WeakSet[Any]] = {}

    def use_address(self, ip: str) -> None:
        """Connect from this IP address, so that endpoints can tell hosts apart."""
        self._own_ip = ip

    def watch(self, path: Path) -> None:
        """Apply the cuts that a file names now, and whenever it changes."""
        content = path.read_text() if path.exists() else ""
        if content != self._content:
            self._content = content
            self._apply({address: Cut[name] for address, name in json.loads(content).items()})
        self.call_later(POLL_INTERVAL_S, self.watch, path)

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        """Connect, unless the address is cut off."""
        address = f"{host}:{port}"
        match self._cuts.get(address):
            case Cut.SILENT:
                await asyncio.Event().wait()
            case Cut.RESET | Cut.LIVE_ON:
                raise ConnectionRefusedError(errno.ECONNREFUSED, "cut off")
        if self._own_ip:
            options.setdefault("local_addr", (self._own_ip, 0))
        transport, protocol = await super().create_connection(
            protocol_factory, host, port, **options
        )
        self._transports.setdefault(address, weakref.WeakSet()).add(transport)
        return transport, protocol

    def _apply(self, cuts: dict[str, Cut]) -> None:
        for address, cut in cuts.items():
            if self._cuts.get(address) is not cut:
                for transport in list(self._transports.get(address, ())):
                    _cut_transport(transport, cut)
        self._cuts = cuts


def _cut_transport(transport: Any, cut: Cut) -> None:
    match cut:
        case Cut.RESET:
            transport._force_close(ConnectionResetError(errno.ECONNRESET, "cut off"))
        case Cut.SILENT if not transport.is_closing():
            transport.pause_reading()
            transport.resume_reading = transport.pause_reading
            transport.write = lambda data: None
