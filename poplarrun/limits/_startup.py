"""How a host that starts gets its first parts of the limits."""

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
# With nobody to ask, rounds for which the hosts and zones heard of must stay
# the same. Hosts that start together know only some of each other at first, and
# would share the limit out among too few.
STABLE_ROUNDS = 3
# A host that is alone, or cut off, begins after so many rounds all the same.
MAX_STARTUP_ROUNDS = 8
# It begins with this part, divided by the hosts that it knows: it can't know
# what others hold, and so much may be used too much for a few rounds.
FALLBACK_FRACTION = 0.25
GONE_STATES = frozenset({"dead", "left"})


class StartRequest(msgspec.Struct, frozen=True, array_like=True):
    """A host that starts asks for its portion, one of so many."""

    portions: int


class StartAnswer(msgspec.Struct, frozen=True, array_like=True):
    """What a host gives one that starts; nothing while it starts itself."""

    has_shares: bool
    granted: list[Loan] = []


encode_start = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(StartRequest)
_answer_decoder = msgspec.msgpack.Decoder(StartAnswer)


def decode_request(payload: bytes) -> StartRequest | None:
    """Read a request; None when the bytes are none."""
    try:
        request = _request_decoder.decode(payload)
    except msgspec.DecodeError:
        return None
    return request if request.portions > 1 else None


@dataclass
class StartupSequence:
    """Tells when a host may begin, and with what.

    Attributes
    ----------
    has_begun : bool
        Whether this host has its first parts.
    """

    peers: Peers
    has_shares: bool = False
    _knows_others: bool = False
    _rounds: int = 0
    _stable_rounds: int = 0
    _is_unanswered: bool = False
    _live_before: frozenset[str] = field(default_factory=frozenset)

    async def request_shares(self) -> list[Loan]:
        """Ask hosts of the own zone for a portion of their parts.

        Parts stay inside the zone, so the sums that other zones know stay true.
        """
        near = list_zone_peers(self.peers)[:MAX_STARTUP_LENDERS]
        if not near:
            return []
        payload = encode_start(StartRequest(len(near) + 1))
        asked = (self.peers.ask(host, START_MESSAGE, payload, ASK_TIMEOUT_S) for host in near)
        payloads = await asyncio.gather(*asked)
        self._is_unanswered = any(isinstance(payload, PeerSilent) for payload in payloads)
        answers = [_decode_answer(payload) for payload in payloads]
        if any(answer.has_shares for answer in answers):
            self.has_shares = self._knows_others = True
        return [loan for answer in answers for loan in answer.granted]

    def record_round(self, other_zones: Iterable[str]) -> None:
        """Count a round in which summaries of these zones were known."""
        self._rounds += 1
        seen = frozenset(peer.name for peer in self.peers.live())
        is_settled = seen == self._live_before and has_all_summaries(self.peers, other_zones)
        self._stable_rounds = self._stable_rounds + 1 if is_settled else 0
        self._live_before = seen
        # A host of the zone that does not answer in time may hold all that this one needs.
        if len(seen) > 1 and self._stable_rounds >= STABLE_ROUNDS and not self._is_unanswered:
            self._knows_others = True
        self.has_shares = (
            self.has_shares or self._knows_others or self._rounds >= MAX_STARTUP_ROUNDS
        )

    def compute_initial_fraction(
        self, account: str, kind: LimitKind, own: Mapping[str, Summary], far: Mapping[str, Summary]
    ) -> float:
        """Return the part of a limit of which this host holds nothing yet.

        What nobody holds is divided by the hosts that claim nothing yet, so all
        of these together take no more, however many begin at once and whenever
        each hears of a new account. Hosts of a silent zone count: they may do
        the same on their side of the cut.
        """
        known = count_possible_holders(self.peers)
        is_sure = self._knows_others and len(self.peers.live()) > 1
        if not is_sure or not has_all_summaries(self.peers, far):
            return FALLBACK_FRACTION / known
        summaries = [*own.values(), *far.values()]
        found = [s[account].reports[int(kind)] for s in summaries if _has_report(s, account, kind)]
        claims = [decode_report(claim) for claim in found]
        free = max(0.0, 1.0 - sum(claim.held for claim in claims))
        without = max(1, known - sum(claim.host_count for claim in claims))
        return min(1.0 / known, free / without)


def list_zone_peers(peers: Peers) -> Sequence[str]:
    """Return the other live hosts of the own zone, by name."""
    me = peers.me
    return [p.name for p in peers.live() if p.zone == me.zone and p.name != me.name]


def count_possible_holders(peers: Peers) -> int:
    """Return how many hosts may hold a part, this one and those of silent zones included."""
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
