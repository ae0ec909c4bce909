"""The platform's list of entry hosts, held against what membership sees."""

import enum
from collections.abc import Callable, Iterable, Mapping

from poplarrun.clients import HostKind, HostState, ListedHost
from poplarrun.hosts._peers import ZoneView

# The list lags by less than this; what differs for longer an operator should see.
LAG_S = 60.0
DIFFERS = "host_list_differs"


class ListedState(enum.Enum):
    """What the list says of one host; ``UNKNOWN`` when it names no entry host at all."""

    LIVE = "listed live"
    LEAVING = "listed leaving"
    ABSENT = "not listed"
    UNKNOWN = "unknown"


def describe_host_state(listing: ListedState, seen: str | None) -> str | None:
    """Return what ``status`` shows of a host; None for one that is not shown.

    Membership decides who is a peer: it sees in seconds what the list tells
    late, or wrongly while the platform is cut off. So the list takes no peer
    away and adds none; where it says something else, both are shown.

    Parameters
    ----------
    listing : Listing
        What the list says.
    seen : str, optional
        alive, suspect, dead, left or silent; None when never seen.
    """
    match listing, seen:
        case ListedState.LIVE, None:
            return f"not seen, {listing.value}"
        case _, None:
            return None
        case ListedState.LIVE, "dead" | "left":
            return f"{seen}, {listing.value}"
        case ListedState.LEAVING, "alive":
            return f"alive, {listing.value}"
        case ListedState.LEAVING, "dead":
            # It ended as planned and was too quick to say so.
            return "left"
        case ListedState.ABSENT, "alive":
            return f"alive, {listing.value}"
        case _:
            return seen


class ListedHostTable:
    """Keeps the listed entry hosts, and tells where they differ from what is seen.

    Parameters
    ----------
    count : callable
        Counts a host that differs for longer than the list lags, once.
    """

    def __init__(self, count: Callable[[str], None]) -> None:
        self._count = count
        self._listed: dict[str, ListedHost] = {}
        self._differs_since: dict[str, float] = {}
        self._counted: set[str] = set()

    def apply_list(
        self, listed: Iterable[ListedHost], views: Iterable[ZoneView], now: float
    ) -> None:
        """Take over a list that was just read."""
        self._listed = {host.name: host for host in listed if host.kind is HostKind.ENTRY}
        shown = {name: text for view in views for name, text in self.describe_zone(view).items()}
        differing = {name for name, text in shown.items() if ", " in text}
        self._differs_since = {n: self._differs_since.get(n, now) for n in differing}
        lasting = {n for n, since in self._differs_since.items() if now - since >= LAG_S}
        for _ in lasting - self._counted:
            self._count(DIFFERS)
        self._counted = lasting

    def describe_zone(self, view: ZoneView) -> Mapping[str, str]:
        """Return the states of a zone's hosts, those that are only listed among them."""
        listed_here = [name for name, host in self._listed.items() if host.zone == view.zone]
        shown = {
            name: describe_host_state(self._listing_of(name), view.hosts.get(name))
            for name in sorted({*view.hosts, *listed_here})
        }
        return {name: text for name, text in shown.items() if text is not None}

    def _listing_of(self, name: str) -> ListedState:
        if not self._listed:
            return ListedState.UNKNOWN
        match self._listed.get(name):
            case None:
                return ListedState.ABSENT
            case ListedHost(state=HostState.LEAVING):
                return ListedState.LEAVING
            case _:
                return ListedState.LIVE
