"""What hosts tell each other of their shares of the client accounts' limits."""

import enum
from collections.abc import Sequence

import msgspec

from poplarrun.hosts import SummaryTopic
from poplarrun.limits._shares import Claimant

# Parts travel as whole numbers of this, to save bytes.
UNITS = 65_535
MOST_WANT = 16.0


class LimitKind(enum.IntEnum):
    """The limits of a client account."""

    REQUESTS = 0
    TOKENS = 1
    STREAMS = 2
    SPEND = 3


class SharedClaim(msgspec.Struct, frozen=True, array_like=True):
    """A ``Claimant`` in whole units."""

    part: int
    want: int
    deficit: int
    hosts: int = 1


class AccountSummary(msgspec.Struct, frozen=True, array_like=True):
    """One account's claims, and what its zone knows of the day's spending.

    Attributes
    ----------
    day : int
        Day since the epoch.
    zone_spent : float
        Spending in the zone that day, of dead hosts too.
    """

    claims: dict[int, SharedClaim]
    day: int = 0
    zone_spent: float = 0.0
    spent_here: float = 0.0


Summary = dict[str, AccountSummary]
_decoder: msgspec.msgpack.Decoder[Summary] = msgspec.msgpack.Decoder(Summary)


def encode(summary: Summary) -> bytes:
    """Return the summary's bytes."""
    return msgspec.msgpack.encode(summary)


def decode(payload: bytes) -> Summary:
    """Read a summary; bytes that are none are an empty one."""
    try:
        return _decoder.decode(payload) if payload else {}
    except msgspec.DecodeError:
        return {}


def merge(payloads: Sequence[bytes]) -> bytes:
    """Sum up the hosts of a zone."""
    merged: Summary = {}
    for payload in payloads:
        for account, summary in decode(payload).items():
            before = merged.get(account)
            merged[account] = summary if before is None else _add(before, summary)
    return encode(merged)


def share_claim(claimant: Claimant) -> SharedClaim:
    """Return a claimant in whole units; what is held is rounded up."""
    return SharedClaim(
        -int(-claimant.part * UNITS // 1),
        int(min(MOST_WANT, claimant.want) * UNITS),
        int(claimant.deficit * UNITS),
        claimant.hosts,
    )


def read_claim(claim: SharedClaim) -> Claimant:
    """Return a claim as parts of the limit."""
    return Claimant(claim.part / UNITS, claim.want / UNITS, claim.deficit / UNITS, claim.hosts)


def _add(one: AccountSummary, other: AccountSummary) -> AccountSummary:
    claims = dict(one.claims)
    for kind, claim in other.claims.items():
        before = claims.get(kind, SharedClaim(0, 0, 0, 0))
        claims[kind] = SharedClaim(
            before.part + claim.part,
            before.want + claim.want,
            before.deficit + claim.deficit,
            before.hosts + claim.hosts,
        )
    day = max(one.day, other.day)
    spent = [s.zone_spent for s in (one, other) if s.day == day]
    return AccountSummary(claims, day, max(spent))


LIMITS_TOPIC = SummaryTopic("account-limits", merge)
