"""Exchange with the hosts of other zones of which of their endpoints has room for a request."""

import asyncio
import contextlib
import dataclasses
import enum
import itertools
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass

from poplarrun.dispatch import ConfigView, Dispatcher, OfferedEndpoint, SendDecision
from poplarrun.errors import Refusal
from poplarrun.gateway._message_sender import MessageSender
from poplarrun.peers import EndpointOffer, EndpointQuery, PeerTable, QueriedPart
from poplarrun.placement import (
    AlternativeZone,
    EndpointEstimate,
    EndpointFilter,
    PeerPrompt,
    PeerRequest,
    Placement,
    find_shared_prefix,
)
from poplarrun.rendezvous import RankingCache
from poplarrun.routing import InFlightRequest, PromptPart
from poplarrun.transport import seconds_since_boot

# Longest wait for an offer. A round trip between zones takes up to 10 ms; the rest is for a host
# that is busy.
OFFER_TIMEOUT_S = 0.05
# A zone is not asked for this time after so many failures within the window: its hosts are dead or
# cut off, or it has no room, and each question costs its caller the wait.
PAUSE_S = 1.0
FAILURE_WINDOW_S = 2.0
MAX_FAILURES = 2
# Longest prompt list that is sent to a peer, in parts and in characters of their keys. The keys
# come from callers, and messages between hosts are bounded.
MAX_QUERIED_PARTS = 32
MAX_QUERIED_CHARACTERS = 2_000
MILLISECONDS_PER_S = 1000.0


class AskOutcome(enum.Enum):
    """How a question for an endpoint of another zone ended.

    ``TAKEN``: the request goes to the endpoint offered. ``EMPTY``: the zone has nothing better.
    ``LATE``: no answer arrived in time. ``NOT_ALLOWED``: this host may not send to the endpoint
    offered, or not any more.
    """

    TAKEN = "taken"
    EMPTY = "empty"
    LATE = "late"
    NOT_ALLOWED = "not_allowed"


@dataclass(frozen=True, slots=True)
class AskedZone:
    """A question for an endpoint of another zone, and how it ended.

    Attributes
    ----------
    host : str
        Address of the host that was asked.
    endpoint : str
        Instance id of the endpoint offered; empty for none.
    seconds : float
        How long the request waited.
    expected_s : float
        Expected time to the first event at the endpoint offered, else at the best one of the own
        zone.
    """

    zone: str
    host: str
    outcome: AskOutcome
    endpoint: str
    seconds: float
    expected_s: float


class ZonePauses:
    """The zones that are not asked for a while, because questions to them have failed."""

    def __init__(self) -> None:
        self._failed_at: dict[str, deque[float]] = defaultdict(lambda: deque(maxlen=MAX_FAILURES))
        self._paused_until: dict[str, float] = {}

    def record_failure(self, zone: str, now: float) -> None:
        """Record a question that brought no endpoint."""
        failed_at = self._failed_at[zone]
        failed_at.append(now)
        if len(failed_at) == MAX_FAILURES and now - failed_at[0] <= FAILURE_WINDOW_S:
            self._paused_until[zone] = now + PAUSE_S
            failed_at.clear()

    def is_paused(self, zone: str, now: float) -> bool:
        """Return whether a zone is not to be asked now."""
        return now < self._paused_until.get(zone, 0.0)


