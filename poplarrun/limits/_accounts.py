"""The limits of all client accounts at one host."""

from collections.abc import Iterable
from dataclasses import dataclass

from poplarrun.contracts import AccountLimitSettings, ClientAccount
from poplarrun.errors import ErrorKind
from poplarrun.hosts import Gathered, Peers
from poplarrun.limits._account import Account, kinds_of
from poplarrun.limits._buckets import Spend
from poplarrun.limits._loans import (
    ASK_TIMEOUT_S,
    HAND_OVER_MESSAGE,
    LENT_PART,
    LOAN_MESSAGE,
    Loan,
    LoanDesk,
    decode_loan,
    encode_loan,
)
from poplarrun.limits._shares import ROUND_S, Claimant, ShareView
from poplarrun.limits._starts import (
    START_MESSAGE,
    Start,
    StartAnswer,
    decode_request,
    encode_start,
    near_hosts,
)
from poplarrun.limits._summaries import (
    LIMITS_TOPIC,
    AccountSummary,
    LimitKind,
    Summary,
    decode,
    encode,
    read_claim,
    share_claim,
)

# What a host may spend on hearing the shares of its zone's hosts.
SUMMARY_BYTES_PER_S = 1000.0
LONGEST_RETRY_S = 60.0
SECONDS_PER_DAY = 86_400.0
# A zone that was not heard for this long is late: nothing is taken until it
# is heard again, or known to be silent.
LATE_AFTER_S = 2.5


@dataclass(frozen=True, slots=True)
class Limited:
    """A request that its account's limits don't let through now."""

    kind: ErrorKind
    reason: str
    retry_after_s: float


