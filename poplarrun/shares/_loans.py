"""Loans of shares between hosts, so that a share can be used where the callers are.

The lender takes what it lends off its own share for longer than the borrower may use it. All hosts
together therefore never use more than their shares, whatever messages are lost or late.
"""

import enum
import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

# The borrower may use a loan for this long after it asked for it, in seconds. It is shorter than a
# host that has restarted, and has forgotten what it lent, waits for its shares.
LOAN_TTL_S = 3.0
# The borrower asks for a loan again when it is this old, in seconds.
RENEWAL_AGE_S = 1.4
# A lender has taken back by then what the borrower has not given back, in seconds.
DEBT_TTL_S = 30.0
# It gives back what it doesn't use when the loan is this old, in seconds.
RELEASE_AGE_S = 0.4
# An answer that takes longer counts as lost, in seconds.
ANSWER_TIMEOUT_S = 1.0
# A lender that lent less than this host wanted is asked for more only after this, in seconds.
DECLINED_DELAY_S = 1.0
# A request that found no share says for this long that the host is short of it, in seconds.
SHORTAGE_TTL_S = 1.0
# What a host asks for at first, and the growth of what it wants while it is short.
MIN_WANTED = 8
WANTED_FACTOR = 2
# What a host wants while it is not short, as a multiple of what it uses.
RESERVE_FACTOR = 1.25
# Intervals in seconds at which a host that is short asks others for more than they lend it.
MIN_SEARCH_INTERVAL_S = 0.1
MAX_SEARCH_INTERVAL_S = 3.2
# What a host says that it holds while it doesn't know: all that it has ever had.
MAX_HELD = 1 << 30
# What a host needs is judged by its use in this time, in seconds.
USE_TTL_S = 1.0


class Want(NamedTuple):
    """What a host asks another one for.

    Attributes
    ----------
    held : int
        What it has not given back.
    wanted : int
        What it wants to have from now on.
    """

    held: int
    wanted: int


class ShareKind(enum.IntEnum):
    """Which budget of an endpoint a share belongs to."""

    RATE_LIMIT = 1
    WARM_UP = 2
    SLOTS = 3


class ShareKey(NamedTuple):
    """Identifies a budget that all hosts share."""

    kind: ShareKind
    instance_id: str


@dataclass(frozen=True, slots=True)
class ShareUse:
    """A host's share of a budget and its use of it.

    Attributes
    ----------
    reserved : int
        What it may always use by the division among all known hosts; only this can be lent.
    share : int
        What it may use now, without loans.
    used : int
        What it uses now, or used in the window of the budget.
    hold_s : float
        Time in seconds for which a use counts after the loan that allowed it has lapsed.
    lenders : tuple of str
        Addresses of the other living hosts that have a share.
    knows_debts : bool
        Whether it knows what it owes; not after a start, before its earlier uses have ended.
    """

    reserved: int
    share: int
    used: int
    hold_s: float
    lenders: tuple[str, ...] = ()
    knows_debts: bool = True


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """What another host wants to have of this host's share.

    Attributes
    ----------
    asked_at : float
        By the borrower's clock.
    held : int
        It has given back whatever it had beyond this.
    wanted : int
        What it wants to have from now on.
    """

    borrower: str
    asked_at: float
    held: int
    wanted: int


@dataclass(slots=True)
class _Borrowed:
    """A loan that this host has.

    Attributes
    ----------
    amount : int
        What it may use.
    owed : int
        What it has not given back yet, because it may still be in use.
    asked_at : float
        When it last asked for the loan.
    """

    amount: int
    owed: int
    asked_at: float

    def is_valid(self, now: float) -> bool:
        return now - self.asked_at < LOAN_TTL_S


@dataclass(frozen=True, slots=True)
class _LentPart:
    """A part of the own share that another host may use, or whose uses still count."""

    amount: int
    until: float


@dataclass(slots=True)
class _Lent:
    """What another host may have, and the stamp of its latest request."""

    asked_at: float
    parts: list[_LentPart] = field(default_factory=list)

    def total(self, now: float) -> int:
        return sum(part.amount for part in self.parts if now < part.until)

    def release(self, held: int) -> None:
        """Free what the borrower has given back."""
        self.parts = _limit_parts(self.parts, held)

    def extend(self, amount: int, until: float) -> None:
        """Lend an amount for longer; the borrower may not learn that it is less than before."""
        rests = _exceeding_parts(self.parts, amount)
        self.parts = [_LentPart(amount, until), *rests] if amount > 0 else rests


@dataclass(slots=True)
class _Asked:
    """The latest request to a lender."""

    at: float
    wanted: int
    is_answered: bool = False


