"""Bills, and the records of the billing streams."""

import hashlib
import sys

import msgspec

# Number of streams. Each host appends its bills to only one of them, so that a batch is a single
# append.
SHARDS = 16


class Bill(msgspec.Struct, frozen=True):
    """The cost of one request to its client account.

    Attributes
    ----------
    id : str
        The request's id.
    account, item : str
        The account that pays, and what it pays for.
    amount : float
        In the account's currency.
    at : float
        Seconds since the epoch.
    is_final : bool
        False for the entry of a running request: the amount that is due if its host dies now. A
        final bill of the same id replaces it.
    """

    id: str
    account: str
    item: str
    amount: float
    at: float = 0.0
    is_final: bool = True


# A bill as encoded in messages and in the log: its fields in order.
BillLine = tuple[str, str, str, float, float, bool]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[BillLine])


def shard_of(host: str) -> int:
    """Return the shard of the bills of a host."""
    return hashlib.blake2b(host.encode(), digest_size=1).digest()[0] % SHARDS


def stream_of(shard: int) -> str:
    """Return the name of a shard's stream."""
    return f"billing-{shard:02d}"


def encode_lines(bills: list[Bill]) -> list[BillLine]:
    """Convert bills to lines."""
    return [(b.id, b.account, b.item, b.amount, b.at, b.is_final) for b in bills]


def decode_lines(lines: list[BillLine]) -> list[Bill]:
    """Convert lines to bills; accounts and items are interned to save memory."""
    return [
        Bill(id_, sys.intern(account), sys.intern(item), amount, at, is_final)
        for id_, account, item, amount, at, is_final in lines
    ]


def encode_bills(bills: list[Bill]) -> bytes:
    """Encode the bills of one append."""
    return _encoder.encode(encode_lines(bills))


def decode_bills(data: bytes) -> list[Bill]:
    """Decode the bills of one append; empty if the bytes are invalid."""
    try:
        return decode_lines(_decoder.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError):
        return []
