"""Simulation in virtual time of hosts that spend a common budget whenever their shares allow it."""

from collections.abc import Sequence

from poplarrun.shares import Budget, BudgetShares, HostSighting

KEY = "endpoint"
ENDPOINT_ZONE = "a"
STEP_S = 0.1
VIEW_INTERVAL_S = 0.8
SEED_HOSTS = 3
# Hosts that have run for a while, so that all of them know each other.
RUNNING_S = 30.0


class ShareFleet:
    """Hosts in the zones ``a``, ``b`` and ``c``, which know all hosts and hear some of them.

    Parameters
    ----------
    of_zone : bool
        Whether the budget is the rate of an endpoint in zone ``a``, in place of one of all hosts.

    Attributes
    ----------
    hosts : list of str
        Addresses; the first letter is the zone.
    now : float
        The virtual time, in seconds.
    """

    def __init__(self, hosts: int, budget: Budget, of_zone: bool = True) -> None:
        self.hosts = [f"{'abc'[number % 3]}{number}" for number in range(hosts)]
        self.now = RUNNING_S
        self._budget = budget
        self._of_zone = of_zone
        self._shares = {host: self._start(host, 0.0) for host in self.hosts}
        self._uses: dict[str, list[float]] = {host: [] for host in self.hosts}
        self._heard = {host: frozenset(self.hosts) for host in self.hosts}
        self._known = {host: frozenset(self.hosts) for host in self.hosts}
        self._is_unheard = False
        self._dead: set[str] = set()
        self._suspended: dict[str, float] = {}
        for self.now in (0.0, RUNNING_S / 2.0, RUNNING_S):
            self._update_views()

    def cut_into(self, groups: Sequence[Sequence[str]]) -> None:
        """Let the hosts of each group hear only each other."""
        for group in groups:
            for host in group:
                self._heard[host] = frozenset(group)
        self._update_views()

    def kill(self, hosts: Sequence[str]) -> None:
        """Stop hosts; the others notice it."""
        self._dead.update(hosts)
        self._update_views()

    def restart(self, hosts: Sequence[str]) -> None:
        """Start hosts anew, which have forgotten what they used; the others hear them at once."""
        for host in hosts:
            self._shares[host] = self._start(host, self.now)
        self._dead.difference_update(hosts)
        self._update_views()

    def start_unknown(self) -> None:
        """Start all hosts anew, each of which knows only the seeds."""
        seeds = frozenset(self.hosts[:SEED_HOSTS])
        for host in self.hosts:
            self._shares[host] = self._start(host, self.now)
            self._heard[host] = frozenset((host,))
            self._known[host] = seeds | {host}
        self._is_unheard = True
        self._update_views()

    def suspend(self, hosts: Sequence[str], seconds: float) -> None:
        """Suspend hosts; the others notice it."""
        self._suspended.update(dict.fromkeys(hosts, self.now + seconds))

    def use_whenever_allowed(self, seconds: float) -> list[float]:
        """Let time pass; return the times of all uses in it."""
        started_at = self.now
        steps_per_view = round(VIEW_INTERVAL_S / STEP_S)
        for step in range(round(seconds / STEP_S)):
            self.now = started_at + step * STEP_S
            resumed = [host for host, until in self._suspended.items() if until <= self.now]
            for host in resumed:
                del self._suspended[host]
            # A host that has just resumed spends before it learns what happened meanwhile.
            for host in self.hosts:
                if host not in self._dead and host not in self._suspended:
                    self._use(host)
            if step % steps_per_view == 0:
                self._update_views()
        self.now = started_at + seconds
        return sorted(at for times in self._uses.values() for at in times if at >= started_at)

    def _start(self, host: str, now: float) -> BudgetShares:
        shares = BudgetShares()
        shares.start(host, host[0], now)
        return shares

    def _use(self, host: str) -> None:
        shares, times = self._shares[host], self._uses[host]
        if self._of_zone:
            share = shares.zone_share(KEY, ENDPOINT_ZONE, self._budget, self.now)
        else:
            share = shares.fleet_share(KEY, self._budget, self.now)
        window_start = self.now - self._budget.window_s
        used = 0
        for at in reversed(times):
            if at < window_start or used >= share:
                break
            used += 1
        if used < share:
            times.append(self.now)

    def _update_views(self) -> None:
        absent = self._dead.union(self._suspended)
        sightings: dict[tuple[frozenset[str], frozenset[str]], list[HostSighting]] = {}
        for host in self.hosts:
            if host in absent:
                continue
            view = self._known[host], self._heard[host]
            if view not in sightings:
                sightings[view] = [self._sight(each, view[1] - absent) for each in view[0]]
            self._shares[host].update_hosts(sightings[view], self.now)

    def _sight(self, host: str, heard: frozenset[str]) -> HostSighting:
        if host in heard:
            return HostSighting(host, host[0], True, self.now)
        if self._is_unheard:
            return HostSighting(host, "", False, float("-inf"))
        return HostSighting(host, host[0], False, 0.0)


def apply_state(fleet: ShareFleet, state: str) -> None:
    """Bring hosts that hear each other into another state."""
    hosts = fleet.hosts
    match state:
        case "all hear each other":
            pass
        case "are cut into zones":
            fleet.cut_into([[host for host in hosts if host[0] == zone] for zone in "abc"])
        case "are cut into two halves":
            fleet.cut_into([hosts[::2], hosts[1::2]])
        case "are cut off one by one, a third of them":
            alone = hosts[::3]
            rest = [host for host in hosts if host not in alone]
            fleet.cut_into([rest, *([host] for host in alone)])
        case "lose a fifth of them":
            fleet.kill(hosts[::5])
        case "lose three fifths of them":
            fleet.kill([host for number, host in enumerate(hosts) if number % 5 < 3])
        case "lose those of the endpoint's zone":
            fleet.kill([host for host in hosts if host[0] == ENDPOINT_ZONE])
        case "are all suspended for a second, then resumed":
            fleet.suspend(hosts, 1.0)
        case "are all suspended for 6 s, then resumed":
            fleet.suspend(hosts, 6.0)
        case "are suspended for 6 s, a third of them":
            fleet.suspend(hosts[1::3][::2] + hosts[::6], 6.0)
        case "start, and don't know the others yet":
            fleet.start_unknown()
        case _:
            raise AssertionError(state)
