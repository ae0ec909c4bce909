"""Exchange of loans: which hosts lend others the shares that they don't use."""

from collections.abc import Mapping

from poplarrun.dispatch import ConfigView
from poplarrun.logging import events, write_event
from poplarrun.peers import LentShare, LoanAnswer, LoanAsk, ShareWant
from poplarrun.placement import Placement
from poplarrun.routing import Service
from poplarrun.shares import LoanRequest, ShareKey, ShareKind

# Hosts that one host asks for loans in one round, beside those that lend it something already.
MAX_ASKED = 24


class ShareLoanExchange:
    """Asks peers for loans where callers want more than this host's shares, and answers others."""

    def __init__(self, address: str, placement: Placement, config_view: ConfigView) -> None:
        self._address = address
        self._placement = placement
        self._loans = placement.shares.loans
        self._config_view = config_view
        self._roles: dict[ShareKey, tuple[bool, bool]] = {}

    def plan_asks(self, now: float) -> dict[str, LoanAsk]:
        """Return the messages to send now, by the lender's address."""
        wants: dict[str, list[ShareWant]] = {}
        for key in self._loans.wanted_keys(now):
            use = self._placement.find_share_use(key, self._services, now)
            if use is None:
                continue
            most_asked = max(1, MAX_ASKED - len(wants))
            planned = self._loans.plan_requests(key, use, most_asked, now)
            for lender, (held, wanted) in planned.items():
                want = ShareWant(key.kind, key.instance_id, held, wanted)
                wants.setdefault(lender, []).append(want)
        self._log_changes(now)
        return {lender: LoanAsk(self._address, now, each) for lender, each in wants.items()}

    def _log_changes(self, now: float) -> None:
        """Log where this host begins or ends to borrow or to lend."""
        totals = self._loans.totals(now)
        roles = {key: (borrowed > 0, lent > 0) for key, (borrowed, lent) in totals.items()}
        for key in roles.keys() | self._roles.keys():
            if roles.get(key) != self._roles.get(key):
                borrowed, lent = totals.get(key, (0, 0))
                kind = key.kind.name.lower()
                write_event(events.ShareLoansChanged(key.instance_id, kind, borrowed, lent))
        self._roles = roles

    def answer(self, ask: LoanAsk, now: float) -> LoanAnswer:
        """Lend what this host doesn't need of what a peer wants."""
        lent = [
            LentShare(want.kind, want.instance_id, self._lend(ask, want, now)) for want in ask.wants
        ]
        return LoanAnswer(self._address, ask.stamp, lent)

    def _lend(self, ask: LoanAsk, want: ShareWant, now: float) -> int:
        key = _decode_key(want.kind, want.instance_id)
        use = None if key is None else self._placement.find_share_use(key, self._services, now)
        if key is None or use is None:
            return 0
        request = LoanRequest(ask.address, ask.stamp, want.held, want.wanted)
        return self._loans.lend(key, request, use, now)

    def apply_answer(self, answer: LoanAnswer, now: float) -> None:
        """Apply what a peer lends to this host."""
        for each in answer.lent:
            key = _decode_key(each.kind, each.instance_id)
            if key is not None:
                self._loans.record_answer(key, answer.address, each.amount, answer.stamp, now)

    @property
    def _services(self) -> Mapping[str, Service]:
        catalogue = self._config_view.catalogue
        return {} if catalogue is None else catalogue.services


def _decode_key(kind: int, instance_id: str) -> ShareKey | None:
    """Return the budget that a message names; None for a kind that this host doesn't know."""
    try:
        return ShareKey(ShareKind(kind), instance_id)
    except ValueError:
        return None
