"""What a host holds of other hosts' bills, until their log append or their death."""

from poplarrun.billing._records import Bill

# A peer that has not been live for so long is taken for dead; if it isn't, the
# fold drops what both append.
DEAD_AFTER_S = 1.0

# A host's name and incarnation.
Holder = tuple[str, int]


class HeldBills:
    """The bills that other hosts told, by host and incarnation."""

    def __init__(self) -> None:
        self._bills: dict[Holder, dict[str, Bill]] = {}
        self._silent_since: dict[Holder, float] = {}

    @property
    def size(self) -> int:
        """Number of bills that are held."""
        return sum(len(bills) for bills in self._bills.values())

    def holds(self, bill_id: str) -> bool:
        """Tell whether a bill is held, whoever told it."""
        return any(bill_id in bills for bills in self._bills.values())

    def add(self, holder: Holder, bills: list[Bill]) -> None:
        """Hold bills; a running request's entry never replaces its final bill."""
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

    def take_orphans(self, live: set[Holder], now: float) -> list[tuple[str, list[Bill]]]:
        """Give out the bills of each host that is taken for dead, with its name."""
        for holder in live:
            self._silent_since.pop(holder, None)
        orphans: list[tuple[str, list[Bill]]] = []
        for holder in [held for held in self._bills if held not in live]:
            if now - self._silent_since.setdefault(holder, now) >= DEAD_AFTER_S:
                del self._silent_since[holder]
                orphans.append((holder[0], list(self._bills.pop(holder).values())))
        return orphans
