"""The platform's list of entry hosts, compared with membership."""

import enum
from collections.abc import Callable, Iterable, Mapping

from poplarrun.clients import HostKind, HostState, ListedHost
from poplarrun.hosts._peers import ZoneView

# The list lags by less than this; a difference that lasts longer is counted for the operator.
MAX_LAG_S = 60.0
DIFFERS_EVENT = "host_list_differs"


class ListedState(enum.Enum):
    """What the list says of a host; ``UNKNOWN`` if it has no entry hosts at all."""

    LIVE = "listed live"
    LEAVING = "listed leaving"
    ABSENT = "not listed"
    UNKNOWN = "unknown"


def describe_host_state(listed_state: ListedState, observed: str | None) -> str | None:
    """Return what ``status`` shows of a host; None if it isn't shown.

    Membership decides which hosts are peers: it notices within seconds what the list shows late,
    or wrongly while the platform is unreachable. The list therefore adds and removes no peers;
    where it differs from membership, both are shown.

    Parameters
    ----------
    listed_state : ListedState
        What the list says.
    observed : str, optional
        What membership says: alive, suspect, dead, left or silent; None if it never saw the host.
    """
    match listed_state, observed:
        case ListedState.LIVE, None:
            return f"not seen, {listed_state.value}"
        case _, None:
            return None
        case ListedState.LIVE, "dead" | "left":
            return f"{observed}, {listed_state.value}"
        case ListedState.LEAVING, "alive":
            return f"alive, {listed_state.value}"
        case ListedState.LEAVING, "dead":
            # A planned stop that ended before the host could announce that it leaves.
            return "left"
        case ListedState.ABSENT, "alive":
            return f"alive, {listed_state.value}"
        case _:
            return observed


class ListedHostTable:
    """The listed entry hosts, and where they differ from membership.

    Parameters
    ----------
    count : callable
        Called once for each host that differs for longer than the list lags.
    """

    def __init__(self, count: Callable[[str], None]) -> None:
        self._count = count
        self._listed: dict[str, ListedHost] = {}
        self._differs_since: dict[str, float] = {}
        self._counted: set[str] = set()

    def apply_list(
        self, listed: Iterable[ListedHost], views: Iterable[ZoneView], now: float
    ) -> None:
        """Replace the list by a newly read one, and count hosts that differ for long."""
        self._listed = {host.name: host for host in listed if host.kind is HostKind.ENTRY}
        shown = {name: text for view in views for name, text in self.describe_zone(view).items()}
        differing = {name for name, text in shown.items() if ", " in text}
        self._differs_since = {n: self._differs_since.get(n, now) for n in differing}
        lasting = {n for n, since in self._differs_since.items() if now - since >= MAX_LAG_S}
        for _ in lasting - self._counted:
            self._count(DIFFERS_EVENT)
        self._counted = lasting

    def describe_zone(self, view: ZoneView) -> Mapping[str, str]:
        """Return the states of a zone's hosts, including hosts that are only listed."""
        listed_here = [name for name, host in self._listed.items() if host.zone == view.zone]
        shown = {
            name: describe_host_state(self._listed_state(name), view.hosts.get(name))
            for name in sorted({*view.hosts, *listed_here})
        }
        return {name: text for name, text in shown.items() if text is not None}

    def _listed_state(self, name: str) -> ListedState:
        if not self._listed:
            return ListedState.UNKNOWN
        match self._listed.get(name):
            case None:
                return ListedState.ABSENT
            case ListedHost(state=HostState.LEAVING):
                return ListedState.LEAVING
            case _:
                return ListedState.LIVE
