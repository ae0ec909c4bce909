"""The choice of an endpoint: least expected time to the first event.

It answers a load of long prompts of which large beginnings are shared: an endpoint
that has read a beginning before starts up to four times sooner, and one that reads
another long prompt meanwhile starts later.
"""

import random
from collections.abc import Container
from dataclasses import dataclass

from poplarrun.placement._endpoint_directory import EndpointRecord
from poplarrun.placement._endpoint_state import EndpointState
from poplarrun.rendezvous import RankingCache, choose_owner, hash_name
from poplarrun.routing import InFlightRequest, Service
from poplarrun.speeds import PoolSpeed

# Time that a full batch adds to the first event, in seconds.
FULL_BATCH_S = 0.6
# What one more call costs at a plain service for each taken place, in seconds.
PLACE_S = 0.1
# What a call to another zone counts besides its time, in seconds: for the packets that
# links between zones lose, each of which holds an event up for 0.2 s, and for each byte
# of the request, whose way is paid for.
FAR_S = 0.07
FAR_BYTE_S = 25e-6
# Added for an endpoint in a zone of which no host is heard any more, in seconds: the
# zone is most likely cut off, and a send there costs the patience of a silent answer.
SILENT_ZONE_S = 2.5
# How far the home of a beginning is trusted to hold it while nobody told so.
HOME_CERTAINTY = 0.5
# Endpoints of the own zone and of others that are weighed in one choice: all those of a
# small installation, and enough of a large one.
MOST_NEAR = 32
MOST_FAR = 16
# Load, in requests for each place, up to which a version is proven at one endpoint.
PROVING_LOAD = 0.9
# Prompt tokens that an endpoint reads in a second until some were measured.
FIRST_TOKENS_PER_S = 25_000.0


@dataclass(frozen=True, slots=True)
class EndpointEstimate:
    """A chosen endpoint and what is expected of it.

    Attributes
    ----------
    prefill_s : float
        Time to read the part of the prompt that it does not remember.
    first_event_s : float
        Time to the first event, or to the answer of a plain service.
    uncached_tokens : int
        Prompt tokens that it has to read.
    queue_s : float
        Time that the prompts take which are known to wait there.
    load : float
        Requests for each of its places.
    """

    endpoint: EndpointState
    prefill_s: float
    first_event_s: float
    uncached_tokens: int
    queue_s: float = 0.0
    load: float = 0.0


