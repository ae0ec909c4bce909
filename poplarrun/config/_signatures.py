"""Signatures of records, so that only holders of an operator key change the configuration."""

import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from poplarrun.config._publications import ConfigRecord, Publication, decode_record, encode_record

# The name of the key that signs the hosts' own records.
SYSTEM_KEY_NAME = "system"


class _Signed(msgspec.Struct, frozen=True, tag="signed"):
    """An encoded record and the operator's signature of its bytes."""

    operator: str
    signature: str
    record: bytes


@dataclass(frozen=True, slots=True)
class OperatorKeys:
    """The secret keys of the operators by name; a name has several during key rotation.

    Without any key every record is accepted, which suits a network that only operators and
    hosts can reach.
    """

    keys: Mapping[str, tuple[bytes, ...]] = field(default_factory=dict)

    @property
    def are_required(self) -> bool:
        """Whether records must be signed."""
        return bool(self.keys)


NO_KEYS = OperatorKeys()


@dataclass(frozen=True, slots=True)
class Unsigned:
    """A record without a valid signature of a known key; it has no effect."""

    reason: str


_decoder = msgspec.json.Decoder(_Signed)


def sign_record(record: ConfigRecord, operator: str, key: bytes) -> bytes:
    """Return the encoded record with its operator's signature."""
    data = encode_record(record)
    return msgspec.json.encode(_Signed(operator, _sign(operator, data, key), data))


def sign_system_record(record: ConfigRecord, keys: OperatorKeys) -> bytes:
    """Return an encoded record of the hosts themselves, signed if keys are in use."""
    system = keys.keys.get(SYSTEM_KEY_NAME)
    return encode_record(record) if not system else sign_record(record, SYSTEM_KEY_NAME, system[0])


def decode_signed_record(
    data: bytes, keys: OperatorKeys = NO_KEYS
) -> ConfigRecord | Unsigned | None:
    """Decode a signed or unsigned record; None when the bytes are no record.

    All hosts must have the same keys: a new key must be on every host before anyone signs with
    it. A host without it refuses the record, and ``status`` shows its zone at a lower offset.
    """
    try:
        signed = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        record = decode_record(data)
        return (
            Unsigned("record is not signed") if record is not None and keys.are_required else record
        )
    if keys.are_required and not _has_valid_signature(signed, keys):
        return Unsigned(f"the signature of {signed.operator[:64]!r} is not valid")
    record = decode_record(signed.record)
    if isinstance(record, Publication) and record.operator != signed.operator:
        return Unsigned("record and signature name different operators")
    return record


def _has_valid_signature(signed: _Signed, keys: OperatorKeys) -> bool:
    known = keys.keys.get(signed.operator, ())
    presented = signed.signature.encode()
    expected = [_sign(signed.operator, signed.record, key).encode() for key in known]
    # Every key is compared in constant time, so that the duration doesn't reveal how much of a
    # forged signature was right.
    return sum([hmac.compare_digest(presented, one) for one in expected]) > 0


def _sign(operator: str, data: bytes, key: bytes) -> str:
    return hmac.new(key, operator.encode() + b"\0" + data, hashlib.sha256).hexdigest()