@dataclass
class _KeyLoans:
    """All loans of one share."""

    borrowed: dict[str, _Borrowed] = field(default_factory=dict)
    lent: dict[str, _Lent] = field(default_factory=dict)
    declined_at: dict[str, float] = field(default_factory=dict)
    asked: dict[str, _Asked] = field(default_factory=dict)
    short_at: float = -math.inf
    is_short: bool = False
    uses: deque[tuple[float, int]] = field(default_factory=deque)
    next_search_at: float = -math.inf
    search_interval_s: float = MIN_SEARCH_INTERVAL_S
    borrowed_before: int = 0

    def borrowed_total(self, now: float) -> int:
        return sum(each.amount for each in self.borrowed.values() if each.is_valid(now))

    def lent_total(self, now: float) -> int:
        return sum(each.total(now) for each in self.lent.values())

    def needed(self, used: int, own: int, now: float) -> int:
        """Return how much of the budget this host needs.

        Parameters
        ----------
        used, own : int
            What it uses, and what it has, now.
        """
        self.uses.append((now, used))
        while now - self.uses[0][0] > USE_TTL_S:
            self.uses.popleft()
        most = max(each for _, each in self.uses)
        needed = math.ceil(RESERVE_FACTOR * most) + 1 if most else 0
        if self.is_short:
            return max(needed, MIN_WANTED, WANTED_FACTOR * own)
        return max(needed, own) if self.is_lately_short(now) else needed

    def is_awaited(self, lender: str, now: float) -> bool:
        """Return whether an answer is on its way; an answer to an earlier request would be void."""
        asked = self.asked.get(lender)
        if asked is None or asked.is_answered:
            return False
        return now - asked.at < ANSWER_TIMEOUT_S

    def plan_next_search(self, now: float) -> None:
        """Search for more loans at longer intervals while the others have nothing to lend."""
        total = self.borrowed_total(now)
        if total > self.borrowed_before:
            self.search_interval_s = MIN_SEARCH_INTERVAL_S
        else:
            self.search_interval_s = min(MAX_SEARCH_INTERVAL_S, 2.0 * self.search_interval_s)
        self.borrowed_before = total
        self.next_search_at = now + self.search_interval_s

    def is_lately_short(self, now: float) -> bool:
        return now - self.short_at < SHORTAGE_TTL_S

    def expire(self, now: float) -> None:
        """Forget what has ended."""
        for host, each in list(self.borrowed.items()):
            if not each.is_valid(now):
                each.amount = 0
            if now - each.asked_at > DEBT_TTL_S:
                del self.borrowed[host]
        self.lent = {host: each for host, each in self.lent.items() if each.total(now) > 0}
        self.declined_at = {
            host: at for host, at in self.declined_at.items() if now - at < DECLINED_DELAY_S
        }

    @property
    def is_unused(self) -> bool:
        return not self.borrowed and not self.lent and not self.declined_at


