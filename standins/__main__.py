"""Command line that runs one stand-in: ``python -m standins KIND ...``."""

import signal
import threading
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec

from standins._server import StandIn
from standins.engine import EngineSettings, EngineStandIn
from standins.hostlist import HostListStandIn
from standins.logservice import DEFAULT_APPENDS_PER_S, LogStandIn
from standins.ratings import RatingsStandIn
from standins.service import ServiceStandIn
from standins.weights import WeightsStandIn


@dataclass
class Arguments:
    """Run one stand-in until SIGTERM or SIGINT.

    Attributes
    ----------
    kind : str
        engine, service, log, hostlist, ratings or weights.
    port, control_port : int
        Ports on loopback; 0 selects a free one.
    name : str
        Name of a plain service.
    settings : str
        Settings of an engine, as JSON.
    appends_per_s : int
        Maximum append rate of the log.
    """

    kind: Annotated[str, cappa.Arg()]
    port: Annotated[int, cappa.Arg(long=True)] = 0
    control_port: Annotated[int, cappa.Arg(long=True)] = 0
    name: Annotated[str, cappa.Arg(long=True)] = "service"
    settings: Annotated[str, cappa.Arg(long=True)] = "{}"
    appends_per_s: Annotated[int, cappa.Arg(long=True)] = DEFAULT_APPENDS_PER_S


def make_stand_in(arguments: Arguments) -> StandIn:
    """Create the stand-in of the given kind."""
    ports = {"port": arguments.port, "control_port": arguments.control_port}
    match arguments.kind:
        case "engine":
            settings = msgspec.json.decode(arguments.settings, type=EngineSettings)
            return EngineStandIn(settings, **ports)
        case "service":
            return ServiceStandIn(arguments.name, **ports)
        case "log":
            return LogStandIn(arguments.appends_per_s, **ports)
        case "hostlist":
            return HostListStandIn(**ports)
        case "ratings":
            return RatingsStandIn(**ports)
        case "weights":
            return WeightsStandIn(**ports)
        case unknown_kind:
            raise cappa.Exit(f"unknown stand-in {unknown_kind!r}", code=2)


def main() -> None:
    """Start the stand-in, print its addresses and stop it on SIGTERM or SIGINT."""
    stand_in = make_stand_in(cappa.parse(Arguments))
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    stand_in.start()
    print(stand_in.address, stand_in.control_address, flush=True)
    stop_requested.wait()
    stand_in.stop()


if __name__ == "__main__":
    main()
