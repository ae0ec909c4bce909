"""Messages between hosts, as bytes."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from poplarrun.hosts._items import Item, Key, Number, Vector

SCHEMA = 1
PAYLOAD_BYTES = 240 * 1024
MAX_ITEMS = 4000

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
HostAddress = Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Za-z.:_-]{1,64}$")]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks a host whether it lives; ``for_address`` gets the answer, if set."""

    number: Number
    for_address: HostAddress | None = None
    for_number: Number = 0


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a ping."""

    number: Number


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks another host to ping one that did not answer."""

    number: Number
    address: HostAddress


class Sync(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Tells which versions the sender holds of all keys with a prefix."""

    prefix: Key
    vector: Annotated[Vector, msgspec.Meta(max_length=MAX_ITEMS)]


class Wants(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Answers a sync: the items ride beside it, the keys are asked back."""

    prefix: Key
    keys: Annotated[list[Key], msgspec.Meta(max_length=MAX_ITEMS)]


class Carry(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Carries items and nothing else."""


class Request(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A message of another part, to be answered."""

    number: Number
    kind: Key
    payload: Annotated[bytes, msgspec.Meta(max_length=PAYLOAD_BYTES)]


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The answer; ``served`` is false when no part answers such messages."""

    number: Number
    served: bool
    payload: Annotated[bytes, msgspec.Meta(max_length=PAYLOAD_BYTES)]


Body = Ping | Ack | PingRequest | Sync | Wants | Carry | Request | Reply


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One message.

    Attributes
    ----------
    schema : int
        Version of this form; another one is not read.
    sender, zone, address, incarnation
        Who sends it, and where it receives.
    body : Body
        What it says.
    items : list of Item
        News that rides along.
    """

    schema: int
    sender: Name
    zone: Name
    address: HostAddress
    incarnation: Number
    body: Body
    items: Annotated[list[Item], msgspec.Meta(max_length=MAX_ITEMS)] = []


class _SchemaOnly(msgspec.Struct, frozen=True, array_like=True):
    schema: int


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Bytes that are no message of this schema; ``reason`` names a counter."""

    reason: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)
_schema_decoder = msgspec.msgpack.Decoder(_SchemaOnly)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope | Unreadable:
    """Read a message; anything unexpected has no effect but a counter."""
    try:
        if _schema_decoder.decode(data).schema != SCHEMA:
            return Unreadable("peer_message_of_other_schema")
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return Unreadable("peer_message_malformed")
