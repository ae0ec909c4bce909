"""Loans: a host that runs short borrows what another one has left over."""

from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from poplarrun.hosts import Peers, PeerSilent
from poplarrun.limits._reports import LimitKind

LOAN_MESSAGE = "limits.loan"
HAND_OVER_MESSAGE = "limits.hand_over"
ASK_TIMEOUT_S = 0.5
# A host borrows when less than this is left of what it may keep.
LOW_LEVEL_FRACTION = 0.5
# A lender gives at most this of what it has, so that it doesn't run short next.
MAX_LENT_FRACTION = 0.5


# A negative amount would take from the host that it is asked of or given to.
Amount = Annotated[float, msgspec.Meta(ge=0.0)]


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """An amount of an account's limits, asked for or given.

    Attributes
    ----------
    account : str
        The client account.
    requests, tokens : float
        What passes from one host to another.
    parts : dict of LimitKind to float
        Parts of the limits, by kind, that pass for good. Only between hosts of
        one zone: the zone's sum stays as the other zones know it, so nobody
        else takes what is under way, whatever is cut.
    """

    account: str
    requests: Amount
    tokens: Amount
    shares: dict[LimitKind, Amount] = {}


encode_loan = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Loan)


def decode_loan(payload: bytes) -> Loan | None:
    """Read a loan; None when the bytes are none."""
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError:
        return None


@dataclass
class LoanClient:
    """Asks one host after the other for loans, one loan an account at a time.

    A loan moves what is already allowed: the lender takes it off before the
    borrower adds it, so all hosts together never allow more. An answer that
    gets lost loses the amount, which errs on the limit's side.
    """

    peers: Peers
    _pending: set[str] = field(default_factory=set)
    _next_index: int = 0

    def can_borrow(self, account: str) -> bool:
        """Tell whether a loan may be asked for: no other is under way, and there is a lender."""
        return account not in self._pending and len(self.peers.live()) > 1

    async def borrow(self, wanted: Loan) -> Loan | None:
        """Return what one other host gave; None when there is none or it is silent."""
        lender = self._next_lender()
        if lender is None or wanted.account in self._pending:
            return None
        self._pending.add(wanted.account)
        try:
            payload = encode_loan(wanted)
            answer = await self.peers.ask(lender, LOAN_MESSAGE, payload, ASK_TIMEOUT_S)
        finally:
            self._pending.discard(wanted.account)
        return None if isinstance(answer, PeerSilent) else decode_loan(answer)

    def _next_lender(self) -> str | None:
        """Take turns, the own zone's hosts first."""
        me = self.peers.me
        others = [peer for peer in self.peers.live() if peer.name != me.name]
        others.sort(key=lambda peer: (peer.zone != me.zone, peer.name))
        if not others:
            return None
        self._next_index += 1
        return others[self._next_index % len(others)].name
