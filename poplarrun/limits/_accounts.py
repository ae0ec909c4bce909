"""Enforcement of the limits of all client accounts at one host."""

from collections.abc import Iterable
from dataclasses import dataclass

from poplarrun.contracts import AccountLimitSettings, ClientAccount
from poplarrun.errors import ErrorKind
from poplarrun.hosts import CollectedSummaries, Peers
from poplarrun.limits._account import AccountState, list_limit_kinds
from poplarrun.limits._buckets import Spend
from poplarrun.limits._loans import (
    ASK_TIMEOUT_S,
    HAND_OVER_MESSAGE,
    LOAN_MESSAGE,
    MAX_LENT_FRACTION,
    Loan,
    LoanClient,
    decode_loan,
    encode_loan,
)
from poplarrun.limits._reports import (
    LIMITS_TOPIC,
    AccountSummary,
    LimitKind,
    Summary,
    decode,
    decode_report,
    encode,
    encode_report,
)
from poplarrun.limits._shares import ROUND_INTERVAL_S, ShareReport, ShareView
from poplarrun.limits._startup import (
    START_MESSAGE,
    StartAnswer,
    StartupSequence,
    decode_request,
    encode_start,
    list_zone_peers,
)
from poplarrun.logging import component_logger

# Bound on the traffic that a host receives as share summaries of its zone's hosts.
MAX_SUMMARY_BYTES_PER_S = 1000.0
MAX_RETRY_DELAY_S = 60.0
SECONDS_PER_DAY = 86_400.0
# A zone that sent nothing for this long is late: no share grows until the zone is heard again, or
# has sent nothing for so long that the membership reports it as silent. A part of the limit is then
# reserved for the silent zone, and shares may grow within the rest.
ZONE_LATE_TIMEOUT_S = 2.5
REFUSAL_LOG_INTERVAL_S = 1.0

_log = component_logger("limits")


@dataclass(frozen=True, slots=True)
class LimitExceeded:
    """A request exceeds a limit of its account."""

    kind: ErrorKind
    reason: str
    retry_after_s: float