class ShareLoans:
    """The loans of one host."""

    def __init__(self) -> None:
        self._loans: dict[ShareKey, _KeyLoans] = {}

    def balance(self, key: ShareKey, now: float) -> int:
        """Return what loans add to this host's share, or take off it."""
        loans = self._loans.get(key)
        if loans is None:
            return 0
        return loans.borrowed_total(now) - loans.lent_total(now)

    def totals(self, now: float) -> dict[ShareKey, tuple[int, int]]:
        """Return what this host has borrowed and lent, by budget, without those of no loan."""
        found = {
            key: (loans.borrowed_total(now), loans.lent_total(now))
            for key, loans in self._loans.items()
        }
        return {key: totals for key, totals in found.items() if any(totals)}

    def record_shortage(self, key: ShareKey, now: float) -> None:
        """Record that a request was refused because this host's share was used up."""
        loans = self._loans.setdefault(key, _KeyLoans())
        loans.short_at = now
        loans.is_short = True

    def wanted_keys(self, now: float) -> list[ShareKey]:
        """Return the shares of which this host has loans, or wants some."""
        wanted = []
        for key, loans in list(self._loans.items()):
            loans.expire(now)
            is_short = now - loans.short_at < SHORTAGE_TTL_S
            if loans.is_unused and not is_short:
                del self._loans[key]
            elif loans.borrowed or is_short:
                wanted.append(key)
        return wanted

    def plan_requests(
        self, key: ShareKey, use: ShareUse, most_asked: int, now: float
    ) -> dict[str, Want]:
        """Return whom to ask for a loan now, and for how much.

        Parameters
        ----------
        most_asked : int
            Hosts that may be asked for more than before.
        """
        loans = self._loans[key]
        own = use.share - loans.lent_total(now)
        total = own + loans.borrowed_total(now)
        missing = max(0, loans.needed(use.used, total, now) - own)
        loans.is_short = False
        in_use = max(0, use.used - own)
        wants: dict[str, Want] = {}
        for host, loan in list(loans.borrowed.items()):
            kept = min(loan.amount, missing)
            missing -= kept
            held = max(kept, min(loan.owed, in_use))
            in_use -= min(held, in_use)
            if held == 0 and not loan.is_valid(now):
                del loans.borrowed[host]
                continue
            if loans.is_awaited(host, now):
                continue
            age_s = now - loan.asked_at
            if age_s >= RENEWAL_AGE_S or (held < loan.owed and age_s >= RELEASE_AGE_S):
                wants[host] = Want(held, kept)
                # The lender may use the rest as soon as it learns of it.
                loan.amount, loan.owed = kept, held
        may_search = loans.is_lately_short(now) and now >= loans.next_search_at
        if missing > 0 and may_search:
            has_asked = self._want_more(wants, loans, use.lenders, missing, most_asked, now)
            if has_asked:
                loans.plan_next_search(now)
        if not use.knows_debts:
            wants = {host: Want(MAX_HELD, want.wanted) for host, want in wants.items()}
        for host, want in wants.items():
            loans.asked[host] = _Asked(now, want.wanted)
        return wants

    @staticmethod
    def _want_more(
        wants: dict[str, Want],
        loans: _KeyLoans,
        lenders: Iterable[str],
        missing: int,
        most_asked: int,
        now: float,
    ) -> bool:
        """Divide what is missing among lenders that were asked least lately; False for none."""
        free = [
            host
            for host in lenders
            if host not in loans.declined_at and not loans.is_awaited(host, now)
        ]
        free.sort(key=lambda host: loans.asked[host].at if host in loans.asked else -math.inf)
        asked = free[: min(most_asked, missing)]
        for host in asked:
            loan = loans.borrowed.get(host, _Borrowed(0, 0, 0.0))
            before = wants.get(host, Want(loan.owed, loan.amount))
            wants[host] = Want(before.held, before.wanted + math.ceil(missing / len(asked)))
        return bool(asked)

    def record_answer(
        self, key: ShareKey, lender: str, amount: int, asked_at: float, now: float
    ) -> None:
        """Record what a host lends by the latest request, from whose time the loan counts."""
        loans = self._loans.get(key)
        asked = None if loans is None else loans.asked.get(lender)
        if loans is None or asked is None or asked.at != asked_at:
            return
        asked.is_answered = True
        if amount < asked.wanted:
            loans.declined_at[lender] = now
        loan = loans.borrowed.get(lender)
        owed = amount if loan is None else max(amount, loan.owed)
        if owed > 0:
            loans.borrowed[lender] = _Borrowed(amount, owed, asked_at)
        else:
            loans.borrowed.pop(lender, None)

    def lend(self, key: ShareKey, request: LoanRequest, use: ShareUse, now: float) -> int:
        """Lend another host what this host doesn't need of its share; return how much."""
        loans = self._loans.setdefault(key, _KeyLoans())
        loans.expire(now)
        lent = loans.lent.setdefault(request.borrower, _Lent(request.asked_at))
        if request.asked_at < lent.asked_at:
            # An older request must not release what a later one has got.
            return 0
        lent.asked_at = request.asked_at
        lent.release(request.held)
        others = loans.lent_total(now) - lent.total(now)
        own = use.share - loans.lent_total(now)
        unused = max(0, use.reserved - use.used - others)
        unneeded = max(0, use.reserved - others - loans.needed(use.used, own, now))
        amount = min(request.wanted, unused, unneeded)
        lent.extend(amount, now + LOAN_TTL_S + use.hold_s)
        return amount

    def drop_borrowed(self) -> None:
        """Give up all loans, because the shares are divided anew among other hosts."""
        for loans in self._loans.values():
            loans.asked.clear()
            for loan in loans.borrowed.values():
                loan.amount = 0


def _limit_parts(parts: list[_LentPart], most: int) -> list[_LentPart]:
    """Return parts with a sum of at most ``most``, of which the latest to end stay."""
    limited = []
    for part in sorted(parts, key=lambda each: each.until, reverse=True):
        amount = min(part.amount, most)
        most -= amount
        if amount > 0:
            limited.append(_LentPart(amount, part.until))
    return limited


def _exceeding_parts(parts: list[_LentPart], covered: int) -> list[_LentPart]:
    """Return what parts add up to beyond an amount that ends later than all of them."""
    rests = []
    for part in sorted(parts, key=lambda each: each.until, reverse=True):
        amount = part.amount - covered
        covered = max(0, covered - part.amount)
        if amount > 0:
            rests.append(_LentPart(amount, part.until))
    return rests
