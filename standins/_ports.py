"""Ports on loopback for processes that listen."""

import contextlib
import os
import random
import socket

# Below the ports that the system gives to outgoing connections: one of those could take
# a port between the look at it and the moment when a host listens there, and the host
# would never start.
FIRST_PORT = 12_000
# Processes that look at once look at different ports, as far as their ids differ.
PORTS_OF_A_PROCESS = 80
PROCESSES = 250

# Ports that are remembered as given out, the latest last. Those of one installation
# are given out one after the other and bound only later: forgotten all at once, a port
# that is not bound yet would be given to another stand-in of the same installation.
KEPT_GIVEN = 40

_given: dict[int, None] = {}
_source = random.Random()


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now and that this process has not given out before."""
    first = FIRST_PORT + os.getpid() % PROCESSES * PORTS_OF_A_PROCESS
    while True:
        if len(_given) > KEPT_GIVEN:
            del _given[next(iter(_given))]
        port = first + _source.randrange(PORTS_OF_A_PROCESS)
        if port in _given:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((host, port))
            # Only what is given out is remembered. Ports that other processes hold would
            # push those out that are given out and not yet bound.
            _given[port] = None
            return port