class AccountLimits:
    """Admits requests within their account's limits, and moves shares between the hosts.

    Parameters
    ----------
    peers : Peers
        The other hosts.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._accounts: dict[str, AccountState] = {}
        self._day = 0
        self._loan_client = LoanClient(peers)
        self._startup = StartupSequence(peers)
        peers.serve(LOAN_MESSAGE, self._serve_loan)
        peers.serve(HAND_OVER_MESSAGE, self._serve_hand_over)
        peers.serve(START_MESSAGE, self._serve_start)
        self._summary_bytes = 0
        self._round_ends_at = 0.0
        self._refusal_logged_at = float("-inf")

    @property
    def has_initial_shares(self) -> bool:
        """Whether this host has its initial shares, or has given up waiting for them."""
        return self._startup.has_shares

    async def request_initial_shares(self, accounts: Iterable[ClientAccount]) -> None:
        """Request the initial shares from the zone.

        Called every round; does nothing once this host has them.

        A host that served requests without shares would refuse requests of accounts that are far
        below their limits.
        """
        if self.has_initial_shares:
            return
        given: dict[str, dict[LimitKind, float]] = {}
        for loan in await self._startup.request_shares():
            fractions = given.setdefault(loan.account, {})
            for kind, fraction in loan.shares.items():
                fractions[kind] = fractions.get(kind, 0.0) + fraction
        for account in accounts:
            if account.name in given:
                state = self._accounts.setdefault(account.name, AccountState(account.limits))
                state.add_initial_shares(given[account.name])

    async def _serve_start(self, requester: str, payload: bytes) -> bytes:
        """Give a starting host of the own zone a portion of each of this host's shares."""
        request = decode_request(payload)
        if (
            request is None
            or not self.has_initial_shares
            or requester not in list_zone_peers(self._peers)
        ):
            return encode_start(StartAnswer(False))
        fraction = 1.0 / request.portions
        given = [state.give_fraction(name, fraction) for name, state in self._accounts.items()]
        return encode_start(StartAnswer(True, given))

    def admit(
        self, account: ClientAccount, tokens: int, now: float, is_stream: bool = True
    ) -> LimitExceeded | None:
        """Admit and count a request, or return the exceeded limit and a delay to retry after."""
        if account.limits == AccountLimitSettings():
            return None
        state = self._get_state(account)
        state.requests.requested += 1
        state.tokens.requested += tokens
        exceeded = self._check_limits(state, tokens, now, is_stream)
        if exceeded is not None:
            self._log_refusal(account.name, state, exceeded, now)
            return exceeded
        state.requests.consume(1.0)
        state.tokens.consume(tokens)
        state.streams.open += is_stream
        return None

    def _log_refusal(
        self, account: str, state: AccountState, exceeded: LimitExceeded, now: float
    ) -> None:
        """Log what this host may use of an exceeded limit, at most once in an interval."""
        if now - self._refusal_logged_at < REFUSAL_LOG_INTERVAL_S:
            return
        self._refusal_logged_at = now
        _log.info(
            "A request exceeds this host's share of an account's limits.",
            extra={
                "account": account,
                "kind": exceeded.kind.value,
                "usable": {kind.name: share.usable for kind, share in state.shares.items()},
                "held": {kind.name: share.held for kind, share in state.shares.items()},
                "requests_left": state.requests.level,
                "requests_per_s": state.requests.rate_per_s,
                "tokens_left": state.tokens.level,
            },
        )

    def finish(
        self, account: ClientAccount, expected_tokens: int, used_tokens: int, amount: float
    ) -> None:
        """Record the end of an admitted request, with its actual token usage and cost."""
        state = self._accounts.get(account.name)
        if state is not None:
            state.tokens.consume(used_tokens - expected_tokens)
            state.streams.open = max(0, state.streams.open - 1)
            state.spend.record(amount)

    def record_spend(self, account: ClientAccount, amount: float) -> None:
        """Record the cost of a call that holds no stream."""
        state = self._accounts.get(account.name)
        if state is not None:
            state.spend.record(amount)

    def compute_shortfall(self, account: str) -> Loan | None:
        """Return the loan to request by ``borrow``; None while the account has enough."""
        state = self._accounts.get(account)
        if state is None or not self._loan_client.can_borrow(account):
            return None
        return state.compute_shortfall(account)

    async def borrow(self, wanted: Loan) -> None:
        """Borrow from another host what this one runs short of.

        Loans pass permanently and are never paid back.

        Shares follow demand over several rounds. Until then, a host that has just started or gets a
        burst would refuse requests that are within the account's limits.
        """
        lent = await self._loan_client.borrow(wanted)
        state = self._accounts.get(wanted.account)
        if lent is not None and state is not None:
            state.requests.borrow(lent.requests)
            state.tokens.borrow(lent.tokens)
            state.transfer(lent.shares)

    async def _serve_loan(self, borrower: str, payload: bytes) -> bytes:
        wanted = decode_loan(payload)
        if wanted is None or wanted.account not in self._accounts:
            # A malformed request and one for an unknown account are granted nothing.
            return encode_loan(Loan("", 0.0, 0.0))
        state = self._accounts[wanted.account]
        requests = state.requests.lend(wanted.requests, MAX_LENT_FRACTION)
        tokens = state.tokens.lend(wanted.tokens, MAX_LENT_FRACTION)
        fractions = (
            state.lend_shares(wanted.shares) if borrower in list_zone_peers(self._peers) else {}
        )
        return encode_loan(Loan(wanted.account, requests, tokens, fractions))

    async def hand_over(self) -> None:
        """Transfer all shares to hosts of the own zone, before a planned stop.

        Otherwise the others would take them over only several rounds later, and a rolling restart
        would leave less and less of the limits in use.
        """
        zone_peers = list_zone_peers(self._peers)
        for number, (account, state) in enumerate(self._accounts.items()):
            if zone_peers:
                given = Loan(account, 0.0, 0.0, state.release_shares())
                successor = zone_peers[number % len(zone_peers)]
                await self._peers.ask(
                    successor, HAND_OVER_MESSAGE, encode_loan(given), ASK_TIMEOUT_S
                )

    async def _serve_hand_over(self, sender: str, payload: bytes) -> bytes:
        given = decode_loan(payload)
        if (
            given is not None
            and given.account in self._accounts
            and sender in list_zone_peers(self._peers)
        ):
            self._accounts[given.account].transfer(given.shares)
        return b""

    def remaining_spend(self, account: ClientAccount) -> float | None:
        """Return what an account may still spend through this host; None without a limit."""
        if account.limits.spend_per_day is None:
            return None
        return max(0.0, self._get_state(account).spend.compute_remaining())

    def close_round(self, accounts: Iterable[ClientAccount], now: float, wall_s: float) -> None:
        """Adjust the shares at the end of a round, and publish them.

        Called every ``ROUND_INTERVAL_S``. Rounds get longer when the zone's summaries need longer
        to reach all hosts: taking free shares is safe only if they arrive within a few rounds.
        """
        if now < self._round_ends_at:
            return
        round_s = max(
            ROUND_INTERVAL_S,
            self._count_zone_hosts() * self._summary_bytes / MAX_SUMMARY_BYTES_PER_S,
        )
        # Half an interval of slack, so that a call that comes slightly early isn't skipped.
        self._round_ends_at = now + round_s - ROUND_INTERVAL_S / 2.0
        self._begin_day(int(wall_s // SECONDS_PER_DAY))
        gathered = self._peers.collect_summaries(LIMITS_TOPIC)
        own_zone, other_zones = self._decode_others(gathered)
        if not self._update_startup(other_zones):
            return
        silent, is_current = self._classify_zones(gathered)
        summary: Summary = {}
        limited_accounts = {
            account.name: account
            for account in accounts
            if account.limits != AccountLimitSettings()
        }
        for name in self._accounts.keys() - limited_accounts.keys():
            del self._accounts[name]
        for name, account in limited_accounts.items():
            state = self._get_state(account)
            self._update_spend(state, name, own_zone, other_zones)
            for kind in list_limit_kinds(account.limits):
                view = ShareView(
                    _list_reports(own_zone, name, kind),
                    dict(zip(other_zones, _list_reports(other_zones, name, kind), strict=True)),
                    silent,
                    is_current,
                    len(self._peers.live()),
                )
                state.shares[kind].update(state.compute_demand(kind, round_s), view)
            state.start_round()
            state.requests.refill(now)
            state.tokens.refill(now)
            summary[name] = self._summarize(state)
        payload = encode(summary)
        self._summary_bytes = len(payload)
        self._peers.publish(LIMITS_TOPIC, payload)

    def usable_fraction(self, account: str, kind: LimitKind) -> float:
        """Return the fraction of a limit that this host may use."""
        state = self._accounts.get(account)
        share = state.shares.get(kind) if state else None
        return share.usable if share else 0.0

    def _update_startup(self, other_zones: Iterable[str]) -> bool:
        """Advance the start by a round, and return whether this host has its initial shares.

        Adds the initial shares in the round in which the start ends without portions from others.
        Until then it publishes that this host holds none.
        """
        had_begun = self.has_initial_shares
        self._startup.record_round(other_zones)
        if had_begun:
            return True
        if not self.has_initial_shares:
            self._peers.publish(LIMITS_TOPIC, encode({}))
            return False
        for name, state in self._accounts.items():
            state.add_initial_shares(
                self._compute_initial_shares(name, list_limit_kinds(state.limits))
            )
        return True

    def _get_state(self, account: ClientAccount) -> AccountState:
        state = self._accounts.get(account.name)
        if state is None:
            state = self._accounts[account.name] = AccountState(AccountLimitSettings())
        if state.limits is not account.limits:
            state.limits = account.limits
            new = [kind for kind in list_limit_kinds(account.limits) if kind not in state.shares]
            if new:
                state.add_initial_shares(self._compute_initial_shares(account.name, new))
        return state

    def _compute_initial_shares(
        self, name: str, kinds: Iterable[LimitKind]
    ) -> dict[LimitKind, float]:
        gathered = self._peers.collect_summaries(LIMITS_TOPIC)
        own, other_zones = self._decode_others(gathered)
        return {
            kind: self._startup.compute_initial_fraction(name, kind, own, other_zones)
            for kind in kinds
        }

    def _decode_others(
        self, gathered: CollectedSummaries
    ) -> tuple[dict[str, Summary], dict[str, Summary]]:
        own = {
            host: decode(payload)
            for host, payload in gathered.own_zone.items()
            if host != self._peers.me.name
        }
        return own, {zone: decode(payload) for zone, payload in gathered.other_zones.items()}

    def _check_limits(
        self, state: AccountState, tokens: int, now: float, is_stream: bool
    ) -> LimitExceeded | None:
        limits = state.limits
        if limits.requests_per_second is not None:
            wait_s = state.requests.compute_wait_s(now, 1.0)
            if wait_s > 0.0:
                reason = f"{limits.requests_per_second:g} requests a second are allowed"
                return LimitExceeded(ErrorKind.RATE_LIMITED, reason, min(MAX_RETRY_DELAY_S, wait_s))
        if tokens and limits.tokens_per_minute is not None:
            wait_s = state.tokens.compute_wait_s(now, 1.0)
            if wait_s > 0.0:
                reason = f"{limits.tokens_per_minute:g} tokens a minute are allowed"
                return LimitExceeded(ErrorKind.RATE_LIMITED, reason, min(MAX_RETRY_DELAY_S, wait_s))
        bounds_streams = is_stream and limits.concurrent_streams is not None
        if bounds_streams and not state.streams.has_room():
            state.streams.refused += 1
            reason = f"{limits.concurrent_streams} concurrent streams are allowed"
            return LimitExceeded(ErrorKind.STREAMS_LIMITED, reason, ROUND_INTERVAL_S)
        if limits.spend_per_day is not None and not state.spend.has_room():
            reason = f"{limits.spend_per_day:g} a day are allowed"
            return LimitExceeded(ErrorKind.SPEND_EXHAUSTED, reason, SECONDS_PER_DAY)
        return None

    def _count_zone_hosts(self) -> int:
        return sum(peer.zone == self._peers.me.zone for peer in self._peers.live())

    def _begin_day(self, day: int) -> None:
        """Reset the spend when the day changes; days are counted from the epoch, in UTC."""
        if day == self._day:
            return
        self._day = day
        for state in self._accounts.values():
            state.spend = Spend(usable=state.spend.usable)
            state.spent_by_host.clear()

    def _classify_zones(self, gathered: CollectedSummaries) -> tuple[frozenset[str], bool]:
        """Return the silent zones, and whether no other zone is late."""
        others = [zone for zone in self._peers.zones() if zone.zone != self._peers.me.zone]
        silent = frozenset(zone.zone for zone in others if zone.silent)
        late = [zone for zone in others if not zone.silent and zone.silence_s > ZONE_LATE_TIMEOUT_S]
        return silent, not late

    def _update_spend(
        self, state: AccountState, name: str, own: dict[str, Summary], others: dict[str, Summary]
    ) -> None:
        if state.limits.spend_per_day is None:
            return
        # Entries of dead hosts are kept: what they admitted was spent.
        for host, summary in own.items():
            if name in summary and summary[name].day == self._day:
                state.spent_by_host[host] = summary[name].host_spent
        state.spent_by_host[self._peers.me.name] = state.spend.spent_locally
        spent = sum(state.spent_by_host.values())
        for summary in others.values():
            if name in summary and summary[name].day == self._day:
                spent += summary[name].zone_spent
        state.spend.remaining_total = max(0.0, state.limits.spend_per_day - spent)

    def _summarize(self, state: AccountState) -> AccountSummary:
        reports = {int(kind): encode_report(s.report()) for kind, s in state.shares.items()}
        zone_spent = round(sum(state.spent_by_host.values()), 6)
        return AccountSummary(reports, self._day, zone_spent, round(state.spend.spent_locally, 6))


def _list_reports(
    summaries: dict[str, Summary], account: str, kind: LimitKind
) -> list[ShareReport]:
    reports = []
    for summary in summaries.values():
        found = summary[account].reports.get(int(kind)) if account in summary else None
        reports.append(decode_report(found) if found else ShareReport(0.0, 0.0, 0.0))
    return reports
