"""Bills, and the records of the billing streams."""

import hashlib
import sys

import msgspec

# Each host appends its bills to one of these, so a batch is one append.
SHARDS = 16


class Bill(msgspec.Struct, frozen=True):
    """What one request costs its client account, once.

    Attributes
    ----------
    id : str
        The request's id.
    account, item : str
        Who pays, and for what.
    amount : float
        In account currency.
    at : float
        Seconds since the epoch.
    is_final : bool
        False for the entry of a request that still runs: what is due if its
        host dies now. A final bill of the same id replaces it.
    """

    id: str
    account: str
    item: str
    amount: float
    at: float = 0.0
    is_final: bool = True


# The form of a bill on the wire and in the log: its fields in order.
BillLine = tuple[str, str, str, float, float, bool]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[BillLine])


def shard_of(host: str) -> int:
    """Return the shard that the bills of a host go to."""
    return hashlib.blake2b(host.encode(), digest_size=1).digest()[0] % SHARDS


def stream_of(shard: int) -> str:
    """Return the name of a shard's stream."""
    return f"billing-{shard:02d}"


def encode_lines(bills: list[Bill]) -> list[BillLine]:
    """Return the lines of bills."""
    return [(b.id, b.account, b.item, b.amount, b.at, b.is_final) for b in bills]


def decode_lines(lines: list[BillLine]) -> list[Bill]:
    """Return the bills of lines; one copy of each account and item is kept."""
    return [
        Bill(id_, sys.intern(account), sys.intern(item), amount, at, is_final)
        for id_, account, item, amount, at, is_final in lines
    ]


def encode_bills(bills: list[Bill]) -> bytes:
    """Return the bytes of one append."""
    return _encoder.encode(encode_lines(bills))


def decode_bills(data: bytes) -> list[Bill]:
    """Read the bills of one append; none when the bytes are no batch."""
    try:
        return decode_lines(_decoder.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError):
        return []
