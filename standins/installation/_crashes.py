"""Requests of one kind that end each endpoint that begins to answer them."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from standins.installation._endpoint import Endpoint, ReceivedRequest
from standins.installation._installation import Installation

# A record lapses after three heartbeat intervals of silence.
LAPSE_S = 1.0


@dataclass(frozen=True)
class FatalArrival:
    """A request of the fatal kind that reached an endpoint, at a monotonic time in seconds."""

    at: float
    request_id: str
    peer_ip: str


@dataclass(frozen=True)
class Crash:
    """The end of an endpoint's process, at a monotonic time in seconds."""

    at: float
    instance_id: str


class CrashingRequests:
    """Ends endpoints at fatal requests, and starts each again at its address some seconds later.

    Every other start has a new instance id, the others keep theirs and start later than before. In
    turn, an endpoint's end resets its connections or closes them.

    Parameters
    ----------
    is_fatal : callable
        Whether a request ends the endpoint that begins to answer it.
    down_s : float
        Seconds until an endpoint that has ended starts again.

    Attributes
    ----------
    crashes : list of Crash
        All ends, in time order.
    """

    def __init__(
        self,
        installation: Installation,
        is_fatal: Callable[[ReceivedRequest], bool],
        down_s: float,
    ) -> None:
        self.crashes: list[Crash] = []
        self._installation = installation
        self._is_fatal = is_fatal
        self._down_s = down_s
        self._restarts: set[asyncio.Task[None]] = set()
        for number, endpoint in enumerate(installation.endpoints.values()):
            endpoint.is_fatal = is_fatal
            endpoint.resets_at_end = number % 2 == 0
            endpoint.report_end = self._record_end

    def end(self, endpoint: Endpoint) -> None:
        """End an endpoint whatever it runs, unless it has ended."""
        self._installation.end_endpoint(endpoint)

    def list_arrivals(self) -> list[FatalArrival]:
        """Return the fatal requests that reached endpoints, in time order."""
        arrivals = [
            FatalArrival(each.received_at, each.headers["x-attempt-id"], each.peer_ip)
            for endpoint in self._installation.endpoints.values()
            for each in list(endpoint.received_requests)
            if self._is_fatal(each)
        ]
        return sorted(arrivals, key=lambda arrival: arrival.at)

    def _record_end(self, endpoint: Endpoint) -> None:
        self.crashes.append(Crash(time.monotonic(), endpoint.instance_id))
        restart = asyncio.get_running_loop().create_task(
            self._start_again(endpoint, len(self.crashes))
        )
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _start_again(self, endpoint: Endpoint, number: int) -> None:
        records = self._installation.store.topic("keyed.servers")
        lapse_s = min(LAPSE_S, self._down_s)
        await asyncio.sleep(lapse_s)
        records.append(endpoint.instance_id, b"")
        await asyncio.sleep(self._down_s - lapse_s)
        if number % 2:
            self._installation.rename_endpoint(endpoint, f"{endpoint.service}-start-{number}")
        endpoint.started_at_ms += round((self._down_s + 1.0) * 1000.0)
        endpoint.sequence = 0
        await endpoint.start()
        endpoint.resets_at_end = not endpoint.resets_at_end
        records.append(endpoint.instance_id, endpoint.encode_record())
