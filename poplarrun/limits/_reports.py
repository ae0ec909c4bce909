"""Messages with which hosts report their shares of the client accounts' limits."""

import enum
from collections.abc import Sequence

import msgspec

from poplarrun.hosts import SummaryTopic
from poplarrun.limits._shares import ShareReport

# Fractions are encoded as integers in units of 1/65,535, to save bytes.
FRACTION_UNITS = 65_535
MAX_WANTED = 16.0


class LimitKind(enum.IntEnum):
    """The limits of a client account."""

    REQUESTS = 0
    TOKENS = 1
    STREAMS = 2
    SPEND = 3


class EncodedReport(msgspec.Struct, frozen=True, array_like=True):
    """A ``ShareReport`` in integer units."""

    held: int
    wanted: int
    deficit: int
    host_count: int = 1


class AccountSummary(msgspec.Struct, frozen=True, array_like=True):
    """One account's share reports and its spending of the day in the zone.

    Attributes
    ----------
    day : int
        Day since the epoch.
    zone_spent : float
        Spending in the zone that day, including hosts that died since.
    host_spent : float
        Spending at the reporting host that day.
    """

    reports: dict[int, EncodedReport]
    day: int = 0
    zone_spent: float = 0.0
    host_spent: float = 0.0


Summary = dict[str, AccountSummary]
_decoder: msgspec.msgpack.Decoder[Summary] = msgspec.msgpack.Decoder(Summary)


def encode(summary: Summary) -> bytes:
    """Encode a summary."""
    return msgspec.msgpack.encode(summary)


def decode(payload: bytes) -> Summary:
    """Decode a summary; invalid bytes give an empty one."""
    try:
        return _decoder.decode(payload) if payload else {}
    except msgspec.DecodeError:
        return {}


def merge(payloads: Sequence[bytes]) -> bytes:
    """Add up the summaries of a zone's hosts."""
    merged: Summary = {}
    for payload in payloads:
        for account, summary in decode(payload).items():
            before = merged.get(account)
            merged[account] = summary if before is None else _add(before, summary)
    return encode(merged)


def encode_report(report: ShareReport) -> EncodedReport:
    """Return a report in integer units; the held fraction is rounded up."""
    return EncodedReport(
        -int(-report.held * FRACTION_UNITS // 1),
        int(min(MAX_WANTED, report.wanted) * FRACTION_UNITS),
        int(report.deficit * FRACTION_UNITS),
        report.host_count,
    )


def decode_report(report: EncodedReport) -> ShareReport:
    """Return a report as fractions of the limit."""
    return ShareReport(
        report.held / FRACTION_UNITS,
        report.wanted / FRACTION_UNITS,
        report.deficit / FRACTION_UNITS,
        report.host_count,
    )


def _add(one: AccountSummary, other: AccountSummary) -> AccountSummary:
    reports = dict(one.reports)
    for kind, report in other.reports.items():
        before = reports.get(kind, EncodedReport(0, 0, 0, 0))
        reports[kind] = EncodedReport(
            before.held + report.held,
            before.wanted + report.wanted,
            before.deficit + report.deficit,
            before.host_count + report.host_count,
        )
    day = max(one.day, other.day)
    spent = [s.zone_spent for s in (one, other) if s.day == day]
    return AccountSummary(reports, day, max(spent))


LIMITS_TOPIC = SummaryTopic("account-limits", merge)
