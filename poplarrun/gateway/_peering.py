"""Exchange of digests with the other hosts, and registration of this host in the store."""

import asyncio
import json
import random
import traceback
from collections.abc import Callable, Container

import msgspec

from poplarrun.crashes import CrashWatch
from poplarrun.dispatch import ConfigView
from poplarrun.gateway._activity import ActivityExchange, RolloutState
from poplarrun.gateway._crash_exchange import CrashExchange
from poplarrun.gateway._document_follower import DocumentFollower
from poplarrun.gateway._endpoint_offers import EndpointOffers
from poplarrun.gateway._leaving_exchange import LeavingExchange
from poplarrun.gateway._listing_follower import ListingFollower
from poplarrun.gateway._message_sender import MessageSender
from poplarrun.gateway._reachability import ReachabilityExchange
from poplarrun.gateway._request_end_exchange import RequestEndExchange
from poplarrun.gateway._session_handover import SessionHandover
from poplarrun.gateway._sessions import SessionLookup
from poplarrun.gateway._share_loans import ShareLoanExchange
from poplarrun.gateway._shared_limits import SharedLimitsExchange
from poplarrun.gateway._state_exchange import StateExchange
from poplarrun.links import Links
from poplarrun.logging import events, write_event
from poplarrun.peers import (
    DOCUMENTS,
    ENDPOINTS,
    CopyAnnouncement,
    CopyGrant,
    CopyOffer,
    CopyOrder,
    CopyReport,
    CopyStop,
    Digest,
    DocumentChanges,
    DueDigest,
    EndpointChanges,
    EndpointOffer,
    EndpointQuery,
    HostStart,
    HostStop,
    LoadNotice,
    LoanAnswer,
    LoanAsk,
    Message,
    NoticeBudget,
    PeerState,
    PeerTable,
    PinnedSessions,
    ReachabilityNotice,
    RecentSessions,
    Roster,
    RosterFingerprint,
    RosterRequest,
    Rosters,
    Scope,
    SessionAnswer,
    SessionQuery,
    SessionsSent,
    StateRequest,
    StateResponse,
    decode_message,
    encode_totals,
)
from poplarrun.placement import (
    EndpointDirectory,
    EndpointEstimate,
    Placement,
    Reachability,
)
from poplarrun.platform import (
    HOST_TOPIC,
    Appended,
    Entry,
    LatestRecords,
    StoreClient,
)
from poplarrun.rollouts import Rollouts
from poplarrun.transport import seconds_since_boot

# Intervals between two digests: reports to the aggregators of the own zone, zone totals to other
# zones, and fleet totals to a host of the own zone, which gets them from two aggregators.
REPORT_INTERVAL_S = 0.4
ZONE_INTERVAL_S = 1.0
FLEET_INTERVAL_S = 0.8
# Interval of zone totals while a roll-out is in progress: all hosts must know that a version is bad
# well within the operators' bound.
ROLLOUT_ZONE_INTERVAL_S = 0.4
ROUND_INTERVAL_S = 0.2
# A starting host waits at most this long for the first digest, since all other hosts may be dead
# or cut off.
FIRST_DIGEST_TIMEOUT_S = 1.0
# Shortest interval between two requests for the same roster.
ROSTER_REQUEST_INTERVAL_S = 0.3
# Interval between attempts to register the own address until one succeeds, and between reads of
# all addresses by an aggregator and by another host.
REGISTRATION_RETRY_INTERVAL_S = 1.0
AGGREGATOR_HOST_READ_INTERVAL_S = 20.0
HOST_READ_INTERVAL_S = 60.0
# A registered host counts as gone if nothing was heard from it for this long since its address was
# first read; longer than a zone is usually cut off.
GONE_TIMEOUT_S = 120.0
MILLISECONDS_PER_S = 1000.0
# Job of the host that removes the addresses of such hosts from the store.
ADDRESS_CLEANUP_JOB = "addresses"


LoadTestMessage = CopyOffer | CopyAnnouncement | CopyGrant | CopyOrder | CopyReport | CopyStop


def ignore_message(_: LoadTestMessage, __: float) -> None:
    """Do nothing; for hosts that take no part in load tests."""


