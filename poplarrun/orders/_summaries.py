"""What hosts tell each other about demand for versions, and about orders under way."""

from collections.abc import Sequence

import msgspec

from poplarrun.hosts import SummaryTopic

NO_FENCE = -1


class VersionDemand(msgspec.Struct, frozen=True, array_like=True):
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

    places: float = 0.0
    importance: int = 0
    sessions: bool = False


class Stamp(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Which list of drains of a zone: later ones are higher."""

    fence: int = NO_FENCE
    number: int = 0


class DemandSummary(msgspec.Struct, array_like=True):
    """One host's demand, or the sum over a zone.

    Attributes
    ----------
    versions : dict of str to VersionDemand
        Versions without demand are left out.
    applied : dict of str to Stamp
        By zone, the list of drains that holds at the host; the lowest of a zone's hosts.
    open : dict of str to dict of str to int
        Open requests by engine and version, for versions that are drained.
    """

    versions: dict[str, VersionDemand] = {}
    applied: dict[str, Stamp] = {}
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

    stamp: Stamp = Stamp()
    draining: dict[str, list[str]] = {}
    coming: dict[str, float] = {}
    without_room: list[str] = []


_demand_decoder = msgspec.msgpack.Decoder(DemandSummary)
_orders_decoder = msgspec.msgpack.Decoder(OrdersSummary)


def decode_demand(payload: bytes) -> DemandSummary:
    """Read a summary; bytes that are none are an empty one."""
    try:
        return _demand_decoder.decode(payload)
    except msgspec.MsgspecError:
        return DemandSummary()


def decode_orders(payload: bytes) -> OrdersSummary:
    """Read a summary; bytes that are none are an empty one."""
    try:
        return _orders_decoder.decode(payload)
    except msgspec.MsgspecError:
        return OrdersSummary()


def add_demand(summaries: Sequence[DemandSummary]) -> DemandSummary:
    """Sum up what several hosts see."""
    total = DemandSummary()
    for summary in summaries:
        for version, seen in summary.versions.items():
            known = total.versions.get(version, VersionDemand())
            total.versions[version] = VersionDemand(
                round(known.places + seen.places, 2),
                max(known.importance, seen.importance),
                known.sessions or seen.sessions,
            )
        for engine, versions in summary.open.items():
            counts = total.open.setdefault(engine, {})
            for version, count in versions.items():
                counts[version] = counts.get(version, 0) + count
    # A zone that one host has not told of counts as not applied there.
    zones = set.intersection(*(set(s.applied) for s in summaries)) if summaries else set()
    total.applied = {zone: min(s.applied[zone] for s in summaries) for zone in sorted(zones)}
    return total


def _merge_demand(payloads: Sequence[bytes]) -> bytes:
    return msgspec.msgpack.encode(add_demand([decode_demand(payload) for payload in payloads]))


def _merge_orders(payloads: Sequence[bytes]) -> bytes:
    summaries = [decode_orders(payload) for payload in payloads]
    return msgspec.msgpack.encode(max(summaries, key=lambda s: s.stamp, default=OrdersSummary()))


DEMAND_TOPIC = SummaryTopic("version-demand", _merge_demand)
ORDERS_TOPIC = SummaryTopic("orders", _merge_orders)
