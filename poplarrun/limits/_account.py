"""One client account's limits at one host."""

from dataclasses import dataclass, field

from poplarrun.contracts import AccountLimitSettings
from poplarrun.limits._buckets import Spend, Streams, TokenBucket
from poplarrun.limits._loans import LOW_LEVEL_FRACTION, MAX_LENT_FRACTION, Loan
from poplarrun.limits._reports import LimitKind
from poplarrun.limits._shares import Share

SECONDS_PER_MINUTE = 60.0
TOKENS_BURST_WINDOW_S = 10.0
# With a smaller part of the streams left a host borrows: callers that come
# together must find room before the loan arrives.
MIN_SPARE_STREAMS_FRACTION = 0.04
# Part of a limit that a host asks another one of its zone for at a time.
BORROWED_FRACTION = 0.05


@dataclass
class AccountState:
    """One account's limits at this host."""

    limits: AccountLimitSettings
    shares: dict[LimitKind, Share] = field(default_factory=dict)
    requests: TokenBucket = field(default_factory=TokenBucket)
    tokens: TokenBucket = field(default_factory=lambda: TokenBucket(burst_s=TOKENS_BURST_WINDOW_S))
    streams: Streams = field(default_factory=Streams)
    spend: Spend = field(default_factory=Spend)
    spent_by_host: dict[str, float] = field(default_factory=dict)

    def add_initial_shares(self, parts: dict[LimitKind, float]) -> None:
        """Begin with parts, and with as many tokens as these may keep."""
        for kind, part in parts.items():
            self.shares.setdefault(kind, Share()).raise_to(part)
        self.update_rates()
        if LimitKind.REQUESTS in parts:
            self.requests.fill_to_capacity()
        if LimitKind.TOKENS in parts:
            self.tokens.fill_to_capacity()
        if LimitKind.SPEND in parts:
            self.spend.remaining_total = self.limits.spend_per_day or 0.0

    def compute_demand(self, kind: LimitKind, round_s: float) -> float:
        """Return what callers asked for since the last round, as a part of the limit."""
        limits = self.limits
        match kind:
            case LimitKind.REQUESTS:
                return self.requests.requested / ((limits.requests_per_second or 1.0) * round_s)
            case LimitKind.TOKENS:
                per_s = (limits.tokens_per_minute or 1.0) / SECONDS_PER_MINUTE
                return self.tokens.requested / (per_s * round_s)
            case LimitKind.STREAMS:
                wanted = self.streams.open + self.streams.refused + 1
                return wanted / (limits.concurrent_streams or 1)
            case LimitKind.SPEND:
                return self.spend.close_round() / max(1e-9, self.spend.remaining_total)

    def start_round(self) -> None:
        """Take over the parts that this host holds since the last round."""
        self.update_rates()
        self.requests.requested = self.tokens.requested = 0.0
        self.streams.refused = 0

    def update_rates(self) -> None:
        """Let pass what the parts allow now."""
        limits = self.limits
        self.requests.rate_per_s = self._usable_fraction(LimitKind.REQUESTS) * (
            limits.requests_per_second or 0.0
        )
        self.tokens.rate_per_s = (
            self._usable_fraction(LimitKind.TOKENS)
            * (limits.tokens_per_minute or 0.0)
            / SECONDS_PER_MINUTE
        )
        self.streams.allowed = self._usable_fraction(LimitKind.STREAMS) * (
            limits.concurrent_streams or 0
        )
        self.spend.usable = self._usable_fraction(LimitKind.SPEND)

    def compute_shortfall(self, account: str) -> Loan | None:
        """Return what this host would borrow now; None while it has enough."""
        requests = self._compute_missing(LimitKind.REQUESTS, self.requests)
        tokens = self._compute_missing(LimitKind.TOKENS, self.tokens)
        parts = self._compute_missing_shares(requests > 0.0, tokens > 0.0)
        return Loan(account, requests, tokens, parts) if requests or tokens or parts else None

    def _compute_missing_shares(
        self, lacks_requests: bool, lacks_tokens: bool
    ) -> dict[LimitKind, float]:
        parts: dict[LimitKind, float] = {}
        if lacks_requests:
            parts[LimitKind.REQUESTS] = BORROWED_FRACTION
        if lacks_tokens:
            parts[LimitKind.TOKENS] = BORROWED_FRACTION
        limit = self.limits.concurrent_streams
        spare = self.streams.allowed - self.streams.open
        if limit is not None and spare < max(1.0, limit * MIN_SPARE_STREAMS_FRACTION):
            parts[LimitKind.STREAMS] = max(BORROWED_FRACTION, 2.0 / limit)
        return parts

    def transfer(self, parts: dict[LimitKind, float]) -> None:
        """Take parts over from a host of the own zone, at once."""
        for kind, part in parts.items():
            if kind in self.shares:
                self.shares[kind].transfer(part)
        self.update_rates()

    def lend_shares(self, asked: dict[LimitKind, float]) -> dict[LimitKind, float]:
        """Give up some of the parts that this host doesn't need itself."""
        given = {}
        for kind, part in asked.items():
            share = self.shares.get(kind, Share())
            needed = share.wanted
            if kind is LimitKind.STREAMS:
                streams = self.limits.concurrent_streams or 1
                needed = self.streams.open / streams + MIN_SPARE_STREAMS_FRACTION
            given[kind] = min(part, max(0.0, share.usable - needed) * MAX_LENT_FRACTION)
        self.transfer({kind: -part for kind, part in given.items()})
        return given

    def release_shares(self) -> dict[LimitKind, float]:
        """Give up every part, for a host that takes them over."""
        parts = {kind: share.usable for kind, share in self.shares.items()}
        for share in self.shares.values():
            share.release_all()
        self.update_rates()
        return parts

    def give_fraction(self, account: str, portion: float) -> Loan:
        """Give up a portion of every part, for a host that starts."""
        parts = {kind: share.usable * portion for kind, share in self.shares.items()}
        self.transfer({kind: -part for kind, part in parts.items()})
        return Loan(account, 0.0, 0.0, parts)

    def _compute_missing(self, kind: LimitKind, bucket: TokenBucket) -> float:
        """Return what was asked for in this round beyond what is left, when that is little."""
        if kind not in self.shares or bucket.level >= bucket.capacity * LOW_LEVEL_FRACTION:
            return 0.0
        return max(bucket.capacity, bucket.requested) - bucket.level

    def _usable_fraction(self, kind: LimitKind) -> float:
        share = self.shares.get(kind)
        return share.usable if share else 0.0


def list_limit_kinds(limits: AccountLimitSettings) -> list[LimitKind]:
    """Return the kinds of limits that an account has."""
    values = (
        limits.requests_per_second,
        limits.tokens_per_minute,
        limits.concurrent_streams,
        limits.spend_per_day,
    )
    return [kind for kind, value in zip(LimitKind, values, strict=True) if value is not None]
