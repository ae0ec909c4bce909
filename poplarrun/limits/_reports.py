"""What hosts tell each other of their shares of the client accounts' limits."""

import enum
from collections.abc import Sequence

import msgspec

from poplarrun.hosts import SummaryTopic
from poplarrun.limits._shares import ShareReport

# Parts travel as whole numbers of this, to save bytes.
FRACTION_UNITS = 65_535
MAX_WANTED = 16.0


class LimitKind(enum.IntEnum):
    """The limits of a client account."""

    REQUESTS = 0
    TOKENS = 1
    STREAMS = 2
    SPEND = 3


class EncodedReport(msgspec.Struct, frozen=True, array_like=True):
    """A ``Claimant`` in whole units."""

    held: int
    wanted: int
    deficit: int
    host_count: int = 1


class AccountSummary(msgspec.Struct, frozen=True, array_like=True):
    """One account's claims, and what its zone knows of the day's spending.

    Attributes
    ----------
    day : int
        Day since the epoch.
    zone_spent : float
        Spending in the zone that day, of dead hosts too.
    """

    reports: dict[int, EncodedReport]
    day: int = 0
    zone_spent: float = 0.0
    host_spent: float = 0.0


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


def encode_report(claimant: ShareReport) -> EncodedReport:
    """Return a claimant in whole units; what is held is rounded up."""
    return EncodedReport(
        -int(-claimant.held * FRACTION_UNITS // 1),
        int(min(MAX_WANTED, claimant.wanted) * FRACTION_UNITS),
        int(claimant.deficit * FRACTION_UNITS),
        claimant.host_count,
    )


def decode_report(claim: EncodedReport) -> ShareReport:
    """Return a claim as parts of the limit."""
    return ShareReport(
        claim.held / FRACTION_UNITS,
        claim.wanted / FRACTION_UNITS,
        claim.deficit / FRACTION_UNITS,
        claim.host_count,
    )


def _add(one: AccountSummary, other: AccountSummary) -> AccountSummary:
    claims = dict(one.reports)
    for kind, claim in other.reports.items():
        before = claims.get(kind, EncodedReport(0, 0, 0, 0))
        claims[kind] = EncodedReport(
            before.held + claim.held,
            before.wanted + claim.wanted,
            before.deficit + claim.deficit,
            before.host_count + claim.host_count,
        )
    day = max(one.day, other.day)
    spent = [s.zone_spent for s in (one, other) if s.day == day]
    return AccountSummary(claims, day, max(spent))


LIMITS_TOPIC = SummaryTopic("account-limits", merge)
