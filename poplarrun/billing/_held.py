"""What a host holds of other hosts' bills, until their log append or their death."""

from dataclasses import dataclass

from poplarrun.billing._records import Bill

# A peer that has not been live for so long is taken for dead; if it isn't, the
# fold drops what both append.
DEAD_AFTER_S = 1.0

# A host's name and incarnation.
Holder = tuple[str, int]
# Shards of bills by id, where they aren't that of the host that told them.
ForeignShards = dict[str, int]


@dataclass(frozen=True, slots=True)
class Orphans:
    """The bills of a host that is taken for dead."""

    host: str
    bills: list[Bill]
    foreign: ForeignShards


class HeldBills:
    """The bills that other hosts told, by host and incarnation."""

    def __init__(self) -> None:
        self._bills: dict[Holder, dict[str, Bill]] = {}
        self._foreign: dict[Holder, ForeignShards] = {}
        self._silent_since: dict[Holder, float] = {}

    @property
    def size(self) -> int:
        """Number of bills that are held."""
        return sum(len(bills) for bills in self._bills.values())

    def holds(self, bill_id: str) -> bool:
        """Tell whether a bill is held, whoever told it."""
        return any(bill_id in bills for bills in self._bills.values())

    def add(self, holder: Holder, bills: list[Bill], foreign: ForeignShards) -> None:
        """Hold bills; a running request's entry never replaces its final bill."""
        if foreign:
            self._foreign.setdefault(holder, {}).update(foreign)
        held = self._bills.setdefault(holder, {})
        for bill in bills:
            if bill.is_final or bill.id not in held:
                held[bill.id] = bill

    def drop(self, holder: Holder, ids: list[str]) -> None:
        """Forget bills that the log has."""
        held = self._bills.get(holder, {})
        for bill_id in ids:
            held.pop(bill_id, None)
        if not held:
            self._bills.pop(holder, None)
            self._foreign.pop(holder, None)

    def take_orphans(self, live: set[Holder], now: float) -> list[Orphans]:
        """Give out the bills of each host that is taken for dead."""
        for holder in live:
            self._silent_since.pop(holder, None)
        orphans: list[Orphans] = []
        for holder in [held for held in self._bills if held not in live]:
            if now - self._silent_since.setdefault(holder, now) >= DEAD_AFTER_S:
                del self._silent_since[holder]
                bills = list(self._bills.pop(holder).values())
                orphans.append(Orphans(holder[0], bills, self._foreign.pop(holder, {})))
        return orphans
