"""Folds the operators' evacuation orders, read from the log or heard from other hosts.

Hosts that are cut off from the log learn of orders from their peers. Of two orders of a zone the
one with the higher offset holds, so all hosts reach the same state in any order of arrival.
"""

from collections.abc import Collection
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ZoneOrder:
    """The newest known order of an availability zone.

    Attributes
    ----------
    offset : int
        Offset in the log as of which the order held.
    is_evacuated : bool
        Whether the zone's endpoints get no requests; False once the order is lifted.
    """

    zone: str
    offset: int
    is_evacuated: bool


@dataclass
class Evacuations:
    """The newest order of each availability zone."""

    _orders: dict[str, ZoneOrder] = field(default_factory=dict)

    @property
    def zones(self) -> frozenset[str]:
        """The evacuated zones."""
        return frozenset(zone for zone, order in self._orders.items() if order.is_evacuated)

    @property
    def orders(self) -> list[ZoneOrder]:
        """The newest order of each zone that ever had one, sorted by zone."""
        return sorted(self._orders.values(), key=lambda order: order.zone)

    def apply(self, order: ZoneOrder) -> bool:
        """Apply an order; return True if the zone is thereby evacuated or taken back."""
        previous = self._orders.get(order.zone)
        if previous is not None and order.offset <= previous.offset:
            return False
        self._orders[order.zone] = order
        was_evacuated = previous is not None and previous.is_evacuated
        return order.is_evacuated != was_evacuated

    def apply_listing(self, listed: Collection[str], end_offset: int) -> list[ZoneOrder]:
        """Lift the orders that are missing from a list of all current ones.

        The log doesn't retain the record that lifts an order.

        Parameters
        ----------
        listed : collection of str
            The zones with an order.
        end_offset : int
            Offset of the first record that the list may not take into account.

        Returns
        -------
        list of ZoneOrder
            The lifted orders.
        """
        lifted = [
            ZoneOrder(zone, end_offset - 1, False) for zone in self.zones if zone not in listed
        ]
        return [order for order in lifted if self.apply(order)]
