"""Decoding of the records of endpoints in the store."""

import re
from typing import Annotated

from msgspec import DecodeError, Meta, Struct, ValidationError
from msgspec.json import Decoder

from poplarrun.placement import EndpointRecord
from poplarrun.platform._validation import MAX_WHOLE_NUMBER, Address, WholeNumber

READY = "ready"
DRAINING = "draining"
MILLISECONDS_PER_S = 1000.0
# Longest name in a record: whole lists are sent between hosts in one message.
MAX_NAME_LENGTH = 255
MAX_WARM_UP_MS = 24 * 3600 * MILLISECONDS_PER_S
# An instance id is sent to its endpoint as the value of a header.
_INSTANCE_ID = re.compile(r"[\x21-\x7e]+")


class _Record(Struct, frozen=True, rename="camel"):
    """The JSON fields of a record.

    They are decoded without conversions between types: a record with a field of another type was
    not written by an endpoint, and none is derived from it. The same holds for values beyond those
    that an endpoint can have.

    Attributes
    ----------
    cold_left_ms : float
        Remaining warm-up time in milliseconds.
    sequence : int
        Number of the record, counted from each start of the endpoint.
    born : int
        When the endpoint started, in milliseconds by its own clock; 0 if it doesn't report that.
    """

    service: Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
    address: Address
    zone: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
    version: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
    slots: Annotated[int, Meta(gt=0, le=MAX_WHOLE_NUMBER)]
    phase: str
    cold_left_ms: Annotated[float, Meta(le=MAX_WARM_UP_MS)] = 0.0
    sequence: WholeNumber = 0
    born: WholeNumber = 0


_DECODER = Decoder(_Record)


def decode_endpoint_record(instance_id: str, value: bytes) -> EndpointRecord | None:
    """Decode an endpoint's record; ``instance_id`` is its key in the store.

    Returns None if the record or the key is malformed, or if its phase is neither ready nor
    draining. A negative warm-up time counts as 0.
    """
    if _INSTANCE_ID.fullmatch(instance_id) is None:
        return None
    try:
        record = _DECODER.decode(value)
    # Deeply nested JSON exceeds the decoder's recursion limit.
    except (ValidationError, DecodeError, UnicodeDecodeError, RecursionError):
        return None
    if record.phase not in (READY, DRAINING):
        return None
    return EndpointRecord(
        instance_id=instance_id,
        service=record.service,
        address=record.address,
        zone=record.zone,
        version=record.version,
        slots=record.slots,
        is_leaving=record.phase == DRAINING,
        warm_up_s=max(0.0, record.cold_left_ms) / MILLISECONDS_PER_S,
        started_ms=record.born,
        sequence=record.sequence,
    )
