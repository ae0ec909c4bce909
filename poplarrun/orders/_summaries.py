"""What hosts tell each other about demand for versions, and about orders under way."""

import math
import struct
import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from poplarrun.contracts import VersionId
from poplarrun.hosts import SummaryTopic

NO_FENCE = -1
# Places travel as one byte, in steps of a factor: from 0.05 to 170,000.
MIN_ENCODED_REQUESTS = 0.05
LEVELS_PER_OCTAVE = 12
_VERSION = struct.Struct(">HBB")


@dataclass(frozen=True, slots=True)
class VersionDemand:
    """Demand for one version.

    Attributes
    ----------
    places : float
        Requests open at once, those without an endpoint included.
    importance : int
        The highest of their classes.
    sessions : bool
        Whether an open session keeps the version.
    """

    concurrent_requests: float = 0.0
    importance: int = 0
    has_sessions: bool = False


class DrainRevision(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Which list of drains of a zone: later ones are higher."""

    fence: int = NO_FENCE
    number: int = 0


@dataclass
class DemandSummary:
    """One host's demand, or the sum over a zone.

    Attributes
    ----------
    versions : dict of int to VersionDemand
        By ``hash_version``; versions without demand are left out.
    applied : dict of str to Stamp
        By zone with drains, the list of drains that holds at the host; the lowest
        of a zone's hosts.
    open : dict of str to dict of str to int
        Open requests by engine and version, for versions that are drained.
    """

    versions: dict[int, VersionDemand] = field(default_factory=dict)
    applied_revisions: dict[str, DrainRevision] = field(default_factory=dict)
    open_requests: dict[str, dict[str, int]] = field(default_factory=dict)


class _EncodedDemand(msgspec.Struct, array_like=True):
    """A demand summary as it travels: four bytes a version."""

    versions: bytes = b""
    applied: dict[str, DrainRevision] = {}
    open: dict[str, dict[str, int]] = {}


class OrdersSummary(msgspec.Struct, array_like=True):
    """What the sender of a zone's orders tells all hosts.

    Attributes
    ----------
    stamp : Stamp
        Counts the changes of the drains.
    draining : dict of str to list of str
        By engine, versions that get no new work there.
    coming : dict of str to float
        Expected seconds until a version is loaded that no engine of the zone holds.
    without_room : list of str
        Offered versions that have no place in the zone.
    """

    revision: DrainRevision = DrainRevision()
    draining: dict[str, list[str]] = {}
    load_times_s: dict[str, float] = {}
    unplaced: list[str] = []


_demand_decoder = msgspec.msgpack.Decoder(_EncodedDemand)
_orders_decoder = msgspec.msgpack.Decoder(OrdersSummary)


def hash_version(version: VersionId) -> int:
    """Return the two bytes that stand for a version in demand summaries.

    Two versions that share them are each taken to have the demand of both,
    which costs at most a needless copy.
    """
    return zlib.crc32(str(version).encode()) & 0xFFFF


def encode_demand(summary: DemandSummary) -> bytes:
    """Return the bytes of a summary; places are rounded by up to 5%."""
    packed = b"".join(
        _VERSION.pack(
            key, _quantize(seen.concurrent_requests), seen.importance << 1 | seen.has_sessions
        )
        for key, seen in sorted(summary.versions.items())
    )
    return msgspec.msgpack.encode(
        _EncodedDemand(packed, summary.applied_revisions, summary.open_requests)
    )


def decode_demand(payload: bytes) -> DemandSummary:
    """Read a summary; bytes that are none are an empty one."""
    try:
        wire = _demand_decoder.decode(payload)
        versions = {
            key: VersionDemand(_dequantize(level), marks >> 1, bool(marks & 1))
            for key, level, marks in _VERSION.iter_unpack(wire.versions)
        }
    except (msgspec.MsgspecError, struct.error):
        return DemandSummary()
    return DemandSummary(versions, wire.applied, wire.open)


def _quantize(places: float) -> int:
    if places <= 0.0:
        return 0
    return min(255, max(1, round(LEVELS_PER_OCTAVE * math.log2(places / MIN_ENCODED_REQUESTS)) + 1))


def _dequantize(level: int) -> float:
    return MIN_ENCODED_REQUESTS * 2.0 ** ((level - 1) / LEVELS_PER_OCTAVE) if level else 0.0


def decode_orders(payload: bytes) -> OrdersSummary:
    """Read a summary; bytes that are none are an empty one."""
    try:
        return _orders_decoder.decode(payload)
    except msgspec.MsgspecError:
        return OrdersSummary()


def sum_demand(summaries: Sequence[DemandSummary]) -> DemandSummary:
    """Sum up what several hosts see."""
    total = DemandSummary()
    for summary in summaries:
        for version, seen in summary.versions.items():
            known = total.versions.get(version, VersionDemand())
            total.versions[version] = VersionDemand(
                known.concurrent_requests + seen.concurrent_requests,
                max(known.importance, seen.importance),
                known.has_sessions or seen.has_sessions,
            )
        for engine, versions in summary.open_requests.items():
            counts = total.open_requests.setdefault(engine, {})
            for name, count in versions.items():
                counts[name] = counts.get(name, 0) + count
    # A zone that one host has not told of counts as not applied there.
    zones = set.intersection(*(set(s.applied_revisions) for s in summaries)) if summaries else set()
    total.applied_revisions = {
        zone: min(s.applied_revisions[zone] for s in summaries) for zone in sorted(zones)
    }
    return total


def _merge_demand(payloads: Sequence[bytes]) -> bytes:
    return encode_demand(sum_demand([decode_demand(payload) for payload in payloads]))


def _merge_orders(payloads: Sequence[bytes]) -> bytes:
    summaries = [decode_orders(payload) for payload in payloads]
    return msgspec.msgpack.encode(max(summaries, key=lambda s: s.revision, default=OrdersSummary()))


DEMAND_TOPIC = SummaryTopic("version-demand", _merge_demand)
ORDERS_TOPIC = SummaryTopic("orders", _merge_orders)
