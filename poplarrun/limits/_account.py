"""One client account's limits at one host."""

from dataclasses import dataclass, field

from poplarrun.contracts import AccountLimitSettings
from poplarrun.limits._buckets import Bucket, Spend, Streams
from poplarrun.limits._loans import LENT_PART, LOW_PART, Loan
from poplarrun.limits._shares import Share
from poplarrun.limits._summaries import LimitKind

SECONDS_PER_MINUTE = 60.0
TOKENS_BURST_S = 10.0
# With a smaller part of the streams left a host borrows: callers that come
# together must find room before the loan arrives.
STREAMS_SPARE_PART = 0.04
# Part of a limit that a host asks another one of its zone for at a time.
PART_BORROWED = 0.05


@dataclass
class Account:
    """One account's limits at this host."""

    limits: AccountLimitSettings
    shares: dict[LimitKind, Share] = field(default_factory=dict)
    requests: Bucket = field(default_factory=Bucket)
    tokens: Bucket = field(default_factory=lambda: Bucket(burst_s=TOKENS_BURST_S))
    streams: Streams = field(default_factory=Streams)
    spend: Spend = field(default_factory=Spend)
    spent_by_host: dict[str, float] = field(default_factory=dict)

    def begin(self, parts: dict[LimitKind, float]) -> None:
        """Begin with parts, and with as many tokens as these may keep."""
        for kind, part in parts.items():
            self.shares.setdefault(kind, Share()).begin(part)
        self.take_rates()
        if LimitKind.REQUESTS in parts:
            self.requests.fill_up()
        if LimitKind.TOKENS in parts:
            self.tokens.fill_up()
        if LimitKind.SPEND in parts:
            self.spend.left = self.limits.spend_per_day or 0.0

    def demand(self, kind: LimitKind, round_s: float) -> float:
        """Return what callers asked for since the last round, as a part of the limit."""
        limits = self.limits
        match kind:
            case LimitKind.REQUESTS:
                return self.requests.offered / ((limits.requests_per_second or 1.0) * round_s)
            case LimitKind.TOKENS:
                per_s = (limits.tokens_per_minute or 1.0) / SECONDS_PER_MINUTE
                return self.tokens.offered / (per_s * round_s)
            case LimitKind.STREAMS:
                wanted = self.streams.open + self.streams.refused + 1
                return wanted / (limits.concurrent_streams or 1)
            case LimitKind.SPEND:
                return self.spend.close_round() / max(1e-9, self.spend.left)

    def use_parts(self) -> None:
        """Take over the parts that this host holds since the last round."""
        self.take_rates()
        self.requests.offered = self.tokens.offered = 0.0
        self.streams.refused = 0

    def take_rates(self) -> None:
        """Let pass what the parts allow now."""
        limits = self.limits
        self.requests.rate_per_s = self._part(LimitKind.REQUESTS) * (
            limits.requests_per_second or 0.0
        )
        self.tokens.rate_per_s = (
            self._part(LimitKind.TOKENS) * (limits.tokens_per_minute or 0.0) / SECONDS_PER_MINUTE
        )
        self.streams.allowed = self._part(LimitKind.STREAMS) * (limits.concurrent_streams or 0)
        self.spend.part = self._part(LimitKind.SPEND)

    def missing(self, account: str) -> Loan | None:
        """Return what this host would borrow now; None while it has enough."""
        requests = self._missing_of(LimitKind.REQUESTS, self.requests)
        tokens = self._missing_of(LimitKind.TOKENS, self.tokens)
        parts = self._missing_parts(requests > 0.0, tokens > 0.0)
        return Loan(account, requests, tokens, parts) if requests or tokens or parts else None

    def _missing_parts(self, lacks_requests: bool, lacks_tokens: bool) -> dict[LimitKind, float]:
        parts: dict[LimitKind, float] = {}
        if lacks_requests:
            parts[LimitKind.REQUESTS] = PART_BORROWED
        if lacks_tokens:
            parts[LimitKind.TOKENS] = PART_BORROWED
        limit = self.limits.concurrent_streams
        spare = self.streams.allowed - self.streams.open
        if limit is not None and spare < max(1.0, limit * STREAMS_SPARE_PART):
            parts[LimitKind.STREAMS] = max(PART_BORROWED, 2.0 / limit)
        return parts

    def shift(self, parts: dict[LimitKind, float]) -> None:
        """Take parts over from a host of the own zone, at once."""
        for kind, part in parts.items():
            if kind in self.shares:
                self.shares[kind].shift(part)
        self.take_rates()

    def lend_parts(self, asked: dict[LimitKind, float]) -> dict[LimitKind, float]:
        """Give up some of the parts that this host doesn't need itself."""
        given = {}
        for kind, part in asked.items():
            share = self.shares.get(kind, Share())
            needed = share.want
            if kind is LimitKind.STREAMS:
                streams = self.limits.concurrent_streams or 1
                needed = self.streams.open / streams + STREAMS_SPARE_PART
            given[kind] = min(part, max(0.0, share.part - needed) * LENT_PART)
        self.shift({kind: -part for kind, part in given.items()})
        return given

    def give_up(self) -> dict[LimitKind, float]:
        """Give up every part, for a host that takes them over."""
        parts = {kind: share.part for kind, share in self.shares.items()}
        for share in self.shares.values():
            share.drop()
        self.take_rates()
        return parts

    def give_portion(self, account: str, portion: float) -> Loan:
        """Give up a portion of every part, for a host that starts."""
        parts = {kind: share.part * portion for kind, share in self.shares.items()}
        self.shift({kind: -part for kind, part in parts.items()})
        return Loan(account, 0.0, 0.0, parts)

    def _missing_of(self, kind: LimitKind, bucket: Bucket) -> float:
        """Return what was asked for in this round beyond what is left, when that is little."""
        if kind not in self.shares or bucket.level >= bucket.most * LOW_PART:
            return 0.0
        return max(bucket.most, bucket.offered) - bucket.level

    def _part(self, kind: LimitKind) -> float:
        share = self.shares.get(kind)
        return share.part if share else 0.0


def kinds_of(limits: AccountLimitSettings) -> list[LimitKind]:
    """Return the kinds of limits that an account has."""
    values = (
        limits.requests_per_second,
        limits.tokens_per_minute,
        limits.concurrent_streams,
        limits.spend_per_day,
    )
    return [kind for kind, value in zip(LimitKind, values, strict=True) if value is not None]
