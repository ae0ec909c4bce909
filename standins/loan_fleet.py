"""Simulation in virtual time of hosts that lend each other shares of one budget."""

import random
from collections import deque

from poplarrun.shares import (
    Budget,
    LoanRequest,
    ShareKey,
    ShareKind,
    ShareUse,
)
from standins.share_fleet import ENDPOINT_ZONE, KEY, ShareFleet

SHARE_KEY = ShareKey(ShareKind.RATE_LIMIT, KEY)
STEP_S = 0.05
VIEW_INTERVAL_S = 0.8
ROUND_INTERVAL_S = 0.2
MAX_DELAY_S = 0.6
LOSS_PROBABILITY = 0.1
MAX_ASKED = 24


class LoanFleet(ShareFleet):
    """Hosts whose callers come to a few of them, to others after a while.

    Messages between hosts that hear each other are late, outrun each other, and get lost.
    """

    def __init__(self, seed: int, hosts: int, budget: Budget, of_zone: bool = True) -> None:
        super().__init__(hosts, budget, of_zone)
        self._random = random.Random(seed)
        self._recent: dict[str, deque[float]] = {host: deque() for host in self.hosts}
        self._messages: list[tuple[float, str, str, object]] = []
        self._round_at = dict.fromkeys(self.hosts, 0.0)

    def use_at(
        self, hosts: list[str], uses_per_s: float, seconds: float
    ) -> tuple[list[float], int]:
        """Let requests come to some hosts; return the times of all uses, and the refusals."""
        started_at = self.now
        uses: list[float] = []
        refused = 0
        due = 0.0
        steps_per_view = round(VIEW_INTERVAL_S / STEP_S)
        for step in range(round(seconds / STEP_S)):
            self.now = started_at + step * STEP_S
            for host in [host for host, until in self._suspended.items() if until <= self.now]:
                del self._suspended[host]
            self._deliver()
            due += uses_per_s * STEP_S
            while due >= 1.0:
                due -= 1.0
                host = self._random.choice(hosts)
                if host in self._dead or host in self._suspended:
                    continue
                if self._try_use(host):
                    uses.append(self.now)
                else:
                    refused += 1
            self._run_rounds()
            if step % steps_per_view == 0:
                self._update_views()
        self.now = started_at + seconds
        return uses, refused

    def restart(self, hosts: list[str]) -> None:  # type: ignore[override]
        """Start hosts anew, which have forgotten what they used, lent and borrowed."""
        for host in hosts:
            self._recent[host].clear()
        super().restart(hosts)

    def _try_use(self, host: str) -> bool:
        loans = self._shares[host].loans
        use = self._describe(host)
        if use.used >= use.share + loans.balance(SHARE_KEY, self.now):
            loans.record_shortage(SHARE_KEY, self.now)
            return False
        self._recent[host].append(self.now)
        return True

    def _describe(self, host: str) -> ShareUse:
        recent = self._recent[host]
        while recent and self.now - recent[0] > self._budget.window_s:
            recent.popleft()
        shares, budget, now = self._shares[host], self._budget, self.now
        if self._of_zone:
            share = shares.zone_share(KEY, ENDPOINT_ZONE, budget, now)
            reserved = shares.zone_reserve(KEY, ENDPOINT_ZONE, budget, now)
            lenders = shares.zone_lenders(KEY, ENDPOINT_ZONE, budget)
        else:
            share = shares.fleet_share(KEY, budget, now)
            reserved = shares.fleet_reserve(KEY, budget, now)
            lenders = shares.fleet_lenders(KEY, budget)
        is_known = shares.is_known(budget, now)
        return ShareUse(
            min(reserved, share), share, len(recent), budget.window_s, lenders, is_known
        )

    def _run_rounds(self) -> None:
        for host in self.hosts:
            if host in self._dead or host in self._suspended:
                continue
            if self.now - self._round_at[host] < ROUND_INTERVAL_S:
                continue
            self._round_at[host] = self.now
            loans = self._shares[host].loans
            for key in loans.wanted_keys(self.now):
                use = self._describe(host)
                for lender, want in loans.plan_requests(key, use, MAX_ASKED, self.now).items():
                    request = LoanRequest(host, self.now, want.held, want.wanted)
                    self._send(host, lender, request)

    def _send(self, sender: str, receiver: str, message: object) -> None:
        if receiver not in self._heard[sender] or self._random.random() < LOSS_PROBABILITY:
            return
        arrives_at = self.now + self._random.uniform(0.0, MAX_DELAY_S)
        self._messages.append((arrives_at, sender, receiver, message))

    def _deliver(self) -> None:
        arrived = [each for each in self._messages if each[0] <= self.now]
        self._messages = [each for each in self._messages if each[0] > self.now]
        for _, sender, receiver, message in arrived:
            if receiver in self._dead or receiver in self._suspended:
                continue
            loans = self._shares[receiver].loans
            match message:
                case LoanRequest() as request:
                    amount = loans.lend(SHARE_KEY, request, self._describe(receiver), self.now)
                    self._send(receiver, sender, (amount, request.asked_at))
                case (int(amount), float(asked_at)):
                    loans.record_answer(SHARE_KEY, sender, amount, asked_at, self.now)
