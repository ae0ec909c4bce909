"""Copies of other hosts' bills, held until those are logged or their host dies."""

from dataclasses import dataclass

from poplarrun.billing._records import Bill

# A peer that hasn't been live for this long is considered dead. If it isn't, both append its bills
# and the fold drops the repeats.
PEER_DEAD_TIMEOUT_S = 1.0

# Name and incarnation of a host.
HostIncarnation = tuple[str, int]
# Shards of bills by bill id, where they differ from the shard of the host that sent them.
ShardsByBill = dict[str, int]


@dataclass(frozen=True, slots=True)
class OrphanedBills:
    """The bills of a host that is considered dead."""

    host: str
    bills: list[Bill]
    foreign_shards: ShardsByBill


class PeerBills:
    """Copies of bills, by the host and incarnation that sent them."""

    def __init__(self) -> None:
        self._bills: dict[HostIncarnation, dict[str, Bill]] = {}
        self._foreign_shards: dict[HostIncarnation, ShardsByBill] = {}
        self._silent_since: dict[HostIncarnation, float] = {}

    @property
    def size(self) -> int:
        """Number of bills held."""
        return sum(len(bills) for bills in self._bills.values())

    def contains(self, bill_id: str) -> bool:
        """Tell whether a copy of a bill is held, whoever sent it."""
        return any(bill_id in bills for bills in self._bills.values())

    def add(self, origin: HostIncarnation, bills: list[Bill], foreign: ShardsByBill) -> None:
        """Add copies; the entry of a running request never replaces its final bill."""
        if foreign:
            self._foreign_shards.setdefault(origin, {}).update(foreign)
        copies = self._bills.setdefault(origin, {})
        for bill in bills:
            if bill.is_final or bill.id not in copies:
                copies[bill.id] = bill

    def discard(self, origin: HostIncarnation, ids: list[str]) -> None:
        """Discard the copies of bills that are in the log."""
        copies = self._bills.get(origin, {})
        for bill_id in ids:
            copies.pop(bill_id, None)
        if not copies:
            self._bills.pop(origin, None)
            self._foreign_shards.pop(origin, None)

    def remove_orphans(self, live: set[HostIncarnation], now: float) -> list[OrphanedBills]:
        """Remove and return the bills of each host that is considered dead."""
        for origin in live:
            self._silent_since.pop(origin, None)
        orphans: list[OrphanedBills] = []
        for origin in [known for known in self._bills if known not in live]:
            if now - self._silent_since.setdefault(origin, now) >= PEER_DEAD_TIMEOUT_S:
                del self._silent_since[origin]
                bills = list(self._bills.pop(origin).values())
                orphans.append(
                    OrphanedBills(origin[0], bills, self._foreign_shards.pop(origin, {}))
                )
        return orphans
