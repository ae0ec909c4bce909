"""Runs one stand-in as a process: ``python -m standins NAME ...``."""

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
    """Run one stand-in until a signal comes.

    Attributes
    ----------
    kind : str
        engine, service, log, hostlist, ratings or weights.
    port, control_port : int
        Ports on loopback.
    name : str
        Name of a plain service.
    settings : str
        JSON settings of an engine.
    """

    kind: Annotated[str, cappa.Arg()]
    port: Annotated[int, cappa.Arg(long=True)] = 0
    control_port: Annotated[int, cappa.Arg(long=True)] = 0
    name: Annotated[str, cappa.Arg(long=True)] = "service"
    settings: Annotated[str, cappa.Arg(long=True)] = "{}"
    appends_per_s: Annotated[int, cappa.Arg(long=True)] = DEFAULT_APPENDS_PER_S


def make_stand_in(arguments: Arguments) -> StandIn:
    """Build the stand-in that the arguments name."""
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
        case other:
            raise cappa.Exit(f"unknown stand-in {other!r}", code=2)


def main() -> None:
    """Start the stand-in, print its addresses, wait for a signal."""
    stand_in = make_stand_in(cappa.parse(Arguments))
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    stand_in.start()
    print(stand_in.address, stand_in.control_address, flush=True)
    stopped.wait()
    stand_in.stop()


if __name__ == "__main__":
    main()
