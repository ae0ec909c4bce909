"""Chooses the endpoint with the least expected time to the first event.

The load consists of long prompts that share large prefixes. An endpoint that has the
prefix cached starts up to four times sooner, and one that is prefilling another long
prompt starts later.
"""

import contextlib
import dataclasses
import math
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Container, Iterator, Mapping

from poplarrun.paths import EndpointGroup, PathTable
from poplarrun.placement._brittle import BrittleServices, has_brittle_room
from poplarrun.placement._endpoint_directory import EndpointRecord
from poplarrun.placement._endpoint_state import EndpointState
from poplarrun.placement._estimates import EndpointEstimate
from poplarrun.placement._hold_offs import NO_HOLD_OFF, HoldOff
from poplarrun.placement._homes import PromptHomes, choose_prompt_home
from poplarrun.placement._leaving import LeavingEndpoints
from poplarrun.placement._peer_loads import PeerLoads
from poplarrun.placement._prefixes import list_prefixes
from poplarrun.placement._requests import EndpointFilter, PlacedRequest
from poplarrun.placement._returns import RETURN_S, may_return
from poplarrun.placement._share_budgets import EndpointBudget, list_budgets
from poplarrun.placement._zone_waits import ZoneChoice, compare_zones
from poplarrun.rendezvous import RankingCache
from poplarrun.routing import Service
from poplarrun.shares import BudgetShares, RateBounds, ShareKey, ShareUse
from poplarrun.speeds import PoolSpeed

# Time that a full batch adds before the first event, in seconds.
FULL_BATCH_DELAY_S = 0.6
# Time that each running call at a plain service adds to another one, in seconds.
SLOT_DELAY_S = 0.1
# Penalty of a call to another zone, in seconds, and in seconds for each byte of the
# request. The first is for packet loss between zones, since each lost packet delays an
# event by 0.2 s; the second is for the price of the traffic.
CROSS_ZONE_DELAY_S = 0.07
CROSS_ZONE_DELAY_S_PER_BYTE = 25e-6
# Penalty in seconds of an endpoint in a zone from which no host is heard any more. The
# zone is most likely cut off, and a send there costs the timeout of a silent answer.
SILENT_ZONE_DELAY_S = 2.5
# Penalty in seconds of an endpoint that has not answered lately, in a zone where the request failed
# to reach another one: zones often fail as a whole.
FAILED_ZONE_DELAY_S = 2.0
# Penalty in seconds of an endpoint that only other hosts reach.
RELAY_DELAY_S = 0.05
# Fraction of a shared prefix that its owner is assumed to have cached without evidence.
OWNER_CACHE_FRACTION = 0.5
# Endpoints of the own zone and of other zones that are compared in one choice: all of a
# small installation, and enough of a large one.
MAX_LOCAL_CANDIDATES = 32
MAX_REMOTE_CANDIDATES = 16
# Load, in requests per slot, up to which a version's load is concentrated on one endpoint.
MAX_CONCENTRATED_LOAD = 0.9
# Endpoints whose records are gone and whose states are kept, in case that they return.
MAX_UNLISTED_ENDPOINTS = 1000
# Least time in seconds between two looks for the shares that refused requests lacked.
SHORTAGE_INTERVAL_S = 0.05
# A host that lacked shares so often in this time, in seconds, lends nothing itself.
MIN_OVERLOAD_SHORTAGES = 8
OVERLOAD_WINDOW_S = 4.0
# Time of what has never happened.
NEVER = -math.inf
# Prefill speed that is assumed until one is measured, in prompt tokens per second.
INITIAL_TOKENS_PER_S = 25_000.0
ANY_ENDPOINT = EndpointFilter()


def group_of(record: EndpointRecord) -> EndpointGroup:
    """Return the group of endpoints with which this one is mostly reached or lost."""
    return EndpointGroup(record.service, record.zone)


@dataclasses.dataclass(frozen=True, slots=True)
class SendPenalties:
    """What is added to the expected time at an endpoint when endpoints are compared, in seconds."""

    other_zone_s: float
    failed_zone_s: float
    relay_s: float

    @property
    def total_s(self) -> float:
        """All of them."""
        return self.other_zone_s + self.failed_zone_s + self.relay_s


