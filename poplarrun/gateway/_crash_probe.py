"""Finds out whether an endpoint that broke off an answer has crashed."""

import asyncio

from poplarrun.crashes import CrashReport, CrashWatch, EndpointStart
from poplarrun.dispatch import (
    Attempt,
    ConnectionBroke,
    CrashGuard,
    CutOffUnread,
    Failure,
    NoConnection,
    start_of,
)
from poplarrun.logging import events, write_event
from poplarrun.metrics import Metrics
from poplarrun.placement import EndpointRecord, Placement, group_of
from poplarrun.routing import InFlightRequest
from poplarrun.transport import (
    ConnectFailed,
    ConnectionPool,
    ConnectRefused,
    seconds_since_boot,
)

# Time after a connection broke until all others to the same process have broken, in seconds.
BREAK_SETTLE_S = 0.02
PROBE_TIMEOUT_S = 0.4
# Longest wait for that before a request is sent again, in seconds: the round trip between zones
# takes some 10 ms.
MAX_WAIT_S = 0.1
# Shortest interval between two probes of an endpoint, in seconds.
PROBE_INTERVAL_S = 1.0
MAX_LOGGED_SUSPECTS = 8
MAX_LOGGED_REQUESTS = 8


def log_crash(watch: CrashWatch, report: CrashReport, service: str, now: float) -> None:
    """Log what this host knows of a crash, and of the requests that the endpoint worked on."""
    write_event(
        events.EndpointCrashed(
            report.start.instance_id,
            service,
            report.requests,
            report.begun,
            len(report.suspects),
            report.suspects[:MAX_LOGGED_SUSPECTS],
        )
    )
    for held in report.held[:MAX_LOGGED_REQUESTS]:
        known = watch.requests.find(held.request.fingerprint)
        write_event(
            events.EndpointEndedUnderRequest(
                held.request.id,
                f"{held.request.fingerprint:016x}",
                report.start.instance_id,
                held.ended_at - held.request.sent_at,
                held.is_begun,
                0 if known is None else known.count(now),
                [] if known is None else known.known_from(),
            )
        )


class CrashProbe:
    """Opens a connection to an endpoint that broke one off: a crashed one refuses it.

    One that is cut off or overloaded doesn't refuse connections, nor does one that closes or resets
    single connections.
    """

    def __init__(
        self, guard: CrashGuard, pool: ConnectionPool, placement: Placement, metrics: Metrics
    ) -> None:
        self._guard = guard
        self._pool = pool
        self._placement = placement
        self._metrics = metrics
        self._probes: dict[str, asyncio.Task[None]] = {}

    async def check(
        self,
        work: InFlightRequest,
        record: EndpointRecord,
        attempt: Attempt | None,
        failure: Failure,
    ) -> None:
        """Probe an endpoint after a failed attempt, and wait for it if that decides on a retry."""
        if isinstance(failure, NoConnection) and self._may_have_crashed(start_of(record)):
            self._find_probe(record)
        if attempt is None or not isinstance(failure, ConnectionBroke | CutOffUnread):
            return
        probe = self._find_probe(record)
        if probe is not None and self._guard.decides_on_retry(work, attempt, seconds_since_boot()):
            await asyncio.wait((probe,), timeout=MAX_WAIT_S)

    def _may_have_crashed(self, start: EndpointStart) -> bool:
        """Return whether an endpoint that isn't reached may have ended under a request."""
        watch = self._guard.watch
        return watch.holds_any(start, seconds_since_boot()) and not watch.is_leaving(start)

    def start(self, record: EndpointRecord) -> None:
        """Probe an endpoint that closed a connection which this host relayed for a peer."""
        self._find_probe(record)

    def _find_probe(self, record: EndpointRecord) -> asyncio.Task[None] | None:
        """Return the probe of an endpoint, which is started if there was none lately.

        None if the path to it is lost: nothing is refused over one. Peers that have a path tell of
        the crash.
        """
        now = seconds_since_boot()
        if self._placement.paths.is_lost(record.instance_id, group_of(record), now):
            return None
        probe = self._probes.get(record.instance_id)
        if probe is None:
            probe = asyncio.get_running_loop().create_task(self._probe(record))
            self._probes[record.instance_id] = probe
            probe.add_done_callback(lambda _: self._forget_later(record.instance_id))
        return probe

    def _forget_later(self, instance_id: str) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(PROBE_INTERVAL_S, self._probes.pop, instance_id, None)

    async def _probe(self, record: EndpointRecord) -> None:
        await asyncio.sleep(BREAK_SETTLE_S)
        try:
            connection = await self._pool.open(record.address, PROBE_TIMEOUT_S)
        except ConnectRefused:
            self._record_crash(record)
        except ConnectFailed:
            return
        else:
            connection.abort()

    def _record_crash(self, record: EndpointRecord) -> None:
        now = seconds_since_boot()
        report = self._guard.watch.record_ended(start_of(record), now)
        if report is not None:
            self._metrics.count_event("endpoint_crashed")
            log_crash(self._guard.watch, report, record.service, now)
