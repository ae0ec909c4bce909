"""Simulation in virtual time of hosts that send prompts to engines of several zones.

Each host decides by itself and asks hosts of other zones over the in-memory transport. An engine
reads prompts one after the other.
"""

import asyncio
import dataclasses
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from poplarrun.dispatch import SendDecision
from poplarrun.errors import Refusal
from poplarrun.gateway._endpoint_offers import AskedZone
from poplarrun.placement import EndpointRecord
from poplarrun.routing import (
    Account,
    CacheTransfer,
    Catalogue,
    InFlightRequest,
    ModelSize,
    Request,
)
from standins.peer_fleet import PeerFleet
from standins.rollout_fleet import ENGINES, OLD, ROUTE, SERVICE, RolloutHost

TOKENS_PER_S = 25_000.0
PROMPT_TOKENS = 10_000
PREFILL_S = PROMPT_TOKENS / TOKENS_PER_S
# Price of a send to another zone: 0.07 s, and 0.1 s for the body.
BODY = b" " * 4_000
LIGHT_CACHE = CacheTransfer(18_432, 22.5e9)
KEY = "key"
SAMPLE_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class Wave:
    """The load of all zones, which rises in one zone while it falls in another.

    Attributes
    ----------
    mean : float
        Load of all engines together, as a fraction of what they can read.
    amplitude : float
        Part of its mean by which a zone's load rises and falls.
    """

    mean: float
    amplitude: float
    period_s: float


@dataclass
class ZoneTotals:
    """What a run has measured.

    Attributes
    ----------
    first_event_s : list of float
        Times to the first event.
    far : int
        Sends to another zone.
    asked : list of AskedZone
        Questions to other zones.
    waits : list of (float, dict of str to float)
        Time until each engine is free, at the times of the samples.
    """

    first_event_s: list[float] = field(default_factory=list)
    far: int = 0
    asked: list[AskedZone] = field(default_factory=list)
    waits: list[tuple[float, dict[str, float]]] = field(default_factory=list)

    @property
    def mean_first_event_s(self) -> float:
        """Mean time to the first event."""
        return sum(self.first_event_s) / len(self.first_event_s)

    def longest_excess_s(self, bound_s: float) -> float:
        """Return for how long one engine's wait stayed above the mean of all by a bound."""
        longest = 0.0
        above_since: dict[str, float] = {}
        for at, waits in self.waits:
            mean_s = sum(waits.values()) / len(waits)
            for engine, wait_s in waits.items():
                if wait_s <= mean_s + bound_s:
                    above_since.pop(engine, None)
                    continue
                longest = max(longest, at - above_since.setdefault(engine, at))
        return longest


class ZoneFleet(PeerFleet):
    """Hosts and engines in several zones.

    Parameters
    ----------
    may_ask : bool
        Whether hosts ask other zones for endpoints; if not, requests stay in their zone.
    """

    def __init__(
        self, seed: int, hosts: int, zones: str, engines_per_zone: int, may_ask: bool = True
    ) -> None:
        super().__init__(seed, hosts, zones)
        self.zones = zones
        self.totals = ZoneTotals()
        self._may_ask = may_ask
        self._count = 0
        self.free_at: dict[str, float] = {}
        records = [
            EndpointRecord(f"{zone}{number}", SERVICE, "10.0.0.1:1", zone, OLD, 64, False)
            for zone in zones
            for number in range(engines_per_zone)
        ]
        for record in records:
            self.free_at[record.instance_id] = 0.0
        self.offer_models(2, ENGINES.sizes)
        for host in self.hosts:
            host.config_view.confirm(math.inf)
            host.placement.update_endpoints(records)
            host.dispatch.on_prompt_sent = host.peering.publish_load

    def offer_models(self, version: int, sizes: tuple[ModelSize, ...]) -> None:
        """Apply a configuration whose route and engines have these models, smallest first."""
        service = dataclasses.replace(ENGINES, cache_transfer=LIGHT_CACHE, sizes=sizes)
        names = tuple(size.name for size in sizes)
        route = dataclasses.replace(ROUTE, is_public=False, sizes=names)
        self.catalogue = Catalogue(
            version, {"shop": (route,)}, {SERVICE: service}, {KEY: Account("acme")}
        )
        for host in self.hosts:
            host.config_view.apply_catalogue(self.catalogue)

    def admit(self, host: RolloutHost) -> InFlightRequest:
        """Return a new request of a caller at a host."""
        self._count += 1
        request = Request(
            f"r{self._count}",
            b"POST",
            b"/x",
            "shop",
            (),
            BODY,
            10.0,
            KEY,
            (),
            PROMPT_TOKENS,
            100,
            "*",
        )
        work = host.dispatch.admit(request, self.now)
        assert isinstance(work, InFlightRequest), work
        return work

    async def choose(self, host: RolloutHost, work: InFlightRequest) -> SendDecision | Refusal:
        """Choose where a request goes, after asking another zone if the decision names one."""
        decision = host.dispatch.choose_endpoint(work, self.now)
        if isinstance(decision, Refusal) or not self._may_ask:
            return decision
        return await host.peering.offers.resolve(work, decision, host.dispatch, self._record)

    def _record(self, _: InFlightRequest, asked: AskedZone) -> None:
        self.totals.asked.append(asked)

    async def serve(self, host: RolloutHost) -> None:
        """Serve one request."""
        work = self.admit(host)
        decision = await self.choose(host, work)
        assert isinstance(decision, SendDecision), decision
        record = decision.estimate.endpoint.record
        assert host.dispatch.may_send(work, decision.estimate.endpoint, self.now)
        attempt = host.dispatch.record_sent(work, decision, self.now)
        self.totals.far += record.zone != host.zone
        free_at = max(self.now, self.free_at[record.instance_id]) + PREFILL_S
        self.free_at[record.instance_id] = free_at
        await asyncio.sleep(free_at - self.now)
        host.dispatch.record_first_event(work, attempt, self.now)
        host.dispatch.record_completed(work, attempt, self.now)
        self.totals.first_event_s.append(self.now - work.arrived_at)

    async def play(self, wave: Wave, seconds: float) -> None:
        """Let callers come to all zones, and sample the engines' waits."""
        calls: list[asyncio.Task[None]] = []
        end = self.now + seconds
        zones = [
            self._play_zone(zone, number / len(self.zones), wave, end, calls.append)
            for number, zone in enumerate(self.zones)
        ]
        await asyncio.gather(self._sample(end), *zones)
        await asyncio.gather(*calls)

    async def _play_zone(
        self,
        zone: str,
        phase: float,
        wave: Wave,
        end: float,
        keep: Callable[[asyncio.Task[None]], None],
    ) -> None:
        hosts = [host for host in self.hosts if host.zone == zone]
        engines = len(self.free_at) / len(self.zones)
        highest = wave.mean * (1.0 + wave.amplitude) * engines / PREFILL_S
        while True:
            await asyncio.sleep(self.random.expovariate(highest))
            if self.now >= end:
                return
            angle = 2.0 * math.pi * (self.now / wave.period_s + phase)
            load = (1.0 + wave.amplitude * math.sin(angle)) / (1.0 + wave.amplitude)
            if self.random.random() < load:
                host = self.random.choice(hosts)
                keep(asyncio.get_running_loop().create_task(self.serve(host)))

    async def _sample(self, end: float) -> None:
        while self.now < end:
            waits = {name: max(0.0, at - self.now) for name, at in self.free_at.items()}
            self.totals.waits.append((self.now, waits))
            await asyncio.sleep(SAMPLE_INTERVAL_S)
