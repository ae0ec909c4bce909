"""Messages by which hosts lend each other shares of endpoints' budgets."""

from typing import Annotated

import msgspec

# A negative amount would take from the host that it is asked for or lent to.
Amount = Annotated[int, msgspec.Meta(ge=0)]


class ShareWant(msgspec.Struct, frozen=True, array_like=True):
    """What the sender wants to have of the receiver's share of an endpoint's budget.

    Attributes
    ----------
    kind : int
        ``ShareKind`` of the budget.
    held : int
        The sender has given back whatever it had of the receiver beyond this.
    wanted : int
        What it wants to have from now on.
    """

    kind: int
    instance_id: str
    held: Amount
    wanted: Amount


class LoanAsk(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Asks a host to lend shares, or to take them back.

    Attributes
    ----------
    stamp : float
        The sender's clock.
    """

    address: str
    stamp: float
    wants: list[ShareWant]


class LentShare(msgspec.Struct, frozen=True, array_like=True):
    """What the sender lends of its share of an endpoint's budget."""

    kind: int
    instance_id: str
    amount: Amount


class LoanAnswer(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Answers a ``LoanAsk``, whose stamp it echoes."""

    address: str
    stamp: float
    lent: list[LentShare]
