"""Messages with which hosts share the demand for versions and the state of the orders."""

import math
import struct
import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from poplarrun.contracts import VersionId
from poplarrun.hosts import SummaryTopic

NO_FENCE = -1
# Concurrent requests are encoded in one byte, on a logarithmic scale from 0.05 to 170,000.
MIN_ENCODED_REQUESTS = 0.05
LEVELS_PER_OCTAVE = 12
_VERSION = struct.Struct(">HBB")


@dataclass(frozen=True, slots=True)
class VersionDemand:
    """Demand for one version.

    Attributes
    ----------
    concurrent_requests : float
        Requests that are open at the same time, including those without an endpoint.
    importance : int
        The highest importance of their classes.
    has_sessions : bool
        Whether an open session is pinned to the version.
    """

    concurrent_requests: float = 0.0
    importance: int = 0
    has_sessions: bool = False


class DrainRevision(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Revision of a zone's list of drains; a later one compares higher."""

    fence: int = NO_FENCE
    number: int = 0


@dataclass
class DemandSummary:
    """Demand at one host, or the sum over a zone.

    Attributes
    ----------
    versions : dict of int to VersionDemand
        By ``hash_version``; versions without demand are left out.
    applied_revisions : dict of str to DrainRevision
        Revision of the list of drains that the host applies, by zone with drains; for a zone's sum
        the lowest of its hosts.
    open_requests : dict of str to dict of str to int
        Open requests of drained versions, by engine and version.
    """

    versions: dict[int, VersionDemand] = field(default_factory=dict)
    applied_revisions: dict[str, DrainRevision] = field(default_factory=dict)
    open_requests: dict[str, dict[str, int]] = field(default_factory=dict)


class _EncodedDemand(msgspec.Struct, array_like=True):
    """Encoded demand summary: four bytes for each version."""

    versions: bytes = b""
    applied: dict[str, DrainRevision] = {}
    open: dict[str, dict[str, int]] = {}


class OrdersSummary(msgspec.Struct, array_like=True):
    """State of a zone's orders, published by the host that sends them.

    Attributes
    ----------
    revision : DrainRevision
        Increases whenever ``draining`` changes.
    draining : dict of str to list of str
        Versions that get no new requests, by engine.
    load_times_s : dict of str to float
        Expected seconds until a version is loaded that no engine of the zone has loaded.
    unplaced : list of str
        Offered versions that have no room in the zone.
    """

    revision: DrainRevision = DrainRevision()
    draining: dict[str, list[str]] = {}
    load_times_s: dict[str, float] = {}
    unplaced: list[str] = []


_demand_decoder = msgspec.msgpack.Decoder(_EncodedDemand)
_orders_decoder = msgspec.msgpack.Decoder(OrdersSummary)


def hash_version(version: VersionId) -> int:
    """Return a 16-bit hash that identifies a version in demand summaries.

    Two versions with the same hash each get the demand of both, which costs at most an unneeded
    copy.
    """
    return zlib.crc32(str(version).encode()) & 0xFFFF


def encode_demand(summary: DemandSummary) -> bytes:
    """Encode a summary; concurrent requests are rounded by up to 5%."""
    packed = b"".join(
        _VERSION.pack(
            key, _quantize(demand.concurrent_requests), demand.importance << 1 | demand.has_sessions
        )
        for key, demand in sorted(summary.versions.items())
    )
    return msgspec.msgpack.encode(
        _EncodedDemand(packed, summary.applied_revisions, summary.open_requests)
    )


def decode_demand(payload: bytes) -> DemandSummary:
    """Decode a summary; invalid bytes give an empty one."""
    try:
        wire = _demand_decoder.decode(payload)
        versions = {
            key: VersionDemand(_dequantize(level), flags >> 1, bool(flags & 1))
            for key, level, flags in _VERSION.iter_unpack(wire.versions)
        }
    except (msgspec.MsgspecError, struct.error):
        return DemandSummary()
    return DemandSummary(versions, wire.applied, wire.open)


def _quantize(concurrent_requests: float) -> int:
    if concurrent_requests <= 0.0:
        return 0
    return min(
        255,
        max(
            1, round(LEVELS_PER_OCTAVE * math.log2(concurrent_requests / MIN_ENCODED_REQUESTS)) + 1
        ),
    )


def _dequantize(level: int) -> float:
    return MIN_ENCODED_REQUESTS * 2.0 ** ((level - 1) / LEVELS_PER_OCTAVE) if level else 0.0


def decode_orders(payload: bytes) -> OrdersSummary:
    """Decode a summary; invalid bytes give an empty one."""
    try:
        return _orders_decoder.decode(payload)
    except msgspec.MsgspecError:
        return OrdersSummary()


def sum_demand(summaries: Sequence[DemandSummary]) -> DemandSummary:
    """Add up the demand of several hosts."""
    total = DemandSummary()
    for summary in summaries:
        for version, demand in summary.versions.items():
            total_demand = total.versions.get(version, VersionDemand())
            total.versions[version] = VersionDemand(
                total_demand.concurrent_requests + demand.concurrent_requests,
                max(total_demand.importance, demand.importance),
                total_demand.has_sessions or demand.has_sessions,
            )
        for engine, versions in summary.open_requests.items():
            counts = total.open_requests.setdefault(engine, {})
            for name, count in versions.items():
                counts[name] = counts.get(name, 0) + count
    # A revision counts as applied only if every host reports it.
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
