"""Signed records: only holders of an operator key change the configuration."""

import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from poplarrun.config._publications import ConfigRecord, Publication, decode_record, encode_record

# The key under which the hosts' own records are signed.
SYSTEM_KEY_NAME = "system"


class _Signed(msgspec.Struct, frozen=True, tag="signed"):
    """A record and the operator's signature of its bytes."""

    operator: str
    signature: str
    record: bytes


@dataclass(frozen=True, slots=True)
class OperatorKeys:
    """The secret keys of the operators, by name; several of one name while they rotate.

    Without any key every record counts, as on a network that only operators
    and hosts reach.
    """

    keys: Mapping[str, tuple[bytes, ...]] = field(default_factory=dict)

    @property
    def are_required(self) -> bool:
        """Whether records must be signed."""
        return bool(self.keys)


NO_KEYS = OperatorKeys()


@dataclass(frozen=True, slots=True)
class Unsigned:
    """A record that no known key signs; it has no effect."""

    reason: str


_decoder = msgspec.json.Decoder(_Signed)


def sign_record(record: ConfigRecord, operator: str, key: bytes) -> bytes:
    """Return the bytes of a record with its operator's signature."""
    data = encode_record(record)
    return msgspec.json.encode(_Signed(operator, _sign(operator, data, key), data))


def sign_system_record(record: ConfigRecord, keys: OperatorKeys) -> bytes:
    """Return the bytes of a record of the hosts themselves, signed if keys are in use."""
    system = keys.keys.get(SYSTEM_KEY_NAME)
    return encode_record(record) if not system else sign_record(record, SYSTEM_KEY_NAME, system[0])


def decode_signed_record(
    data: bytes, keys: OperatorKeys = NO_KEYS
) -> ConfigRecord | Unsigned | None:
    """Read a record, signed or not; None when the bytes are none.

    Hosts must hold the same keys: a new key goes to every host before anyone
    signs with it. One that lacks it refuses the record, and ``status`` shows
    its zone at a lower offset.
    """
    try:
        signed = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        record = decode_record(data)
        return Unsigned("no signature") if record is not None and keys.are_required else record
    if keys.are_required and not _is_genuine(signed, keys):
        return Unsigned(f"the signature of {signed.operator[:64]!r} does not fit")
    record = decode_record(signed.record)
    if isinstance(record, Publication) and record.operator != signed.operator:
        return Unsigned("the record names another operator than its signature")
    return record


def _is_genuine(signed: _Signed, keys: OperatorKeys) -> bool:
    known = keys.keys.get(signed.operator, ())
    given = signed.signature.encode()
    expected = [_sign(signed.operator, signed.record, key).encode() for key in known]
    # Compare with every key in constant time, so that the time taken tells
    # nothing of how much of a forged signature was right.
    return sum([hmac.compare_digest(given, one) for one in expected]) > 0


def _sign(operator: str, data: bytes, key: bytes) -> str:
    return hmac.new(key, operator.encode() + b"\0" + data, hashlib.sha256).hexdigest()