class Peering:
    """Communication with the other hosts; runs on the event loop.

    Attributes
    ----------
    sender : MessageSender
        Sends all messages of this host to others.
    sessions : SessionLookup
        Asks which sessions stay on their version.
    handover : SessionHandover
        Keeps what is known of sessions while hosts are stopped and started.
    offers : EndpointOffers
        Asks hosts of other zones for endpoints, and answers them.
    handle_load_test : callable
        Called with another host's message about a load test, and the time.
    """

    def __init__(
        self,
        peer_table: PeerTable,
        links: Links,
        store: StoreClient,
        config_view: ConfigView,
        documents: DocumentFollower,
        listings: ListingFollower,
        directory: EndpointDirectory,
        placement: Placement,
        rollouts: Rollouts,
        reachability: Reachability,
        crash_watch: CrashWatch,
    ) -> None:
        self.peer_table = peer_table
        self._links = links
        self.sender = MessageSender(links)
        self._store = store
        self._config_view = config_view
        self._documents = documents
        self._listings = listings
        self._directory = directory
        self._placement = placement
        self._rollouts = rollouts
        self._rosters = Rosters(peer_table)
        self._reachability = ReachabilityExchange(peer_table, placement, reachability)
        self._shared_limits = SharedLimitsExchange(peer_table, placement)
        self._share_loans = ShareLoanExchange(peer_table.address, placement, config_view)
        self._leaving = LeavingExchange(placement)
        self._crashes = CrashExchange(crash_watch, placement)
        self._request_ends = RequestEndExchange(crash_watch.requests)
        self._notice_budget = NoticeBudget()
        self._activity = ActivityExchange(peer_table.zone, placement, rollouts)
        self.handover = SessionHandover(peer_table, self.sender, rollouts)
        self.sessions = SessionLookup(peer_table, self.sender, rollouts, self.handover)
        self.offers = EndpointOffers(
            peer_table,
            self.sender,
            config_view,
            placement,
            self.publish_load,
        )
        self._state = StateExchange(
            peer_table, self.sender, config_view, documents, listings, directory, placement
        )
        self._started_at = float("inf")
        self._alive_addresses: set[str] = set()
        self._rollout_states: list[RolloutState] = []
        self._changed_at = float("-inf")
        self._roster_requested_at: dict[tuple[str, str], float] = {}
        self._is_leaving = False
        self.handle_load_test: Callable[[LoadTestMessage, float], None] = ignore_message
        documents.publish_proof = self.publish_proof
        listings.publish_proof = self.publish_proof

    def publish_proof(self) -> None:
        """Send a digest that proves this host's latest read to the hosts of its zone."""
        now = seconds_since_boot()
        proof = self._make_proof(now)
        for peer in self.peer_table.reporting_peers(now):
            self._send(proof, peer, now)

    def publish_load(self, estimate: EndpointEstimate, prefix: int = 0) -> None:
        """Tell the hosts of this zone of a prompt that was just sent, if it occupies an endpoint.

        Parameters
        ----------
        prefix : int
            Fingerprint of its shared beginning; 0 for none.

        Notes
        -----
        The totals in digests are older than most prompts take. Until they arrive, all hosts
        would send to the endpoints that were idle a moment ago.
        """
        now = seconds_since_boot()
        peers = self.peer_table.zone_peers(now)
        if not self._notice_budget.try_spend(estimate.prefill_s, len(peers) + 1, now):
            return
        drain_ms = int(estimate.drain_s * MILLISECONDS_PER_S)
        notice = LoadNotice(estimate.endpoint.record.instance_id, drain_ms, prefix)
        self.sender.send_to_all([peer.address for peer in peers], notice)

    def send_load_test(self, address: str, message: LoadTestMessage) -> None:
        """Send a message about a load test to a host, which may be this one."""
        if address == self.peer_table.address:
            self.handle_load_test(message, seconds_since_boot())
            return
        self.sender.send(address, message)

    def job_owner(self, service: str) -> str:
        """Return the address of the alive host that comes first for a service's roll-outs."""
        return self.peer_table.job_owner(service, seconds_since_boot())

    def job_rank(self, service: str) -> int:
        """Return how many alive hosts precede this one for a service's roll-outs."""
        return self.peer_table.job_rank(service, seconds_since_boot())

    def is_informed(self, now: float) -> bool:
        """Return whether this host knows the progress of roll-outs after its start.

        The store has the order, but neither its age nor whether the shift has begun. With the order
        alone, a restarted host would begin the trial again.
        """
        if self.peer_table.has_heard or self.peer_table.is_alone:
            return True
        return now - self._started_at >= FIRST_DIGEST_TIMEOUT_S

    async def run(self, seeds: tuple[str, ...]) -> None:
        """Exchange digests with the other hosts forever."""
        self._started_at = seconds_since_boot()
        self._placement.shares.start(
            self.peer_table.address, self.peer_table.zone, self._started_at
        )
        for seed in seeds:
            self.peer_table.add_address(seed, self._started_at)
        self._links.start(self._receive)
        self.handover.start(self._started_at)
        await self.run_rounds()

    async def run_rounds(self) -> None:
        """Send what is due, and apply what has become known, in rounds forever."""
        while True:
            self._run_round(seconds_since_boot())
            await asyncio.sleep(ROUND_INTERVAL_S)

    async def keep_registered(self) -> None:
        """Keep this host registered in the store, and read the other addresses periodically."""
        is_listed = False
        while not self._is_leaving:
            if not is_listed:
                is_listed = await self._register()
                await asyncio.sleep(
                    0.0 if is_listed else _add_jitter(REGISTRATION_RETRY_INTERVAL_S)
                )
                continue
            newest = await self._store.read_latest(HOST_TOPIC)
            if isinstance(newest, LatestRecords):
                is_listed = self.peer_table.address in [entry.key for entry in newest.entries]
                await self._apply_addresses(newest.entries, seconds_since_boot())
            is_aggregator = self.peer_table.is_aggregator(seconds_since_boot())
            await asyncio.sleep(
                _add_jitter(
                    AGGREGATOR_HOST_READ_INTERVAL_S if is_aggregator else HOST_READ_INTERVAL_S
                )
            )

    async def deregister(self) -> None:
        """Remove this host's address from the store, and stop registering it."""
        self._is_leaving = True
        await self._store.append(HOST_TOPIC, [(self.peer_table.address, None)])

    async def _register(self) -> bool:
        value = json.dumps({"zone": self.peer_table.zone}).encode()
        answer = await self._store.append(HOST_TOPIC, [(self.peer_table.address, value)])
        return isinstance(answer, Appended)

    async def _apply_addresses(self, entries: tuple[Entry, ...], now: float) -> None:
        """Apply the registered addresses; one host removes those of hosts that are gone.

        Killed hosts leave their addresses behind. With some hundred a day, each starting host
        would read thousands of addresses and send to hosts that don't exist. A host that was only
        cut off notices that its address is missing and registers again.
        """
        for entry in entries:
            self.peer_table.add_address(entry.key, now, _decode_zone(entry))
        if self.peer_table.job_rank(ADDRESS_CLEANUP_JOB, now) > 0:
            return
        gone = [
            entry.key
            for entry in entries
            if self.peer_table.is_gone(entry.key, now, GONE_TIMEOUT_S)
        ]
        if gone:
            await self._store.append(HOST_TOPIC, [(address, None) for address in gone])
            write_event(events.PeersChanged(gone, []))

    def _run_round(self, now: float) -> None:
        active = self._rollouts.active()
        zone_interval_s = ROLLOUT_ZONE_INTERVAL_S if active else ZONE_INTERVAL_S
        self._update_rollout_states(now)
        self._crashes.update(now)
        self._rosters.expire(now)
        self._reachability.update_placement(now)
        for peer, notice in self._reachability.due_notices(now):
            self.sender.send(peer.address, notice)
        due = self.peer_table.due_digests(
            now,
            REPORT_INTERVAL_S,
            zone_interval_s,
            FLEET_INTERVAL_S,
            self._changed_at,
        )
        if due:
            self._send_digests(due, now)
        self._send_news({each.peer.address for each in due}, now)
        self._activity.apply_totals(now)
        self.sessions.publish()
        self.handover.ask(now)
        self._update_alive(now)
        for lender, ask in self._share_loans.plan_asks(now).items():
            self.sender.send(lender, ask)

    def _update_rollout_states(self, now: float) -> bool:
        """Return whether the state of a roll-out has changed since the last call."""
        states = self._activity.rollout_states(now)
        if states == self._rollout_states:
            return False
        self._rollout_states = states
        self._changed_at = now
        return True

    def _send_digests(self, due_digests: list[DueDigest], now: float) -> None:
        own = self._activity.own_totals(now)
        template = self._make_digest(now)
        digests: dict[tuple[Scope, bool], Digest] = {}
        for due in due_digests:
            is_other_zone = due.peer.zone != self.peer_table.zone
            key = (due.scope, is_other_zone)
            if key not in digests:
                totals = b""
                if due.scope is not Scope.NONE:
                    totals = encode_totals(self._activity.totals_for_scope(due.scope, own, now))
                is_report = due.scope is Scope.HOST
                fingerprints = [] if is_report else self._rosters.fingerprints(is_other_zone, now)
                digests[key] = msgspec.structs.replace(
                    template,
                    scope=due.scope,
                    totals=totals,
                    roster_fingerprints=fingerprints,
                    reach=self._reachability.reach(now) if is_report else [],
                    unreached=self._reachability.unreached(due.scope, now),
                )
            if due.scope is Scope.HOST:
                self._activity.record_sent(own, now)
            self._send(digests[key], due.peer, now)

    def _send_news(self, told: Container[str], now: float) -> None:
        """Send what can't wait for the next digest, and nothing else, to the hosts not yet told."""
        proof = self._make_proof(now)
        news = proof
        for exchange in (self._leaving, self._shared_limits, self._crashes, self._request_ends):
            news = exchange.add_news(news, now)
        if news is proof:
            return
        for peer in self.peer_table.digest_receivers(now):
            if peer.address not in told:
                self._send(news, peer, now)

    def _send(self, digest: Digest, peer: PeerState, now: float) -> None:
        """Send a digest, completed by the stamps for its receiver."""
        included_stamp = (
            self._activity.stamp_of(peer.address) if digest.scope is Scope.FLEET else 0.0
        )
        message = msgspec.structs.replace(
            digest,
            echoed_stamp=peer.last_stamp,
            echoed_lifetime=peer.lifetime,
            echo_delay_s=now - peer.heard_at if peer.last_stamp else 0.0,
            included_stamp=included_stamp,
        )
        self.sender.send(peer.address, message)

    def _update_alive(self, now: float) -> None:
        self._placement.silent_zones = self.peer_table.silent_zones(now)
        self._shared_limits.update_hosts(now)
        alive = {peer.address for peer in self.peer_table.alive_peers(now)}
        if alive != self._alive_addresses:
            lost = sorted(self._alive_addresses - alive)
            found = sorted(alive - self._alive_addresses)
            write_event(events.PeersChanged(lost, found))
            self._alive_addresses = alive

    def _make_digest(self, now: float) -> Digest:
        """Return a digest with the fields that are the same for all receivers."""
        return msgspec.structs.replace(
            self._make_proof(now),
            rollouts=self._activity.rollout_progress(now),
            evacuations=self._state.evacuations(),
            rate_limits=self._shared_limits.rate_limits(now),
            brittle=self._shared_limits.brittle_services(now),
            leaving=self._leaving.announced(now),
            crashes=self._crashes.crashes(now),
            begun_parts=self._crashes.begun_parts(now),
            quarantined=self._crashes.quarantined(now),
            requests_with_ends=self._request_ends.requests_with_ends(now),
            answered_requests=self._request_ends.answered_requests(now),
            is_complete=True,
        )

    def _make_proof(self, now: float) -> Digest:
        """Return a digest of nothing but how far this host has read, and that it is alive."""
        catalogue = self._config_view.catalogue
        return Digest(
            address=self.peer_table.address,
            zone=self.peer_table.zone,
            stamp=now,
            echoed_stamp=0.0,
            echo_delay_s=0.0,
            config_version=-1 if catalogue is None else catalogue.version,
            config_age_s=min(1e6, self._config_view.age_s(now)),
            listing_age_s=min(1e6, now - self._listings.confirmed_at),
            documents_end_offset=-1 if self._documents.offset is None else self._documents.offset,
            listing_end_offset=self._directory.next_offset if self._listings.has_read_store else -1,
            store_available_s=self._listings.available_s(now),
            is_complete=False,
            failed_topics=self._failed_topics(),
            lifetime=self.peer_table.lifetime,
        )

    def _failed_topics(self) -> list[str]:
        readers = {DOCUMENTS: self._documents.reader, ENDPOINTS: self._listings.reader}
        return [topic for topic, reader in readers.items() if reader.has_failed]

    def _receive(self, data: bytes) -> None:
        message = decode_message(data)
        if message is None:
            write_event(events.MessageUnreadable(len(data)))
            return
        try:
            self._handle(message, seconds_since_boot())
        except Exception as error:
            text = "".join(traceback.format_exception(error))
            write_event(events.MessageFailed(type(message).__name__, text))

    def _handle(self, message: Message, now: float) -> None:
        match message:
            case Digest() as digest:
                self._handle_digest(digest, now)
            case ReachabilityNotice() as reachability_notice:
                self._reachability.apply_notice(reachability_notice, now)
            case RosterRequest() as roster_request:
                self._handle_roster_request(roster_request, now)
            case Roster() as roster:
                self._handle_roster(roster, now)
            case StateRequest() as request:
                self.sender.send(request.address, self._state.make_response(request))
            case StateResponse() as response:
                self._state.apply_response(response, now)
            case EndpointChanges() as changes:
                self._state.apply_changes(changes)
            case LoadNotice(instance_id, drain_ms, prefix):
                drain_s = drain_ms / MILLISECONDS_PER_S
                self._placement.apply_load_notice(instance_id, drain_s, now, prefix)
            case (
                CopyOffer()
                | CopyAnnouncement()
                | CopyGrant()
                | CopyOrder()
                | CopyReport()
                | CopyStop()
            ) as load_test:
                self.handle_load_test(load_test, now)
            case DocumentChanges() as documents:
                self._state.apply_documents(documents)
            case PinnedSessions() as pinned:
                self.sessions.apply_pinned(pinned)
            case LoanAsk() as ask:
                answer = self._share_loans.answer(ask, now)
                self.sender.send(ask.address, answer)
            case LoanAnswer() as loan_answer:
                self._share_loans.apply_answer(loan_answer, now)
            case SessionQuery() as session_query:
                self.sessions.handle_query(session_query)
            case SessionAnswer() as session_answer:
                self.sessions.handle_answer(session_answer)
            case HostStart() as start:
                self.handover.handle_start(start, now)
            case SessionsSent() as sent:
                self.handover.handle_sent(sent)
            case HostStop() as stop:
                self.handover.handle_stop(stop, now)
            case RecentSessions() as recent:
                self.handover.apply_recent(recent, now)
            case EndpointQuery() as endpoint_query:
                self.offers.handle_query(endpoint_query, now)
            case EndpointOffer() as offer:
                self.offers.handle_offer(offer)

    def _handle_digest(self, digest: Digest, now: float) -> None:
        known = self.peer_table.find(digest.address)
        is_new = known is None or not known.is_alive(now)
        if not self.peer_table.apply_digest(digest, now):
            return
        peer = self.peer_table.find(digest.address)
        # A host that starts, or comes back, gets a digest at once. Its first digest may have
        # arrived while those sent to it were lost, so it may be known but have heard nothing.
        is_new = is_new or digest.echoed_stamp <= 0.0
        if is_new and peer is not None and now - peer.last_sent_at >= REPORT_INTERVAL_S:
            peer.last_sent_at = now
            is_own_zone = digest.zone == self.peer_table.zone
            self._send_digests([DueDigest(peer, Scope.FLEET if is_own_zone else Scope.NONE)], now)
        for fingerprint in digest.roster_fingerprints:
            self._apply_fingerprint(digest, fingerprint, now)
        self._activity.apply_digest(digest, now)
        self._reachability.apply_digest(digest, now)
        self._state.apply_digest(digest, now)
        self._shared_limits.apply_digest(digest, now)
        self._leaving.apply_digest(digest, now)
        self._crashes.apply_digest(digest, now)
        self._request_ends.apply_digest(digest, now)
        if self._update_rollout_states(now):
            # A change passes three hosts on its way to another zone; none may wait for a round.
            self._run_round(now)

    def _apply_fingerprint(
        self, digest: Digest, fingerprint: RosterFingerprint, now: float
    ) -> None:
        if digest.zone not in (self.peer_table.zone, fingerprint.zone):
            return
        if self._rosters.apply_fingerprint(digest.address, digest.zone, fingerprint, now):
            return
        key = (digest.address, fingerprint.zone)
        if now - self._roster_requested_at.get(key, float("-inf")) < ROSTER_REQUEST_INTERVAL_S:
            return
        self._roster_requested_at[key] = now
        self.sender.send(digest.address, RosterRequest(self.peer_table.address, fingerprint.zone))

    def _handle_roster(self, roster: Roster, now: float) -> None:
        # Rosters that were not requested from their sender are ignored.
        sender = self.peer_table.find(roster.address)
        requested_at = self._roster_requested_at.pop((roster.address, roster.zone), None)
        if sender is not None and requested_at is not None:
            self._rosters.apply_roster(roster, sender.zone, now)

    def _handle_roster_request(self, request: RosterRequest, now: float) -> None:
        hosts = self._rosters.roster(request.zone, now)
        age_s = self._rosters.roster_age_s(request.zone, now)
        roster = Roster(self.peer_table.address, request.zone, hosts, age_s)
        self.sender.send(request.address, roster)


def _decode_zone(entry: Entry) -> str:
    """Return the zone in the record of a host's address; empty if it can't be decoded."""
    try:
        return str(json.loads(entry.value or b"")["zone"])
    except (ValueError, KeyError, TypeError, RecursionError):
        return ""


def _add_jitter(seconds: float) -> float:
    """Return a time with jitter, so that hosts that start together don't call together."""
    return seconds * random.uniform(0.7, 1.3)