class Placement:
    """Chooses among the members; called on the loop only.

    Parameters
    ----------
    zone : str
        The host's own availability zone.

    Attributes
    ----------
    silent_zones : frozenset of str
        Zones that had hosts, of which none is heard any more.
    """

    def __init__(self, zone: str, source: random.Random) -> None:
        self._zone = zone
        self._random = source
        self._members: dict[str, EndpointState] = {}
        self.silent_zones: frozenset[str] = frozenset()
        self._others: dict[str, dict[str, tuple[int, float]]] = {}
        self._ranking = RankingCache()
        self._speeds: dict[tuple[str, str], PoolSpeed] = {}

    def update_endpoints(self, listings: list[EndpointRecord]) -> None:
        """Take over the listed endpoints."""
        members: dict[str, EndpointState] = {}
        for listing in listings:
            member = self._members.get(listing.instance_id)
            if member is None or member.record.started_ms != listing.started_ms:
                member = EndpointState(listing)
            member.record = listing
            members[listing.instance_id] = member
        self._members = members
        self._sum_others()

    def apply_peer_load(self, host: str, loads: dict[str, tuple[int, float]]) -> None:
        """Take over what another host runs: requests and pending seconds by lifetime."""
        self._others[host] = loads
        self._sum_others()

    def _sum_others(self) -> None:
        for lifetime, member in self._members.items():
            loads = [known[lifetime] for known in self._others.values() if lifetime in known]
            member.peer_in_flight = float(sum(requests for requests, _ in loads))
            member.peer_pending_prefill_s = sum(pending_s for _, pending_s in loads)

    def endpoints(self, service: str | None = None) -> list[EndpointState]:
        """Return the members of a service, leaving ones included, or all."""
        return [
            member
            for member in self._members.values()
            if service is None or member.record.service == service
        ]

    def find(self, lifetime: str) -> EndpointState | None:
        """Return a member by its id."""
        return self._members.get(lifetime)

    def speed(self, service: str, size: str) -> PoolSpeed:
        """Return what was learnt of how fast a model reads prompts."""
        speed = self._speeds.get((service, size))
        if speed is None:
            speed = PoolSpeed(prefill_s_per_token=1.0 / FIRST_TOKENS_PER_S)
            self._speeds[(service, size)] = speed
        return speed

    def choose(
        self,
        work: InFlightRequest,
        service: Service,
        now: float,
        size: str = "",
        versions: Container[str] | None = None,
        avoided_version: str | None = None,
        include_tried: bool = False,
        concentrate_load: bool = False,
    ) -> EndpointEstimate | None:
        """Return the member that should answer first; None where none may be asked.

        Parameters
        ----------
        versions : container of str, optional
            Only members of these versions.
        avoided_version : str, optional
            No members of this version.
        include_tried : bool
            Whether members that it was sent to before count like all others.
        concentrate_load : bool
            Whether one member, the same for all hosts, is filled first. A version that is
            bad under load only looks good on many idle endpoints, until it has all traffic.
        """
        usable = [
            member
            for member in self._members.values()
            if member.record.service == work.service
            and not member.record.is_leaving
            and (versions is None or member.record.version in versions)
            and member.record.version != avoided_version
        ]
        free = [member for member in usable if not member.is_paused(now)]
        tried = set() if include_tried else work.tried_endpoints
        fresh = [member for member in free if member.record.instance_id not in tried]
        candidates = fresh or free or usable
        if not candidates:
            return None
        if concentrate_load:
            candidates = self._proving(candidates)
        home = self._home(candidates, work, size)
        candidates = self._draw(candidates, home)
        if service.cache_tokens == 0:
            seats = [self._seat_plain(member) for member in candidates]
        else:
            seats = self._seat_engines(candidates, home, work, size, now)
        return self._pick(seats, work)

    def _proving(self, candidates: list[EndpointState]) -> list[EndpointState]:
        """Return the one member that all hosts fill first, or all once it is full."""
        names = tuple(member.record.instance_id for member in candidates)
        first = self._members[self._ranking.rank("proving", names)[0]]
        return [first] if first.load < PROVING_LOAD else candidates

    @staticmethod
    def _home(candidates: list[EndpointState], work: InFlightRequest, size: str) -> str | None:
        """Return the member that prompts with the same beginning usually go to."""
        parts = work.request.prompt_parts
        shared = parts[-2:-1] or parts[-1:]
        if not shared:
            return None
        salts = [(member.record.instance_id, member.salt) for member in candidates]
        return choose_owner(hash_name(size + shared[0].key), salts)

    def _draw(self, candidates: list[EndpointState], home: str | None) -> list[EndpointState]:
        """Return the members to weigh, in a drawn order: all, or some of very many.

        The time of a choice grows with the members weighed. The best of a few dozen
        drawn ones waits hardly longer than the best of all, and each host draws others,
        so that they don't all go to the same one on old news.
        """
        near = [member for member in candidates if member.record.zone == self._zone]
        if len(near) > MOST_NEAR or len(candidates) - len(near) > MOST_FAR:
            far = [member for member in candidates if member.record.zone != self._zone]
            drawn = self._random.sample(near, min(len(near), MOST_NEAR))
            drawn += self._random.sample(far, min(len(far), MOST_FAR))
            drawn += [member for member in candidates if member.record.instance_id == home]
            candidates = drawn
        start = self._random.randrange(len(candidates))
        return candidates[start:] + candidates[:start]

    def _pick(self, seats: list[EndpointEstimate], work: InFlightRequest) -> EndpointEstimate:
        far_s = FAR_S + FAR_BYTE_S * len(work.request.body)
        return min(
            seats, key=lambda seat: seat.first_event_s + self._distance_s(seat.endpoint, far_s)
        )

    def _seat_engines(
        self,
        candidates: list[EndpointState],
        home: str | None,
        work: InFlightRequest,
        size: str,
        now: float,
    ) -> list[EndpointEstimate]:
        parts = work.request.prompt_parts
        shared_tokens = sum(part.tokens for part in parts[:-1])
        speed = self.speed(work.service, size)
        prompt = max(work.request.prompt_tokens, sum(part.tokens for part in parts))
        seats = []
        for member in candidates:
            known = float(member.count_cached_tokens(size, parts, now))
            if member.record.instance_id == home:
                known = max(known, HOME_CERTAINTY * shared_tokens)
            unread = max(0.0, prompt - known)
            read_s = unread * speed.prefill_s_per_token
            waits_s = member.queue_s + member.load * FULL_BATCH_S + speed.base_first_token_s
            first_s = (waits_s + read_s) * member.current_slowdown(now)
            seats.append(
                EndpointEstimate(member, read_s, first_s, int(unread), member.queue_s, member.load)
            )
        return seats

    @staticmethod
    def _seat_plain(member: EndpointState) -> EndpointEstimate:
        first_s = (1.0 + member.in_flight + member.peer_in_flight) * PLACE_S * member.slowdown
        return EndpointEstimate(member, 0.0, first_s, 0)

    def _distance_s(self, member: EndpointState, far_s: float) -> float:
        """Return what the way to a member counts in the choice, besides its time."""
        zone = member.record.zone
        if zone == self._zone:
            return 0.0
        return far_s + (SILENT_ZONE_S if zone in self.silent_zones else 0.0)
