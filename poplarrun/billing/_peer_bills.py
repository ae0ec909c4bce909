"""What a host holds of other hosts' bills, until their log append or their death."""

from dataclasses import dataclass

from poplarrun.billing._records import Bill

# A peer that has not been live for so long is taken for dead; if it isn't, the
# fold drops what both append.
PEER_DEAD_TIMEOUT_S = 1.0

# A host's name and incarnation.
HostIncarnation = tuple[str, int]
# Shards of bills by id, where they aren't that of the host that told them.
ShardsByBill = dict[str, int]


@dataclass(frozen=True, slots=True)
class OrphanedBills:
    """The bills of a host that is taken for dead."""

    host: str
    bills: list[Bill]
    foreign_shards: ShardsByBill


class PeerBills:
    """The bills that other hosts told, by host and incarnation."""

    def __init__(self) -> None:
        self._bills: dict[HostIncarnation, dict[str, Bill]] = {}
        self._foreign_shards: dict[HostIncarnation, ShardsByBill] = {}
        self._silent_since: dict[HostIncarnation, float] = {}

    @property
    def size(self) -> int:
        """Number of bills that are held."""
        return sum(len(bills) for bills in self._bills.values())

    def contains(self, bill_id: str) -> bool:
        """Tell whether a bill is held, whoever told it."""
        return any(bill_id in bills for bills in self._bills.values())

    def add(self, origin: HostIncarnation, bills: list[Bill], foreign: ShardsByBill) -> None:
        """Hold bills; a running request's entry never replaces its final bill."""
        if foreign:
            self._foreign_shards.setdefault(origin, {}).update(foreign)
        held = self._bills.setdefault(origin, {})
        for bill in bills:
            if bill.is_final or bill.id not in held:
                held[bill.id] = bill

    def discard(self, origin: HostIncarnation, ids: list[str]) -> None:
        """Forget bills that the log has."""
        held = self._bills.get(origin, {})
        for bill_id in ids:
            held.pop(bill_id, None)
        if not held:
            self._bills.pop(origin, None)
            self._foreign_shards.pop(origin, None)

    def remove_orphans(self, live: set[HostIncarnation], now: float) -> list[OrphanedBills]:
        """Give out the bills of each host that is taken for dead."""
        for origin in live:
            self._silent_since.pop(origin, None)
        orphans: list[OrphanedBills] = []
        for origin in [held for held in self._bills if held not in live]:
            if now - self._silent_since.setdefault(origin, now) >= PEER_DEAD_TIMEOUT_S:
                del self._silent_since[origin]
                bills = list(self._bills.pop(origin).values())
                orphans.append(
                    OrphanedBills(origin[0], bills, self._foreign_shards.pop(origin, {}))
                )
        return orphans
