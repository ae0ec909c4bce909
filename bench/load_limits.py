"""Simulates how hosts share an account limit, with delayed reports, crashes and partitions."""

from collections.abc import Callable
from dataclasses import dataclass, field

from poplarrun.limits import MAX_STARTUP_LENDERS, Share, ShareReport, ShareView

SAME_ZONE_DELAY_ROUNDS = 2
CROSS_ZONE_DELAY_ROUNDS = 3
OUTDATED_AFTER_ROUNDS = 2
SILENT_AFTER_ROUNDS = 6
EMPTY_REPORT = ShareReport(0.0, 0.0, 0.0, 0)

Demand = Callable[[int, int], float]


@dataclass
class LimitRun:
    """Simulates rounds of hosts in several zones that share one limit.

    Attributes
    ----------
    demand : callable
        Returns the demand of a host in a round, as a fraction of the limit.
    cut_zones : tuple of int
        Zones that are partitioned from all others in rounds ``cut_from`` to ``cut_until``.
    away : dict of int to (int, int)
        Hosts that stop gracefully, with the rounds of their stop and of their restart.
    totals : list of float
        Sum of the usable fractions of all live hosts, by round.
    used : list of float
        Fraction of the limit that was used, by round.
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
        reports: list[list[ShareReport]] = []
        last_seen: dict[tuple[int, int], ShareReport] = {}
        for now in range(rounds):
            for host, (stops_at, restarts_at) in self.away.items():
                if now == stops_at:
                    self._hand_over(shares, host, now)
                elif now == restarts_at:
                    self._borrow_share(shares, host, now)
            reports.append([share.report() for share in shares])
            peer_reports = reports[max(0, now - SAME_ZONE_DELAY_ROUNDS)]
            zone_sums = self._sum_zones(reports[max(0, now - CROSS_ZONE_DELAY_ROUNDS)], now)
            views = [
                self._view_other_zones(zone, zone_sums, last_seen, now)
                for zone in range(self.zones)
            ]
            for host, share in enumerate(shares):
                if self._is_live(host, now):
                    zone = host % self.zones
                    own_zone = [
                        peer_reports[peer]
                        for peer in range(zone, self.hosts, self.zones)
                        if peer != host and self._is_live(peer, now - SAME_ZONE_DELAY_ROUNDS)
                    ]
                    zone_reports, silent_zones, is_current = views[zone]
                    view = ShareView(own_zone, zone_reports, silent_zones, is_current)
                    share.update(self.demand(now, host), view)
            live = [host for host in range(self.hosts) if self._is_live(host, now)]
            self.totals.append(sum(shares[host].usable for host in live))
            self.used.append(sum(min(shares[h].usable, self.demand(now, h)) for h in live))

    def _is_live(self, host: int, now: int) -> bool:
        stops_at, restarts_at = self.away.get(host, (10**9, 10**9))
        return now < self.dies_at.get(host, 10**9) and not stops_at <= now < restarts_at

    def _live_zone_peers(self, host: int, now: int) -> list[int]:
        zone = range(host % self.zones, self.hosts, self.zones)
        return [peer for peer in zone if peer != host and self._is_live(peer, now)]

    def _hand_over(self, shares: list[Share], host: int, now: int) -> None:
        zone_peers = self._live_zone_peers(host, now)
        if zone_peers:
            shares[zone_peers[host % len(zone_peers)]].transfer(shares[host].usable)
        shares[host] = Share()

    def _borrow_share(self, shares: list[Share], host: int, now: int) -> None:
        zone_peers = self._live_zone_peers(host, now)[:MAX_STARTUP_LENDERS]
        lent_fractions = [shares[peer].usable / (len(zone_peers) + 1) for peer in zone_peers]
        for peer, lent_fraction in zip(zone_peers, lent_fractions, strict=True):
            shares[peer].transfer(-lent_fraction)
        shares[host].raise_to(sum(lent_fractions))

    def _is_partitioned(self, one: int, other: int, at: int) -> bool:
        return self.cut_from <= at < self.cut_until and bool({one, other} & set(self.cut_zones))

    def _sum_zones(self, reports: list[ShareReport], now: int) -> list[ShareReport]:
        zone_sums = [EMPTY_REPORT] * self.zones
        for host, report in enumerate(reports):
            if self._is_live(host, now - CROSS_ZONE_DELAY_ROUNDS):
                zone_sum = zone_sums[host % self.zones]
                zone_sums[host % self.zones] = ShareReport(
                    zone_sum.held + report.held,
                    zone_sum.wanted + report.wanted,
                    zone_sum.deficit + report.deficit,
                    zone_sum.host_count + 1,
                )
        return zone_sums

    def _view_other_zones(
        self,
        zone: int,
        zone_sums: list[ShareReport],
        last_seen: dict[tuple[int, int], ShareReport],
        now: int,
    ) -> tuple[dict[str, ShareReport], frozenset[str], bool]:
        zone_reports: dict[str, ShareReport] = {}
        silent_zones = set()
        is_current = True
        for other in range(self.zones):
            if other == zone:
                continue
            if self._is_partitioned(zone, other, now - CROSS_ZONE_DELAY_ROUNDS):
                zone_reports[str(other)] = last_seen.setdefault((zone, other), zone_sums[other])
            else:
                last_seen.pop((zone, other), None)
                zone_reports[str(other)] = zone_sums[other]
            if self._is_partitioned(zone, other, now - SILENT_AFTER_ROUNDS):
                silent_zones.add(str(other))
            elif self._is_partitioned(
                zone, other, now - CROSS_ZONE_DELAY_ROUNDS - OUTDATED_AFTER_ROUNDS
            ):
                is_current = False
        return zone_reports, frozenset(silent_zones), is_current
