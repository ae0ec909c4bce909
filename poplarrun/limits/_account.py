"""One client account's limits at one host."""

from dataclasses import dataclass, field

from poplarrun.contracts import AccountLimitSettings
from poplarrun.limits._buckets import Spend, Streams, TokenBucket
from poplarrun.limits._loans import LOW_LEVEL_FRACTION, MAX_LENT_FRACTION, Loan
from poplarrun.limits._reports import LimitKind
from poplarrun.limits._shares import Share

SECONDS_PER_MINUTE = 60.0
TOKENS_BURST_WINDOW_S = 10.0
# A host with a smaller fraction of the streams left borrows more: requests that arrive together
# need free streams before the loan arrives.
MIN_SPARE_STREAMS_FRACTION = 0.04
# Fraction of a limit that a host requests from another host of its zone at a time.
BORROWED_FRACTION = 0.05


@dataclass
class AccountState:
    """State of one account's limits at this host."""

    limits: AccountLimitSettings
    shares: dict[LimitKind, Share] = field(default_factory=dict)
    requests: TokenBucket = field(default_factory=TokenBucket)
    tokens: TokenBucket = field(default_factory=lambda: TokenBucket(burst_s=TOKENS_BURST_WINDOW_S))
    streams: Streams = field(default_factory=Streams)
    spend: Spend = field(default_factory=Spend)
    spent_by_host: dict[str, float] = field(default_factory=dict)

    def add_initial_shares(self, fractions: dict[LimitKind, float]) -> None:
        """Add the initial shares, and fill the buckets up to the capacity that they allow."""
        for kind, fraction in fractions.items():
            self.shares.setdefault(kind, Share()).raise_to(fraction)
        self.update_rates()
        if LimitKind.REQUESTS in fractions:
            self.requests.fill_to_capacity()
        if LimitKind.TOKENS in fractions:
            self.tokens.fill_to_capacity()
        if LimitKind.SPEND in fractions:
            self.spend.remaining_total = self.limits.spend_per_day or 0.0

    def compute_demand(self, kind: LimitKind, round_s: float) -> float:
        """Return the demand since the last round, as a fraction of the limit."""
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
        """Start a round: apply the current shares and reset the demand counters."""
        self.update_rates()
        self.requests.requested = self.tokens.requested = 0.0
        self.streams.refused = 0

    def update_rates(self) -> None:
        """Set the rates and bounds that the current shares allow."""
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
        """Return the loan that this host needs now; None while it has enough."""
        requests = self._compute_missing(LimitKind.REQUESTS, self.requests)
        tokens = self._compute_missing(LimitKind.TOKENS, self.tokens)
        fractions = self._compute_missing_shares(requests > 0.0, tokens > 0.0)
        return (
            Loan(account, requests, tokens, fractions) if requests or tokens or fractions else None
        )

    def _compute_missing_shares(
        self, lacks_requests: bool, lacks_tokens: bool
    ) -> dict[LimitKind, float]:
        fractions: dict[LimitKind, float] = {}
        if lacks_requests:
            fractions[LimitKind.REQUESTS] = BORROWED_FRACTION
        if lacks_tokens:
            fractions[LimitKind.TOKENS] = BORROWED_FRACTION
        limit = self.limits.concurrent_streams
        spare_streams = self.streams.allowed - self.streams.open
        if limit is not None and spare_streams < max(1.0, limit * MIN_SPARE_STREAMS_FRACTION):
            fractions[LimitKind.STREAMS] = max(BORROWED_FRACTION, 2.0 / limit)
        return fractions

    def transfer(self, fractions: dict[LimitKind, float]) -> None:
        """Add fractions taken over from a host of the own zone, usable at once.

        Negative ones are removed.
        """
        for kind, fraction in fractions.items():
            if kind in self.shares:
                self.shares[kind].transfer(fraction)
        self.update_rates()

    def lend_shares(self, asked: dict[LimitKind, float]) -> dict[LimitKind, float]:
        """Give up a fraction of the shares that this host doesn't need itself."""
        given = {}
        for kind, fraction in asked.items():
            share = self.shares.get(kind, Share())
            needed = share.wanted
            if kind is LimitKind.STREAMS:
                streams = self.limits.concurrent_streams or 1
                needed = self.streams.open / streams + MIN_SPARE_STREAMS_FRACTION
            given[kind] = min(fraction, max(0.0, share.usable - needed) * MAX_LENT_FRACTION)
        self.transfer({kind: -fraction for kind, fraction in given.items()})
        return given

    def release_shares(self) -> dict[LimitKind, float]:
        """Give up all shares, for a host that takes them over."""
        fractions = {kind: share.usable for kind, share in self.shares.items()}
        for share in self.shares.values():
            share.release_all()
        self.update_rates()
        return fractions

    def give_fraction(self, account: str, fraction: float) -> Loan:
        """Give up a fraction of every share, for a host that starts."""
        given = {kind: share.usable * fraction for kind, share in self.shares.items()}
        self.transfer({kind: -amount for kind, amount in given.items()})
        return Loan(account, 0.0, 0.0, given)

    def _compute_missing(self, kind: LimitKind, bucket: TokenBucket) -> float:
        """Return this round's demand beyond the bucket's level; 0 while the level isn't low."""
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