class AccountLimits:
    """Lets requests through, and moves shares of the limits between the hosts.

    Parameters
    ----------
    peers : Peers
        The other hosts.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._accounts: dict[str, Account] = {}
        self._day = 0
        self._desk = LoanDesk(peers)
        self._start = Start(peers)
        peers.serve(LOAN_MESSAGE, self._serve_loan)
        peers.serve(HAND_OVER_MESSAGE, self._take_over)
        peers.serve(START_MESSAGE, self._serve_start)
        self._bytes = 0
        self._round_ends_at = 0.0

    @property
    def has_begun(self) -> bool:
        """Whether this host has its first parts, or has given up waiting for them."""
        return self._start.has_begun

    async def begin(self, accounts: Iterable[ClientAccount]) -> None:
        """Ask the zone for the first parts; called every round, and does nothing once begun.

        A host that served before it had them would refuse its callers while
        their accounts are far below their limits.
        """
        if self.has_begun:
            return
        given: dict[str, dict[LimitKind, float]] = {}
        for loan in await self._start.ask():
            parts = given.setdefault(loan.account, {})
            for kind, part in loan.parts.items():
                parts[kind] = parts.get(kind, 0.0) + part
        for account in accounts:
            if account.name in given:
                state = self._accounts.setdefault(account.name, Account(account.limits))
                state.begin(given[account.name])

    async def _serve_start(self, starter: str, payload: bytes) -> bytes:
        request = decode_request(payload)
        if request is None or not self.has_begun or starter not in near_hosts(self._peers):
            return encode_start(StartAnswer(False))
        portion = 1.0 / request.portions
        given = [state.give_portion(name, portion) for name, state in self._accounts.items()]
        return encode_start(StartAnswer(True, given))

    def admit(
        self, account: ClientAccount, tokens: int, now: float, is_stream: bool = True
    ) -> Limited | None:
        """Let a request through, and count it, or say when to come back."""
        if account.limits == AccountLimitSettings():
            return None
        state = self._state(account)
        state.requests.offered += 1
        state.tokens.offered += tokens
        limited = self._find_limit(state, tokens, now, is_stream)
        if limited is not None:
            return limited
        state.requests.take(1.0)
        state.tokens.take(tokens)
        state.streams.open += is_stream
        return None

    def end(
        self, account: ClientAccount, expected_tokens: int, used_tokens: int, amount: float
    ) -> None:
        """Close a request that was let through, with what it really took."""
        state = self._accounts.get(account.name)
        if state is not None:
            state.tokens.take(used_tokens - expected_tokens)
            state.streams.open = max(0, state.streams.open - 1)
            state.spend.note(amount)

    def note_spend(self, account: ClientAccount, amount: float) -> None:
        """Count what a call cost that holds no stream."""
        state = self._accounts.get(account.name)
        if state is not None:
            state.spend.note(amount)

    def missing(self, account: str) -> Loan | None:
        """Return what ``borrow`` should ask for now; None while the account has enough."""
        state = self._accounts.get(account)
        if state is None or not self._desk.can_ask(account):
            return None
        return state.missing(account)

    async def borrow(self, wanted: Loan) -> None:
        """Borrow from another host what this one runs short of.

        Shares follow demand over some rounds; a host that has just started, or
        that gets a burst, would refuse until then what its account may have.
        """
        lent = await self._desk.borrow(wanted)
        state = self._accounts.get(wanted.account)
        if lent is not None and state is not None:
            state.requests.borrow(lent.requests)
            state.tokens.borrow(lent.tokens)
            state.shift(lent.parts)

    async def _serve_loan(self, borrower: str, payload: bytes) -> bytes:
        wanted = decode_loan(payload)
        if wanted is None or wanted.account not in self._accounts:
            return encode_loan(Loan("", 0.0, 0.0))
        state = self._accounts[wanted.account]
        requests = state.requests.lend(wanted.requests, LENT_PART)
        tokens = state.tokens.lend(wanted.tokens, LENT_PART)
        parts = state.lend_parts(wanted.parts) if borrower in near_hosts(self._peers) else {}
        return encode_loan(Loan(wanted.account, requests, tokens, parts))

    async def hand_over(self) -> None:
        """Give every part to a host of the own zone, before a planned stop.

        Else the others would take it over only some rounds later, and hosts that
        are restarted one after the other would leave less and less to use.
        """
        near = near_hosts(self._peers)
        for number, (account, state) in enumerate(self._accounts.items()):
            if near:
                given = Loan(account, 0.0, 0.0, state.give_up())
                heir = near[number % len(near)]
                await self._peers.ask(heir, HAND_OVER_MESSAGE, encode_loan(given), ASK_TIMEOUT_S)

    async def _take_over(self, giver: str, payload: bytes) -> bytes:
        given = decode_loan(payload)
        if (
            given is not None
            and given.account in self._accounts
            and giver in near_hosts(self._peers)
        ):
            self._accounts[given.account].shift(given.parts)
        return b""

    def spend_left(self, account: ClientAccount) -> float | None:
        """Return what an account may still spend through this host; None without a limit."""
        if account.limits.spend_per_day is None:
            return None
        return max(0.0, self._state(account).spend.room())

    def close_round(self, accounts: Iterable[ClientAccount], now: float, wall_s: float) -> None:
        """Move shares when a round is over, and tell the others.

        Called every ``ROUND_S``. Rounds get longer when the zone's summaries
        need longer to reach all hosts: what is safe to take rests on their being
        heard within a few rounds.
        """
        if now < self._round_ends_at:
            return
        round_s = max(ROUND_S, self._zone_hosts() * self._bytes / SUMMARY_BYTES_PER_S)
        self._round_ends_at = now + round_s - ROUND_S / 2.0
        self._begin_day(int(wall_s // SECONDS_PER_DAY))
        gathered = self._peers.gathered(LIMITS_TOPIC)
        own_zone, other_zones = self._decode_others(gathered)
        if not self._wait_for_start(other_zones):
            return
        silent, is_current = self._hear_zones(gathered)
        summary: Summary = {}
        limited = {
            account.name: account
            for account in accounts
            if account.limits != AccountLimitSettings()
        }
        for name in self._accounts.keys() - limited.keys():
            del self._accounts[name]
        for name, account in limited.items():
            state = self._state(account)
            self._sum_spend(state, name, own_zone, other_zones)
            for kind in kinds_of(account.limits):
                view = ShareView(
                    _claims(own_zone, name, kind),
                    dict(zip(other_zones, _claims(other_zones, name, kind), strict=True)),
                    silent,
                    is_current,
                    len(self._peers.live()),
                )
                state.shares[kind].step(state.demand(kind, round_s), view)
            state.use_parts()
            state.requests.fill(now)
            state.tokens.fill(now)
            summary[name] = self._summarise(state)
        payload = encode(summary)
        self._bytes = len(payload)
        self._peers.publish(LIMITS_TOPIC, payload)

    def part(self, account: str, kind: LimitKind) -> float:
        """Return this host's part of a limit."""
        state = self._accounts.get(account)
        share = state.shares.get(kind) if state else None
        return share.part if share else 0.0

    def _wait_for_start(self, other_zones: Iterable[str]) -> bool:
        """Tell whether this host has begun; until then it tells that it holds nothing."""
        had_begun = self.has_begun
        self._start.note_round(other_zones)
        if had_begun:
            return True
        if not self.has_begun:
            self._peers.publish(LIMITS_TOPIC, encode({}))
            return False
        for name, state in self._accounts.items():
            state.begin(self._first_parts(name, kinds_of(state.limits)))
        return True

    def _state(self, account: ClientAccount) -> Account:
        state = self._accounts.get(account.name)
        if state is None:
            state = self._accounts[account.name] = Account(AccountLimitSettings())
        if state.limits is not account.limits:
            state.limits = account.limits
            new = [kind for kind in kinds_of(account.limits) if kind not in state.shares]
            if new:
                state.begin(self._first_parts(account.name, new))
        return state

    def _first_parts(self, name: str, kinds: Iterable[LimitKind]) -> dict[LimitKind, float]:
        gathered = self._peers.gathered(LIMITS_TOPIC)
        own, far = self._decode_others(gathered)
        return {kind: self._start.first_part(name, kind, own, far) for kind in kinds}

    def _decode_others(self, gathered: Gathered) -> tuple[dict[str, Summary], dict[str, Summary]]:
        own = {
            host: decode(payload)
            for host, payload in gathered.own_zone.items()
            if host != self._peers.me.name
        }
        return own, {zone: decode(payload) for zone, payload in gathered.other_zones.items()}

    def _find_limit(
        self, state: Account, tokens: int, now: float, is_stream: bool
    ) -> Limited | None:
        limits = state.limits
        if limits.requests_per_second is not None:
            wait_s = state.requests.wait_s(now, 1.0)
            if wait_s > 0.0:
                reason = f"{limits.requests_per_second:g} requests a second are allowed"
                return Limited(ErrorKind.RATE_LIMITED, reason, min(LONGEST_RETRY_S, wait_s))
        if tokens and limits.tokens_per_minute is not None:
            wait_s = state.tokens.wait_s(now, 1.0)
            if wait_s > 0.0:
                reason = f"{limits.tokens_per_minute:g} tokens a minute are allowed"
                return Limited(ErrorKind.RATE_LIMITED, reason, min(LONGEST_RETRY_S, wait_s))
        bounds_streams = is_stream and limits.concurrent_streams is not None
        if bounds_streams and not state.streams.has_room():
            state.streams.refused += 1
            reason = f"{limits.concurrent_streams} concurrent streams are allowed"
            return Limited(ErrorKind.STREAMS_LIMITED, reason, ROUND_S)
        if limits.spend_per_day is not None and not state.spend.has_room():
            reason = f"{limits.spend_per_day:g} a day are allowed"
            return Limited(ErrorKind.SPEND_EXHAUSTED, reason, SECONDS_PER_DAY)
        return None

    def _zone_hosts(self) -> int:
        return sum(peer.zone == self._peers.me.zone for peer in self._peers.live())

    def _begin_day(self, day: int) -> None:
        if day == self._day:
            return
        self._day = day
        for state in self._accounts.values():
            state.spend = Spend(part=state.spend.part)
            state.spent_by_host.clear()

    def _hear_zones(self, gathered: Gathered) -> tuple[frozenset[str], bool]:
        others = [zone for zone in self._peers.zones() if zone.zone != self._peers.me.zone]
        silent = frozenset(zone.zone for zone in others if zone.silent)
        late = [zone for zone in others if not zone.silent and zone.silence_s > LATE_AFTER_S]
        return silent, not late

    def _sum_spend(
        self, state: Account, name: str, own: dict[str, Summary], others: dict[str, Summary]
    ) -> None:
        if state.limits.spend_per_day is None:
            return
        # Kept also for hosts that died: what they let through was spent.
        for host, summary in own.items():
            if name in summary and summary[name].day == self._day:
                state.spent_by_host[host] = summary[name].spent_here
        state.spent_by_host[self._peers.me.name] = state.spend.used_here
        spent = sum(state.spent_by_host.values())
        for summary in others.values():
            if name in summary and summary[name].day == self._day:
                spent += summary[name].zone_spent
        state.spend.left = max(0.0, state.limits.spend_per_day - spent)

    def _summarise(self, state: Account) -> AccountSummary:
        claims = {int(kind): share_claim(s.claimant()) for kind, s in state.shares.items()}
        zone_spent = round(sum(state.spent_by_host.values()), 6)
        return AccountSummary(claims, self._day, zone_spent, round(state.spend.used_here, 6))


def _claims(summaries: dict[str, Summary], account: str, kind: LimitKind) -> list[Claimant]:
    claims = []
    for summary in summaries.values():
        found = summary[account].claims.get(int(kind)) if account in summary else None
        claims.append(read_claim(found) if found else Claimant(0.0, 0.0, 0.0))
    return claims
