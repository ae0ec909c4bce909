"""Account limits: shares of many hosts, heard of late, with moves, deaths and cuts."""

from collections.abc import Callable
from dataclasses import dataclass, field

from poplarrun.limits import MAX_STARTUP_LENDERS, Share, ShareReport, ShareView

NEAR_ROUNDS = 2
FAR_ROUNDS = 3
LATE_ROUNDS = 2
SILENT_ROUNDS = 6
NOTHING = ShareReport(0.0, 0.0, 0.0, 0)

Demand = Callable[[int, int], float]


@dataclass
class LimitRun:
    """Hosts in zones that share one limit, in rounds.

    Attributes
    ----------
    demand : callable
        Demand of a host in a round, as a part of the limit.
    cut_zones : tuple of int
        Zones that nobody else hears, from ``cut_from`` to ``cut_until``.
    away : dict of int to (int, int)
        Hosts that stop as planned in a round, and start again in another one.
    totals : list of float
        Sum of all parts that may be used, by round.
    used : list of float
        Part of the limit that was let through, by round.
    """

    hosts: int
    zones: int
    demand: Demand
    cut_zones: tuple[int, ...] = ()
    cut_from: int = 10**9
    cut_until: int = 10**9
    dies_at: dict[int, int] = field(default_factory=dict)
    away: dict[int, tuple[int, int]] = field(default_factory=dict)
    totals: list[float] = field(default_factory=list)
    used: list[float] = field(default_factory=list)

    def run(self, rounds: int) -> None:
        """Run all rounds."""
        shares = [Share() for _ in range(self.hosts)]
        for share in shares:
            share.raise_to(1.0 / self.hosts)
        told: list[list[ShareReport]] = []
        frozen: dict[tuple[int, int], ShareReport] = {}
        for now in range(rounds):
            for host, (leaves, comes) in self.away.items():
                if now == leaves:
                    self._hand_over(shares, host, now)
                elif now == comes:
                    self._take_portion(shares, host, now)
            told.append([share.report() for share in shares])
            near = told[max(0, now - NEAR_ROUNDS)]
            sums = self._sum_zones(told[max(0, now - FAR_ROUNDS)], now)
            views = [self._other_zones(zone, sums, frozen, now) for zone in range(self.zones)]
            for host, share in enumerate(shares):
                if self._lives(host, now):
                    zone = host % self.zones
                    own = [
                        near[peer]
                        for peer in range(zone, self.hosts, self.zones)
                        if peer != host and self._lives(peer, now - NEAR_ROUNDS)
                    ]
                    heard, silent, is_current = views[zone]
                    view = ShareView(own, heard, silent, is_current)
                    share.update(self.demand(now, host), view)
            live = [host for host in range(self.hosts) if self._lives(host, now)]
            self.totals.append(sum(shares[host].usable for host in live))
            self.used.append(sum(min(shares[h].usable, self.demand(now, h)) for h in live))

    def _lives(self, host: int, now: int) -> bool:
        leaves, comes = self.away.get(host, (10**9, 10**9))
        return now < self.dies_at.get(host, 10**9) and not leaves <= now < comes

    def _near(self, host: int, now: int) -> list[int]:
        zone = range(host % self.zones, self.hosts, self.zones)
        return [peer for peer in zone if peer != host and self._lives(peer, now)]

    def _hand_over(self, shares: list[Share], host: int, now: int) -> None:
        near = self._near(host, now)
        if near:
            shares[near[host % len(near)]].transfer(shares[host].usable)
        shares[host] = Share()

    def _take_portion(self, shares: list[Share], host: int, now: int) -> None:
        near = self._near(host, now)[:MAX_STARTUP_LENDERS]
        given = [shares[peer].usable / (len(near) + 1) for peer in near]
        for peer, part in zip(near, given, strict=True):
            shares[peer].transfer(-part)
        shares[host].raise_to(sum(given))

    def _is_cut(self, one: int, other: int, at: int) -> bool:
        return self.cut_from <= at < self.cut_until and bool({one, other} & set(self.cut_zones))

    def _sum_zones(self, told: list[ShareReport], now: int) -> list[ShareReport]:
        sums = [NOTHING] * self.zones
        for host, claim in enumerate(told):
            if self._lives(host, now - FAR_ROUNDS):
                before = sums[host % self.zones]
                sums[host % self.zones] = ShareReport(
                    before.held + claim.held,
                    before.wanted + claim.wanted,
                    before.deficit + claim.deficit,
                    before.host_count + 1,
                )
        return sums

    def _other_zones(
        self,
        zone: int,
        sums: list[ShareReport],
        frozen: dict[tuple[int, int], ShareReport],
        now: int,
    ) -> tuple[dict[str, ShareReport], frozenset[str], bool]:
        heard: dict[str, ShareReport] = {}
        silent = set()
        is_current = True
        for other in range(self.zones):
            if other == zone:
                continue
            if self._is_cut(zone, other, now - FAR_ROUNDS):
                heard[str(other)] = frozen.setdefault((zone, other), sums[other])
            else:
                frozen.pop((zone, other), None)
                heard[str(other)] = sums[other]
            if self._is_cut(zone, other, now - SILENT_ROUNDS):
                silent.add(str(other))
            elif self._is_cut(zone, other, now - FAR_ROUNDS - LATE_ROUNDS):
                is_current = False
        return heard, frozenset(silent), is_current
