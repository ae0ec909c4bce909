"""Loans of requests, tokens and shares between hosts."""

from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from poplarrun.hosts import Peers, PeerSilent
from poplarrun.limits._reports import LimitKind

LOAN_MESSAGE = "limits.loan"
HAND_OVER_MESSAGE = "limits.hand_over"
ASK_TIMEOUT_S = 0.5
# A host borrows when its bucket is below this fraction of its capacity.
LOW_LEVEL_FRACTION = 0.5
# A lender gives at most this fraction of what it has, so that it doesn't run short next.
MAX_LENT_FRACTION = 0.5


# A negative amount would take from the host that it is requested from or given to.
Amount = Annotated[float, msgspec.Meta(ge=0.0)]


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """An amount of an account's limits, requested or granted.

    Attributes
    ----------
    account : str
        The client account.
    requests, tokens : float
        Requests and tokens that pass from one host to another.
    shares : dict of LimitKind to float
        Fractions of the limits that pass permanently, by kind. Only between hosts of one zone: the
        zone's sum stays as the other zones know it, so nobody else takes a share that is in
        transit, even during a network partition.
    """

    account: str
    requests: Amount
    tokens: Amount
    shares: dict[LimitKind, Amount] = {}


encode_loan = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Loan)


def decode_loan(payload: bytes) -> Loan | None:
    """Decode a loan; None if the bytes are invalid."""
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError:
        return None


@dataclass
class LoanClient:
    """Requests loans from one host after another, one at a time for each account.

    A loan moves what is already allowed: the lender subtracts it before the borrower adds it, so
    all hosts together never admit more. If the answer is lost, so is the amount, and less than the
    limit is used.
    """

    peers: Peers
    _pending: set[str] = field(default_factory=set)
    _next_index: int = 0

    def can_borrow(self, account: str) -> bool:
        """Tell whether no loan of the account is pending and there is a lender."""
        return account not in self._pending and len(self.peers.live()) > 1

    async def borrow(self, request: Loan) -> Loan | None:
        """Return what one other host granted; None if there is none or it doesn't answer."""
        lender = self._next_lender()
        if lender is None or request.account in self._pending:
            return None
        self._pending.add(request.account)
        try:
            payload = encode_loan(request)
            answer = await self.peers.ask(lender, LOAN_MESSAGE, payload, ASK_TIMEOUT_S)
        finally:
            self._pending.discard(request.account)
        return None if isinstance(answer, PeerSilent) else decode_loan(answer)

    def _next_lender(self) -> str | None:
        """Return the next lender, round robin with the own zone's hosts first."""
        me = self.peers.me
        others = [peer for peer in self.peers.live() if peer.name != me.name]
        others.sort(key=lambda peer: (peer.zone != me.zone, peer.name))
        if not others:
            return None
        self._next_index += 1
        return others[self._next_index % len(others)].name