class ZoneContacts:
    """The host of each zone that this host asks.

    It is always the same one while it answers, since both sides then have a connection open: to set
    one up takes longer than an answer may. Each host has a contact of its own, by rendezvous
    hashing.

    Parameters
    ----------
    address : str
        Address of this host.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._rankings: dict[str, RankingCache] = defaultdict(RankingCache)
        self._passed_over: dict[str, int] = defaultdict(int)

    def choose(self, zone: str, hosts: list[str]) -> str:
        """Return the host to ask among the alive ones of a zone."""
        ranking = self._rankings[zone].rank(self._address, tuple(sorted(hosts)))
        return ranking[self._passed_over[zone] % len(ranking)]

    def record_late(self, zone: str) -> None:
        """Ask another host of the zone from now on."""
        self._passed_over[zone] += 1


class EndpointOffers:
    """Asks hosts of other zones for endpoints, and answers their questions.

    Parameters
    ----------
    publish_load : callable
        Tells the hosts of this zone of a prompt that an endpoint will read, with the fingerprint
        of its shared beginning.

    Attributes
    ----------
    may_answer : callable
        Returns whether this host serves callers. One that stops, or lacks state, leaves questions
        unanswered.
    """

    def __init__(
        self,
        peer_table: PeerTable,
        sender: MessageSender,
        config_view: ConfigView,
        placement: Placement,
        publish_load: Callable[[EndpointEstimate, int], None],
    ) -> None:
        self._peer_table = peer_table
        self._sender = sender
        self._config_view = config_view
        self._placement = placement
        self._publish_load = publish_load
        self._contacts = ZoneContacts(peer_table.address)
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[EndpointOffer]] = {}
        self._pauses = ZonePauses()
        self.may_answer: Callable[[], bool] = lambda: True

    async def resolve(
        self,
        work: InFlightRequest,
        decision: SendDecision,
        dispatcher: Dispatcher,
        record: Callable[[InFlightRequest, AskedZone], None],
    ) -> SendDecision | Refusal:
        """Return where a request goes, after asking the zone that its decision names, if any.

        Without an offer that may be used, the endpoint is chosen anew: while the request waited,
        its key may have been revoked, and the best endpoint of the own zone may have changed.

        Parameters
        ----------
        record : callable
            Called with the question, once it has ended.
        """
        alternative = decision.alternative_zone
        asked_at = seconds_since_boot()
        if alternative is None or self._pauses.is_paused(alternative.zone, asked_at):
            return decision
        if not _is_short(work):
            return decision
        hosts = self._peer_table.alive_peers_in(alternative.zone, asked_at)
        if not hosts:
            return self._decide_unasked(decision, alternative)
        host = self._contacts.choose(alternative.zone, [peer.address for peer in hosts])
        offer = await self._ask(host, work, decision, alternative)
        now = seconds_since_boot()
        outcome, chosen = AskOutcome.LATE, None
        # A host that was suspended finds an offer as old as the suspension.
        if offer is not None and now - asked_at <= OFFER_TIMEOUT_S:
            outcome, chosen = _judge_offer(work, decision, dispatcher, offer, now)
        instance_id = "" if offer is None else offer.instance_id
        expected_s = (chosen or decision).estimate.first_event_s
        asked = AskedZone(alternative.zone, host, outcome, instance_id, now - asked_at, expected_s)
        record(work, asked)
        if outcome is AskOutcome.LATE:
            self._contacts.record_late(alternative.zone)
        if chosen is not None:
            return chosen
        self._pauses.record_failure(alternative.zone, now)
        return dispatcher.choose_endpoint(work, now)

    def _decide_unasked(self, decision: SendDecision, alternative: AlternativeZone) -> SendDecision:
        """Decide without a host to ask.

        The endpoints of a zone that never had a host are sent to on what is known of them. A zone
        whose hosts have fallen silent is most likely cut off.
        """
        if alternative.zone in self._placement.silent_zones:
            return decision
        return dataclasses.replace(decision, estimate=alternative.estimate, alternative_zone=None)

    async def _ask(
        self,
        host: str,
        work: InFlightRequest,
        decision: SendDecision,
        alternative: AlternativeZone,
    ) -> EndpointOffer | None:
        """Return the offer of a host; None if it doesn't arrive in time."""
        number = next(self._numbers)
        pending: asyncio.Future[EndpointOffer] = asyncio.get_running_loop().create_future()
        self._pending[number] = pending
        try:
            self._sender.send(host, self._make_query(number, work, decision, alternative))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(OFFER_TIMEOUT_S):
                    return await pending
            return None
        finally:
            del self._pending[number]

    def _make_query(
        self,
        number: int,
        work: InFlightRequest,
        decision: SendDecision,
        alternative: AlternativeZone,
    ) -> EndpointQuery:
        request, versions = work.request, decision.versions
        return EndpointQuery(
            address=self._peer_table.address,
            number=number,
            service=work.service,
            model=decision.size or "",
            parts=[QueriedPart(part.key, part.tokens) for part in request.prompt_parts],
            prompt_tokens=request.prompt_tokens,
            versions=None if versions.allowed is None else sorted(versions.allowed),
            avoided_version=versions.excluded,
            tried=sorted(work.tried_endpoints),
            max_first_event_ms=max(0, int(alternative.max_first_event_s * MILLISECONDS_PER_S)),
        )

    def handle_offer(self, offer: EndpointOffer) -> None:
        """Pass an offer to the request that waits for it; a late one is dropped."""
        pending = self._pending.get(offer.number)
        if pending is not None and not pending.done():
            pending.set_result(offer)

    def handle_query(self, query: EndpointQuery, now: float) -> None:
        """Answer another host's question, unless this host is about to stop or not ready."""
        if self.may_answer():
            self._sender.send(query.address, self._make_offer(query, now))

    def _make_offer(self, query: EndpointQuery, now: float) -> EndpointOffer:
        """Return the best endpoint of the own zone, and count the request as sent to it."""
        nothing = EndpointOffer(query.number)
        catalogue = self._config_view.catalogue
        service = None if catalogue is None else catalogue.services.get(query.service)
        if service is None or not service.has_light_cache:
            return nothing
        parts = tuple(PromptPart(part.key, part.tokens) for part in query.parts)
        work = PeerRequest(
            PeerPrompt(parts, query.prompt_tokens), query.service, frozenset(query.tried)
        )
        versions = None if query.versions is None else frozenset(query.versions)
        allowed = EndpointFilter(versions, query.avoided_version)
        estimate = self._placement.choose_for_peer(work, service, now, query.model, allowed)
        if estimate is None:
            return nothing
        first_event_ms = int(estimate.first_event_s * MILLISECONDS_PER_S)
        if first_event_ms >= query.max_first_event_ms:
            return nothing
        instance_id = estimate.endpoint.record.instance_id
        prefix = find_shared_prefix(query.model, parts)
        self._publish_load(estimate, prefix)
        self._placement.apply_load_notice(instance_id, estimate.drain_s, now, prefix)
        return EndpointOffer(
            query.number,
            instance_id,
            first_event_ms,
            estimate.uncached_tokens,
            int(estimate.queue_s * MILLISECONDS_PER_S),
        )


def _is_short(work: InFlightRequest) -> bool:
    parts = work.request.prompt_parts
    characters = sum(len(part.key) for part in parts)
    return len(parts) <= MAX_QUERIED_PARTS and characters <= MAX_QUERIED_CHARACTERS


def _judge_offer(
    work: InFlightRequest,
    decision: SendDecision,
    dispatcher: Dispatcher,
    offer: EndpointOffer,
    now: float,
) -> tuple[AskOutcome, SendDecision | None]:
    if not offer.instance_id:
        return AskOutcome.EMPTY, None
    offered = OfferedEndpoint(
        offer.instance_id,
        offer.first_event_ms / MILLISECONDS_PER_S,
        offer.uncached_tokens,
        offer.queue_ms / MILLISECONDS_PER_S,
    )
    chosen = dispatcher.accept_offer(work, decision, offered, now)
    return (AskOutcome.NOT_ALLOWED if chosen is None else AskOutcome.TAKEN), chosen
