"""Gossip messages and their MessagePack encoding."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from poplarrun.hosts._items import Item, Key, NonNegativeInt, VersionVector

SCHEMA = 1
MAX_PAYLOAD_BYTES = 240 * 1024
MAX_ITEMS = 4000

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
HostAddress = Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Za-z.:_-]{1,64}$")]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Requests an ack, which goes to ``requester_address`` if that is set."""

    number: NonNegativeInt
    requester_address: HostAddress | None = None
    requester_number: NonNegativeInt = 0


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Acknowledges a ping."""

    number: NonNegativeInt


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks another host to ping a host that did not answer the sender."""

    number: NonNegativeInt
    address: HostAddress


class Sync(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Carries the sender's versions of all keys with a prefix."""

    prefix: Key
    vector: Annotated[VersionVector, msgspec.Meta(max_length=MAX_ITEMS)]


class SyncReply(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Answers a sync with newer items, and with the keys of which it requests the items."""

    prefix: Key
    keys: Annotated[list[Key], msgspec.Meta(max_length=MAX_ITEMS)]


class Push(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Carries items only."""


class Request(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A request of another component, to be answered by a reply."""

    number: NonNegativeInt
    kind: Key
    payload: Annotated[bytes, msgspec.Meta(max_length=MAX_PAYLOAD_BYTES)]


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The answer; ``is_handled`` is false if there is no handler for such requests."""

    number: NonNegativeInt
    is_handled: bool
    payload: Annotated[bytes, msgspec.Meta(max_length=MAX_PAYLOAD_BYTES)]


Body = Ping | Ack | PingRequest | Sync | SyncReply | Push | Request | Reply


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One message.

    Attributes
    ----------
    schema : int
        Version of the format; messages of other versions are ignored.
    sender, zone, address, incarnation
        Identity of the sender, and the address at which it receives.
    body : Body
        The message proper.
    items : list of Item
        Items gossiped with it.
    """

    schema: int
    sender: Name
    zone: Name
    address: HostAddress
    incarnation: NonNegativeInt
    body: Body
    items: Annotated[list[Item], msgspec.Meta(max_length=MAX_ITEMS)] = []


class _SchemaOnly(msgspec.Struct, frozen=True, array_like=True):
    schema: int


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Bytes that are no message of this schema; ``reason`` is the name of a counter."""

    reason: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)
_schema_decoder = msgspec.msgpack.Decoder(_SchemaOnly)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return a message as bytes."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope | Unreadable:
    """Decode a message; anything malformed is returned as ``Unreadable``, to be counted."""
    try:
        if _schema_decoder.decode(data).schema != SCHEMA:
            return Unreadable("peer_message_of_other_schema")
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return Unreadable("peer_message_malformed")