class Placement:
    """Chooses among the listed endpoints; used on the event loop only.

    Parameters
    ----------
    zone : str
        The host's own availability zone.

    Attributes
    ----------
    silent_zones : frozenset of str
        Zones that had hosts, none of which is heard any more.
    evacuated_zones : frozenset of str
        Zones whose endpoints get no requests.
    shares : BudgetShares
        This host's shares of the budgets of all hosts.
    paths : PathTable
        This host's paths to endpoints.
    brittle : BrittleServices
        The services whose endpoints fall over when they reject too many requests.
    leaving : LeavingEndpoints
        The endpoints that say in their answers that they are leaving.
    warm_up_bounds : RateBounds
        What an endpoint that is warming up tolerates, from the settings.
    """

    def __init__(self, zone: str, source: random.Random) -> None:
        self._zone = zone
        self._random = source
        self._endpoints: dict[str, EndpointState] = {}
        self._by_service: dict[str, list[EndpointState]] = {}
        self._homes = PromptHomes()
        self._unlisted: OrderedDict[str, EndpointState] = OrderedDict()
        self.silent_zones: frozenset[str] = frozenset()
        self.evacuated_zones: frozenset[str] = frozenset()
        self.shares = BudgetShares(zone=zone)
        self.paths = PathTable()
        self.brittle = BrittleServices()
        self.leaving = LeavingEndpoints()
        self._held_off: dict[str, EndpointState] = {}
        self._short_at: dict[str, deque[float]] = {}
        self.warm_up_bounds = RateBounds()
        self._peer_loads: dict[str, PeerLoads] = {}
        self._ranking = RankingCache()
        self._speeds: dict[tuple[str, str], PoolSpeed] = {}

    def update_endpoints(self, records: list[EndpointRecord], now: float = 0.0) -> None:
        """Replace the endpoints by those listed; the state of a restarted one is reset.

        Parameters
        ----------
        now : float
            When new records arrived, from which their warm-up times count.
        """
        endpoints: dict[str, EndpointState] = {}
        for record in records:
            endpoint = self._find_state(record)
            if endpoint is None:
                endpoint = EndpointState(record)
                endpoint.update_warm_up(now)
            elif record is not endpoint.record:
                endpoint.record = record
                endpoint.update_warm_up(now)
            endpoints[record.instance_id] = endpoint
        for instance_id, endpoint in self._endpoints.items():
            if instance_id not in endpoints:
                endpoint.forget_prompts()
                self._unlisted[instance_id] = endpoint
        while len(self._unlisted) > MAX_UNLISTED_ENDPOINTS:
            self._unlisted.popitem(last=False)
        self._endpoints = endpoints
        by_service: dict[str, list[EndpointState]] = {}
        for endpoint in endpoints.values():
            by_service.setdefault(endpoint.record.service, []).append(endpoint)
        if by_service != self._by_service:
            self._by_service = by_service
            self._homes.clear()
        self.leaving.forget_unlisted(endpoints, now)
        self._sum_peer_loads()

    def _find_state(self, record: EndpointRecord) -> EndpointState | None:
        """Return the state of an endpoint that has not restarted since.

        The record of a living endpoint may lapse for a while. When it is back, the endpoint still
        takes no more than the rate that it named.
        """
        endpoint = self._unlisted.pop(record.instance_id, None)
        endpoint = self._endpoints.get(record.instance_id, endpoint)
        if endpoint is None:
            return None
        if endpoint.record.started_ms != record.started_ms:
            self.leaving.record_end(record.instance_id, endpoint.record.started_ms)
            return None
        return endpoint

    def update_evacuated(self, zones: frozenset[str], now: float) -> None:
        """Replace the evacuated zones; those of one that is taken back may be warming up."""
        taken_back = self.evacuated_zones - zones
        self.evacuated_zones = zones
        for endpoint in self._endpoints.values():
            if endpoint.record.zone in taken_back:
                endpoint.returned_at = now

    def apply_load_notice(
        self, instance_id: str, drain_s: float, now: float, prefix: int = 0
    ) -> None:
        """Apply what another host expects of an endpoint to which it has just sent a prompt."""
        endpoint = self._endpoints.get(instance_id)
        if endpoint is None:
            return
        endpoint.record_drain(drain_s, now)
        if prefix:
            endpoint.prefixes.record(prefix, now)

    def update_unreached(self, instance_ids: Container[str], now: float) -> None:
        """Replace the endpoints that other hosts report not to reach."""
        for endpoint in self._endpoints.values():
            endpoint.update_unreached_by_others(endpoint.record.instance_id in instance_ids, now)

    def warm_up_s(self, instance_id: str, now: float) -> float:
        """Return for how long an endpoint still warms up according to its record."""
        endpoint = self._endpoints.get(instance_id)
        return 0.0 if endpoint is None else max(0.0, endpoint.warm_at - now)

    def may_send(self, endpoint: EndpointState, service: Service, now: float) -> bool:
        """Return whether this host may send to an endpoint now.

        Not to one that is listed no more or is leaving, asked this host to stay away, or is in an
        evacuated zone, nor beyond this host's share of the rate of one that is warming up or names
        a rate limit, or of the slots of one that is brittle.
        """
        record = endpoint.record
        if self._endpoints.get(record.instance_id) is not endpoint:
            return False
        if record.is_leaving or record.zone in self.evacuated_zones:
            return False
        if (self._held_off or self.leaving.is_any) and not self._is_welcome(endpoint, now):
            return False
        brittleness = self.brittle.find(record.service, now)
        if brittleness is not None and not has_brittle_room(
            endpoint, brittleness.tolerated, self.shares, now
        ):
            return False
        return all(
            each.has_room(self.shares, now)
            for each in self._list_budgets(endpoint, service, now)
            if each.is_of_zone
        )

    def _list_budgets(
        self, endpoint: EndpointState, service: Service, now: float
    ) -> Iterator[EndpointBudget]:
        return list_budgets(endpoint, service, self.brittle, self.warm_up_bounds, now)

    def record_shortage(self, service: Service, now: float) -> None:
        """Record that a request was refused, at which endpoints for lack of a share."""
        short_at = self._short_at.setdefault(service.name, deque(maxlen=MIN_OVERLOAD_SHORTAGES))
        if short_at and now - short_at[-1] < SHORTAGE_INTERVAL_S:
            return
        short_at.append(now)
        for endpoint in self.endpoints(service.name):
            if not self._is_welcome(endpoint, now):
                continue
            for each in self._list_budgets(endpoint, service, now):
                if not each.has_room(self.shares, now):
                    self.shares.loans.record_shortage(each.key, now)

    def find_share_use(
        self, key: ShareKey, services: Mapping[str, Service], now: float
    ) -> ShareUse | None:
        """Return this host's use of a budget; None if the budget is not in force."""
        endpoint = self._endpoints.get(key.instance_id)
        service = None if endpoint is None else services.get(endpoint.record.service)
        if endpoint is None or service is None:
            return None
        for each in self._list_budgets(endpoint, service, now):
            if each.key == key:
                use = each.describe_use(self.shares, now)
                # Where all hosts are overloaded, loans would pass from one to the other in vain.
                is_overloaded = self._is_overloaded(service.name, now)
                return dataclasses.replace(use, reserved=0) if is_overloaded else use
        return None

    def _is_overloaded(self, service: str, now: float) -> bool:
        """Return whether this host refuses requests of a service all the time."""
        short_at = self._short_at.get(service)
        if short_at is None or len(short_at) < MIN_OVERLOAD_SHORTAGES:
            return False
        return now - short_at[0] < OVERLOAD_WINDOW_S

    def _is_welcome(self, endpoint: EndpointState, now: float) -> bool:
        """Return whether an endpoint neither leaves nor wants this host to stay away."""
        if self.is_closed(endpoint) or self.find_hold_off(endpoint, now) is not NO_HOLD_OFF:
            return False
        return may_return(endpoint, self.shares, now)

    def is_closed(self, endpoint: EndpointState) -> bool:
        """Return whether an endpoint is leaving or in an evacuated zone."""
        record = endpoint.record
        if record.is_leaving or record.zone in self.evacuated_zones:
            return True
        return self.leaving.includes(record.instance_id, record.started_ms)

    def record_hold_off(
        self, endpoint: EndpointState, seconds: float, now: float, is_of_peer: bool = False
    ) -> None:
        """Record that an endpoint wants no request for some time.

        Parameters
        ----------
        is_of_peer : bool
            Whether it asked a peer, which therefore relays nothing to it.
        """
        if is_of_peer:
            endpoint.record_relay_hold_off(seconds, now)
        else:
            endpoint.record_hold_off(seconds, now)
        self._held_off[endpoint.record.instance_id] = endpoint

    def held_off(self, now: float) -> list[tuple[EndpointState, HoldOff]]:
        """Return the listed endpoints that want no request from this host now."""
        if not self._held_off:
            return []
        found = []
        for instance_id, endpoint in list(self._held_off.items()):
            ends_at = max(endpoint.hold_off.until, endpoint.relay_hold_off.until)
            if now >= ends_at + RETURN_S:
                del self._held_off[instance_id]
                continue
            hold_off = self.find_hold_off(endpoint, now)
            if hold_off is not NO_HOLD_OFF and self._endpoints.get(instance_id) is endpoint:
                found.append((endpoint, hold_off))
        return found

    def find_hold_off(self, endpoint: EndpointState, now: float) -> HoldOff:
        """Return the demand that keeps this host from an endpoint now; ``NO_HOLD_OFF`` for none."""
        hold_off = endpoint.hold_off
        if hold_off is NO_HOLD_OFF and endpoint.relay_hold_off is NO_HOLD_OFF:
            return NO_HOLD_OFF
        if now < endpoint.relay_hold_off.until and self.is_path_lost(endpoint, now):
            hold_off = max(hold_off, endpoint.relay_hold_off, key=lambda each: each.until)
        return hold_off if now < hold_off.until else NO_HOLD_OFF

    def is_path_lost(self, endpoint: EndpointState, now: float) -> bool:
        """Return whether this host reaches an endpoint through peers only."""
        record = endpoint.record
        return self.paths.is_lost(record.instance_id, group_of(record), now)

    def apply_peer_load(
        self,
        host: str,
        loads: dict[str, tuple[int, float]],
        unlisted: tuple[int, float] = (0, 0.0),
    ) -> None:
        """Apply another host's load: requests and pending prefill seconds by instance id.

        Parameters
        ----------
        unlisted : tuple of int and float
            The sum of its load at all other endpoints, which are taken to be loaded alike.
        """
        self._peer_loads[host] = PeerLoads(loads, unlisted)
        self._sum_peer_loads()

    def _sum_peer_loads(self) -> None:
        known = self._endpoints.keys()
        shares = [
            (each.by_endpoint, each.mean_unlisted(len(known - each.by_endpoint.keys())))
            for each in self._peer_loads.values()
        ]
        for instance_id, endpoint in self._endpoints.items():
            loads = [by_endpoint.get(instance_id, mean) for by_endpoint, mean in shares]
            endpoint.peer_in_flight = float(sum(request_count for request_count, _ in loads))
            endpoint.peer_pending_prefill_s = sum(pending_s for _, pending_s in loads)

    def endpoints(self, service: str | None = None) -> list[EndpointState]:
        """Return the endpoints of a service, or all, including those that are leaving."""
        if service is None:
            return list(self._endpoints.values())
        return list(self._by_service.get(service, ()))

    def find(self, instance_id: str) -> EndpointState | None:
        """Return an endpoint by its instance id."""
        return self._endpoints.get(instance_id)

    def recall(self, instance_id: str) -> EndpointState | None:
        """Return an endpoint by its instance id, also one whose record has lapsed."""
        return self._endpoints.get(instance_id) or self._unlisted.get(instance_id)

    def speed(self, service: str, size: str) -> PoolSpeed:
        """Return the measured prefill speed of a model."""
        speed = self._speeds.get((service, size))
        if speed is None:
            speed = PoolSpeed(prefill_s_per_token=1.0 / INITIAL_TOKENS_PER_S)
            self._speeds[(service, size)] = speed
        return speed

    def choose(
        self,
        work: PlacedRequest,
        service: Service,
        now: float,
        size: str = "",
        versions: Container[str] | None = None,
        avoided_version: str | None = None,
        include_tried: bool = False,
        concentrate_load: bool = False,
    ) -> EndpointEstimate | None:
        """Return the endpoint expected to answer first; None if there is no usable one.

        For a service with a light cache that is one of the own zone, if there is one. The
        parameters after ``size`` are those of ``EndpointFilter``.
        """
        allowed = EndpointFilter(versions, avoided_version, include_tried, concentrate_load)
        choice = self.choose_between_zones(work, service, now, size, allowed)
        return None if choice is None else choice.estimate

    def choose_between_zones(
        self,
        work: PlacedRequest,
        service: Service,
        now: float,
        size: str = "",
        allowed: EndpointFilter = ANY_ENDPOINT,
    ) -> ZoneChoice | None:
        """Return the endpoint of the next send, and the zone that may have a better one.

        None if there is no usable endpoint. Only for services with a light cache there may be a
        zone to ask.
        """
        usable = self._list_usable(work, service, now, allowed)
        available = _select_available(usable, now)
        tried = () if allowed.include_tried else work.tried_endpoints
        untried = (
            [endpoint for endpoint in available if endpoint.record.instance_id not in tried]
            if tried
            else available
        )
        candidates = untried or available or usable
        if not candidates:
            return None
        if allowed.concentrate_load:
            candidates = self._concentrate(candidates)
        owner = self._homes.find(self._by_service[work.service], candidates, work, size)
        candidates = self._sample(candidates, owner)
        estimates = self._estimate(candidates, owner, work, service, size, now)
        if not service.has_light_cache:
            return ZoneChoice(self._select(estimates, work, now))
        return compare_zones(estimates, self._zone, now, self._compute_delays(work, now))

    def choose_for_peer(
        self,
        work: PlacedRequest,
        service: Service,
        now: float,
        size: str = "",
        allowed: EndpointFilter = ANY_ENDPOINT,
    ) -> EndpointEstimate | None:
        """Return the endpoint of the own zone expected to answer a peer's request first.

        None if there is none that is available and to which the request was not sent yet. The home
        of the prompt is looked for in all zones, as by the peer.
        """
        candidates = [
            endpoint
            for endpoint in _select_available(self._list_usable(work, service, now, allowed), now)
            if endpoint.record.instance_id not in work.tried_endpoints
        ]
        if not any(each.record.zone == self._zone for each in candidates):
            return None
        owner = self._homes.find(self._by_service[work.service], candidates, work, size)
        candidates = [each for each in candidates if each.record.zone == self._zone]
        candidates = self._sample(candidates, owner)
        return self._select(self._estimate(candidates, owner, work, service, size, now), work, now)

    def _list_usable(
        self, work: PlacedRequest, service: Service, now: float, allowed: EndpointFilter
    ) -> list[EndpointState]:
        versions, avoided_version = allowed.versions, allowed.avoided_version
        usable = self._list_sendable(work.service, service, now)
        if versions is None and avoided_version is None:
            return usable
        return [
            endpoint
            for endpoint in usable
            if (versions is None or endpoint.record.version in versions)
            and endpoint.record.version != avoided_version
        ]

    def _estimate(
        self,
        candidates: list[EndpointState],
        owner: str | None,
        work: PlacedRequest,
        service: Service,
        size: str,
        now: float,
    ) -> list[EndpointEstimate]:
        if service.cache_tokens == 0:
            return [self._estimate_plain(endpoint) for endpoint in candidates]
        return self._estimate_engines(candidates, owner, work, service, size, now)

    def _list_sendable(self, name: str, service: Service, now: float) -> list[EndpointState]:
        """Return the endpoints of a service for which ``may_send`` holds.

        A call of ``may_send`` for each endpoint would take most of the time of a choice. It is
        called only for those that may have a budget or a demand, or may be leaving.
        """
        listed = self._by_service.get(name, [])
        if self.brittle.find(name, now) is not None or self.leaving.is_any:
            return [endpoint for endpoint in listed if self.may_send(endpoint, service, now)]
        evacuated = self.evacuated_zones
        warm_up = service.warm_up
        limits_warm_up = warm_up.rate_per_s > 0.0
        sendable = []
        for endpoint in listed:
            if (
                endpoint.rate_limit_per_s is None
                and endpoint.hold_off is NO_HOLD_OFF
                and endpoint.relay_hold_off is NO_HOLD_OFF
                and (
                    not limits_warm_up
                    or (
                        now >= endpoint.warm_at
                        and endpoint.returned_at == endpoint.unreached_at == NEVER
                        and not endpoint.is_unreached_by_others
                    )
                    or not endpoint.may_be_warming_up(warm_up, now)
                )
            ):
                record = endpoint.record
                if not record.is_leaving and record.zone not in evacuated:
                    sendable.append(endpoint)
            elif self.may_send(endpoint, service, now):
                sendable.append(endpoint)
        return sendable

    def list_estimates(
        self,
        candidates: list[EndpointState],
        work: PlacedRequest,
        service: Service,
        now: float,
        size: str,
    ) -> list[EndpointEstimate]:
        """Return what is expected at each of some endpoints, without choosing one."""
        owner = choose_prompt_home(candidates, work, size)
        return self._estimate(candidates, owner, work, service, size, now)

    def find_penalties(
        self, endpoint: EndpointState, work: PlacedRequest, now: float
    ) -> SendPenalties:
        """Return what counts against an endpoint beside its expected time."""
        return SendPenalties(
            self._cross_zone_delay_s(endpoint, work),
            _failed_zone_delay_s(endpoint, work),
            self._relay_delay_s(endpoint, now),
        )

    @contextlib.contextmanager
    def keep_random_state(self) -> Iterator[None]:
        """Let choices within the context not change later ones."""
        state = self._random.getstate()
        try:
            yield
        finally:
            self._random.setstate(state)

    def _concentrate(self, candidates: list[EndpointState]) -> list[EndpointState]:
        """Return the one endpoint that all hosts fill first, or all once it is full."""
        first = self._rank(candidates)[0]
        return [first] if first.load < MAX_CONCENTRATED_LOAD else candidates

    def _rank(self, candidates: list[EndpointState]) -> list[EndpointState]:
        """Return endpoints in the order in which all hosts fill them."""
        instance_ids = tuple(endpoint.record.instance_id for endpoint in candidates)
        ranking = self._ranking.rank("proving", instance_ids)
        return [self._endpoints[instance_id] for instance_id in ranking]

    def find_last_filled(self, service: str, version: str, now: float) -> EndpointState | None:
        """Return the endpoint of a version that hosts fill last; None if there is none."""
        candidates = [
            endpoint
            for endpoint in self.endpoints(service)
            if endpoint.record.version == version
            and endpoint.is_available(now)
            and not self.is_closed(endpoint)
        ]
        return self._rank(candidates)[-1] if candidates else None

    def find_slots(self, service: str, version: str) -> int:
        """Return the most slots of any endpoint of a version; 0 if there is none."""
        return max(
            (
                endpoint.record.slots
                for endpoint in self.endpoints(service)
                if endpoint.record.version == version
            ),
            default=0,
        )

    def _sample(self, candidates: list[EndpointState], owner: str | None) -> list[EndpointState]:
        """Return the endpoints to compare, in random order: all, or a sample of very many.

        The time of a choice grows with the number of endpoints compared. The best of a few
        dozen sampled ones is hardly slower than the best of all. Each host samples others, so
        that they don't all choose the same endpoint on outdated load reports.
        """
        zone = self._zone
        local = [endpoint for endpoint in candidates if endpoint.record.zone == zone]
        if (
            len(local) > MAX_LOCAL_CANDIDATES
            or len(candidates) - len(local) > MAX_REMOTE_CANDIDATES
        ):
            remote = [endpoint for endpoint in candidates if endpoint.record.zone != zone]
            sampled = self._random.sample(local, min(len(local), MAX_LOCAL_CANDIDATES))
            sampled += self._random.sample(remote, min(len(remote), MAX_REMOTE_CANDIDATES))
            if owner is not None:
                sampled.append(self._endpoints[owner])
            candidates = sampled
        start = self._random.randrange(len(candidates))
        return candidates[start:] + candidates[:start]

    def _select(
        self, estimates: list[EndpointEstimate], work: PlacedRequest, now: float
    ) -> EndpointEstimate:
        compute_delay_s = self._compute_delays(work, now)
        return min(estimates, key=lambda each: each.first_event_s + compute_delay_s(each))

    def delay_s(self, endpoint: EndpointState, work: PlacedRequest, now: float) -> float:
        """Return the penalties of an endpoint for its zone and the way to it, in seconds."""
        return self.find_penalties(endpoint, work, now).total_s

    def _compute_delays(
        self, work: PlacedRequest, now: float
    ) -> Callable[[EndpointEstimate], float]:
        """Return what computes ``delay_s`` of many endpoints, that of a zone only once."""
        zone_delays_s: dict[str, float] = {}
        has_failed_zones = bool(work.failed_zones)
        has_lost_paths = self.paths.has_lost

        def compute(estimate: EndpointEstimate) -> float:
            endpoint = estimate.endpoint
            zone = endpoint.record.zone
            delay_s = zone_delays_s.get(zone)
            if delay_s is None:
                delay_s = zone_delays_s[zone] = self._cross_zone_delay_s(endpoint, work)
            if has_failed_zones:
                delay_s += _failed_zone_delay_s(endpoint, work)
            if has_lost_paths:
                delay_s += self._relay_delay_s(endpoint, now)
            return delay_s

        return compute

    def _relay_delay_s(self, endpoint: EndpointState, now: float) -> float:
        return RELAY_DELAY_S if self.is_path_lost(endpoint, now) else 0.0

    def _estimate_engines(
        self,
        candidates: list[EndpointState],
        owner: str | None,
        work: PlacedRequest,
        service: Service,
        size: str,
        now: float,
    ) -> list[EndpointEstimate]:
        parts = work.request.prompt_parts
        shared_tokens = sum(part.tokens for part in parts[:-1])
        speed = self.speed(work.service, size)
        prompt_tokens = max(work.request.prompt_tokens, sum(part.tokens for part in parts))
        prefixes = list_prefixes(size, parts) if service.has_light_cache else ()
        base_s = speed.base_first_token_s
        estimates = []
        for endpoint in candidates:
            cached_tokens = float(endpoint.count_cached_tokens(size, parts, now, prefixes))
            if endpoint.record.instance_id == owner:
                cached_tokens = max(cached_tokens, OWNER_CACHE_FRACTION * shared_tokens)
            uncached_tokens = max(0.0, prompt_tokens - cached_tokens)
            prefill_s = uncached_tokens * speed.prefill_s_per_token
            queue_s = endpoint.queue_s(now)
            load = endpoint.load
            queue_delay_s = queue_s + load * FULL_BATCH_DELAY_S + base_s
            first_event_s = (queue_delay_s + prefill_s) * endpoint.current_slowdown(now)
            estimates.append(
                EndpointEstimate(
                    endpoint, prefill_s, first_event_s, int(uncached_tokens), queue_s, load
                )
            )
        return estimates

    @staticmethod
    def _estimate_plain(endpoint: EndpointState) -> EndpointEstimate:
        first_event_s = (
            (1.0 + endpoint.in_flight + endpoint.peer_in_flight) * SLOT_DELAY_S * endpoint.slowdown
        )
        return EndpointEstimate(endpoint, 0.0, first_event_s, 0)

    def _cross_zone_delay_s(self, endpoint: EndpointState, work: PlacedRequest) -> float:
        """Return the penalty of an endpoint for being in another zone, in seconds."""
        zone = endpoint.record.zone
        if zone == self._zone:
            return 0.0
        remote_delay_s = CROSS_ZONE_DELAY_S + CROSS_ZONE_DELAY_S_PER_BYTE * len(work.request.body)
        return remote_delay_s + (SILENT_ZONE_DELAY_S if zone in self.silent_zones else 0.0)


def _select_available(endpoints: list[EndpointState], now: float) -> list[EndpointState]:
    """Return the endpoints of which ``is_available`` holds; a call for each would take longer."""
    return [
        endpoint
        for endpoint in endpoints
        if now >= endpoint.paused_until and not endpoint.is_unreached_by_others
    ]


def _failed_zone_delay_s(endpoint: EndpointState, work: PlacedRequest) -> float:
    """Return the penalty of an endpoint for its zone, where the request may have just failed."""
    failed_at = work.failed_zones.get(endpoint.record.zone)
    if failed_at is None or endpoint.last_response_at > failed_at:
        return 0.0
    return FAILED_ZONE_DELAY_S
