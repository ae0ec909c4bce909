"""How a starting host gets its initial shares of the limits."""

import asyncio
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from poplarrun.hosts import Peers, PeerSilent
from poplarrun.limits._loans import ASK_TIMEOUT_S, Loan
from poplarrun.limits._reports import LimitKind, Summary, decode_report

START_MESSAGE = "limits.start"
# Hosts of the own zone that a starting host asks; each gives an equal portion.
MAX_STARTUP_LENDERS = 8
# Rounds for which the known hosts and zones must stay the same before a host starts without
# portions from others. Hosts that start together know only some of each other at first, and would
# divide the limit by too few.
STABLE_ROUNDS = 3
# A host that is alone or isolated starts after this many rounds anyway.
MAX_STARTUP_ROUNDS = 8
# It starts with this fraction divided by the hosts that it knows. It can't know what others hold,
# so the limit may be exceeded by this much for a few rounds.
FALLBACK_FRACTION = 0.25
GONE_STATES = frozenset({"dead", "left"})


class StartRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request of a starting host for one of several equal portions of each share."""

    portions: int


class StartAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Portions given to a starting host; empty while the asked host is starting itself."""

    has_shares: bool
    granted: list[Loan] = []


encode_start = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(StartRequest)
_answer_decoder = msgspec.msgpack.Decoder(StartAnswer)


def decode_request(payload: bytes) -> StartRequest | None:
    """Decode a request; None if the bytes are invalid."""
    try:
        request = _request_decoder.decode(payload)
    except msgspec.DecodeError:
        return None
    return request if request.portions > 1 else None


@dataclass
class StartupSequence:
    """Decides when a starting host may serve requests, and with which shares.

    Attributes
    ----------
    has_shares : bool
        Whether this host has its initial shares.
    """

    peers: Peers
    has_shares: bool = False
    _knows_others: bool = False
    _rounds: int = 0
    _stable_rounds: int = 0
    _is_unanswered: bool = False
    _live_before: frozenset[str] = field(default_factory=frozenset)

    async def request_shares(self) -> list[Loan]:
        """Request a portion of the shares of hosts of the own zone.

        Shares stay within the zone, so the sums known to other zones stay correct.
        """
        zone_peers = list_zone_peers(self.peers)[:MAX_STARTUP_LENDERS]
        if not zone_peers:
            return []
        payload = encode_start(StartRequest(len(zone_peers) + 1))
        requests = (
            self.peers.ask(host, START_MESSAGE, payload, ASK_TIMEOUT_S) for host in zone_peers
        )
        payloads = await asyncio.gather(*requests)
        self._is_unanswered = any(isinstance(payload, PeerSilent) for payload in payloads)
        answers = [_decode_answer(payload) for payload in payloads]
        if any(answer.has_shares for answer in answers):
            self.has_shares = self._knows_others = True
        return [loan for answer in answers for loan in answer.granted]

    def record_round(self, other_zones: Iterable[str]) -> None:
        """Count a round in which summaries of these zones were known."""
        self._rounds += 1
        live = frozenset(peer.name for peer in self.peers.live())
        is_stable = live == self._live_before and has_all_summaries(self.peers, other_zones)
        self._stable_rounds = self._stable_rounds + 1 if is_stable else 0
        self._live_before = live
        # A host of the zone that doesn't answer in time may hold the whole share that this one
        # needs.
        if len(live) > 1 and self._stable_rounds >= STABLE_ROUNDS and not self._is_unanswered:
            self._knows_others = True
        self.has_shares = (
            self.has_shares or self._knows_others or self._rounds >= MAX_STARTUP_ROUNDS
        )

    def compute_initial_fraction(
        self,
        account: str,
        kind: LimitKind,
        own_zone: Mapping[str, Summary],
        other_zones: Mapping[str, Summary],
    ) -> float:
        """Return the initial fraction of a limit of which this host holds nothing yet.

        The free fraction is divided by the number of hosts that report no share, so all of these
        together take no more than that, however many start at once and whenever each learns of a
        new account. Hosts of a silent zone count too, as they may do the same on their side of the
        network partition.
        """
        host_count = count_possible_holders(self.peers)
        has_full_view = self._knows_others and len(self.peers.live()) > 1
        if not has_full_view or not has_all_summaries(self.peers, other_zones):
            return FALLBACK_FRACTION / host_count
        summaries = [*own_zone.values(), *other_zones.values()]
        encoded = [
            s[account].reports[int(kind)] for s in summaries if _has_report(s, account, kind)
        ]
        reports = [decode_report(report) for report in encoded]
        free = max(0.0, 1.0 - sum(report.held for report in reports))
        hosts_without_share = max(1, host_count - sum(report.host_count for report in reports))
        return min(1.0 / host_count, free / hosts_without_share)


def list_zone_peers(peers: Peers) -> Sequence[str]:
    """Return the other live hosts of the own zone, by name."""
    me = peers.me
    return [p.name for p in peers.live() if p.zone == me.zone and p.name != me.name]


def count_possible_holders(peers: Peers) -> int:
    """Return how many hosts may hold a share, this one and those of silent zones included."""
    states = [state for zone in peers.zones() for state in zone.hosts.values()]
    return max(1, len(peers.live()), sum(state not in GONE_STATES for state in states))


def has_all_summaries(peers: Peers, other_zones: Iterable[str]) -> bool:
    """Tell whether a summary is known of each other zone that isn't silent."""
    heard = set(other_zones)
    others = [zone for zone in peers.zones() if zone.zone != peers.me.zone]
    return all(zone.silent or zone.zone in heard for zone in others)


def _decode_answer(payload: bytes | PeerSilent) -> StartAnswer:
    if isinstance(payload, PeerSilent):
        return StartAnswer(False)
    try:
        return _answer_decoder.decode(payload)
    except msgspec.DecodeError:
        return StartAnswer(False)


def _has_report(summary: Summary, account: str, kind: LimitKind) -> bool:
    return account in summary and int(kind) in summary[account].reports
