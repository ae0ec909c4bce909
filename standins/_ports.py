"""Selection of free ports for processes that listen on loopback."""

import contextlib
import functools
import os
import random
import socket

# Below the ephemeral ports of outgoing connections: a connection could bind one of those
# between its selection and the moment when a host listens there, and the host would
# never start.
FIRST_PORT = 12_000
# Concurrent processes select from separate ranges, as long as there are enough of them.
PORTS_PER_PROCESS = 160
PORT_RANGE_COUNT = 125

# An installation allocates its ports one after the other and binds them only later. The
# oldest is forgotten first: if all were forgotten at once, a port that is not bound yet would
# be allocated again, to another stand-in of the same installation.
MAX_REMEMBERED_PORTS = 40
MAX_ATTEMPTS = 20_000

_allocated: dict[int, None] = {}
_random = random.Random()


def reserve_port_range(first_choice: int) -> tuple[int, socket.socket | None]:
    """Reserve a range of ports for this process.

    Parameters
    ----------
    first_choice : int
        Number of the range to try first.

    Returns
    -------
    tuple of int and socket
        The first port of the range, and what reserves it until it is closed or the process ends;
        None, and the first choice, if other processes have reserved all ranges.
    """
    for offset in range(PORT_RANGE_COUNT):
        number = (first_choice + offset) % PORT_RANGE_COUNT
        reservation = socket.socket(socket.AF_UNIX)
        try:
            # An abstract name leaves no file behind, whatever ends the process.
            reservation.bind(f"\0poplarrun-ports-{number}")
        except OSError:
            reservation.close()
            continue
        return FIRST_PORT + number * PORTS_PER_PROCESS, reservation
    return FIRST_PORT + first_choice * PORTS_PER_PROCESS, None


@functools.cache
def _reserve_own_range() -> tuple[int, socket.socket | None]:
    return reserve_port_range(os.getpid() % PORT_RANGE_COUNT)


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is not bound now and not among those allocated last by this process.

    Raises
    ------
    RuntimeError
        If there is none: ports of hosts that were killed stay bound for a minute.
    """
    first_port, _ = _reserve_own_range()
    for _ in range(MAX_ATTEMPTS):
        if len(_allocated) > MAX_REMEMBERED_PORTS:
            del _allocated[next(iter(_allocated))]
        port = first_port + _random.randrange(PORTS_PER_PROCESS)
        if port in _allocated:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((host, port))
            # Remember allocated ports only. Ports that other processes have bound would
            # displace allocated ports that are not bound yet.
            _allocated[port] = None
            return port
    raise RuntimeError(f"no free port of {PORTS_PER_PROCESS} from {first_port} on")
