"""Connects a host to the other hosts, and builds the zone entries of its status."""

import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from poplarrun.config import CONFIG_STREAM, OperatorKeys
from poplarrun.hosts import (
    ListedHostTable,
    MemoryPeerNetwork,
    MemoryPeers,
    NetworkPeers,
    Peer,
    Peers,
    SummaryTopic,
)
from poplarrun.links import NngLinks, TlsFiles
from poplarrun.log import Log, LogKeys, SignedLog
from poplarrun.metrics import Metrics
from poplarrun.server._messages import ZoneStatus
from poplarrun.settings import HostSettings

MILLISECONDS_PER_SECOND = 1000


class OffsetSummary(msgspec.Struct, frozen=True, array_like=True):
    """Range of the configuration offsets in force at a group of hosts."""

    lowest: int
    highest: int


def merge_offsets(payloads: Sequence[bytes]) -> bytes:
    """Merge encoded offset summaries; payloads that can't be decoded are ignored."""
    statuses = [
        summary for payload in payloads if (summary := _decode_summary(payload)) is not None
    ]
    if not statuses:
        return b""
    merged = OffsetSummary(min(s.lowest for s in statuses), max(s.highest for s in statuses))
    return msgspec.msgpack.encode(merged)


OFFSETS = SummaryTopic("offsets", merge_offsets)


def make_peers(settings: HostSettings, metrics: Metrics, clock: Callable[[], float]) -> Peers:
    """Create the host's ``Peers``; without ``peer_listen`` the host has no peers."""
    incarnation = int(time.time() * MILLISECONDS_PER_SECOND)
    me = Peer(settings.name, settings.zone, settings.region, incarnation)
    if settings.peer_listen is None:
        return MemoryPeers(MemoryPeerNetwork(), me)
    tls = settings.tls.peers
    files = None if tls is None else TlsFiles(tls.authority, tls.identity)
    links = NngLinks(settings.peer_listen, files)
    source = random.Random(f"{settings.name}/{incarnation}")
    return NetworkPeers(me, links, settings.seeds, metrics, source, clock)


def keys_of(settings: HostSettings) -> OperatorKeys:
    """Return the operator keys from the settings."""
    keys = settings.operator_keys
    return OperatorKeys({name: tuple(k.encode() for k in some) for name, some in keys.items()})


def sign_log(log: Log, settings: HostSettings, metrics: Metrics) -> Log:
    """Return the log with signed records, except publications, which operators sign."""
    keys = tuple(key.encode() for key in settings.log_signing.keys)
    log_keys = LogKeys(keys, settings.log_signing.accept_unsigned)
    return SignedLog(log, log_keys, metrics.count_event, frozenset({CONFIG_STREAM}))


def publish_offset(peers: Peers, offset: int) -> None:
    """Publish the offset of the configuration in force at this host."""
    peers.publish(OFFSETS, msgspec.msgpack.encode(OffsetSummary(offset, offset)))


@dataclass(frozen=True, slots=True)
class _ZoneOffsets:
    lowest: int | None = None
    highest: int | None = None


def read_zones(peers: Peers, listed: ListedHostTable) -> tuple[ZoneStatus, ...]:
    """Return the status of each zone."""
    gathered = peers.collect_summaries(OFFSETS)
    by_zone = dict(gathered.other_zones)
    by_zone[peers.me.zone] = merge_offsets(list(gathered.own_zone.values()))
    statuses = []
    for view in peers.zones():
        offsets = _zone_offsets(by_zone.get(view.zone, b""))
        statuses.append(
            ZoneStatus(
                view.zone,
                view.silent,
                round(view.silence_s, 1),
                offsets.lowest,
                offsets.highest,
                dict(listed.describe_zone(view)),
            )
        )
    return tuple(statuses)


def _zone_offsets(payload: bytes) -> _ZoneOffsets:
    summary = _decode_summary(payload)
    return _ZoneOffsets() if summary is None else _ZoneOffsets(summary.lowest, summary.highest)


def _decode_summary(payload: bytes) -> OffsetSummary | None:
    try:
        return msgspec.msgpack.decode(payload, type=OffsetSummary)
    except msgspec.MsgspecError:
        return None
