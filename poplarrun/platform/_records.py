"""Records of endpoints in the store, validated and turned into listings."""

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic.alias_generators import to_camel

from poplarrun.placement import Listing

READY = "ready"
DRAINING = "draining"
MILLISECONDS = 1000.0


class _Record(BaseModel):
    # Strict: a field of another type marks a record of another writer, which names
    # no endpoint to use.
    model_config = ConfigDict(extra="ignore", frozen=True, alias_generator=to_camel, strict=True)

    service: str = Field(min_length=1)
    address: str = Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
    zone: str
    version: str
    slots: int = Field(gt=0)
    phase: str
    cold_left_ms: float = 0.0
    sequence: int = 0
    born: int = 0


def decode_listing(lifetime: str, value: bytes) -> Listing | None:
    """Decode an endpoint's record; None where it isn't one."""
    try:
        record = _Record.model_validate_json(value)
    except ValidationError:
        return None
    if record.phase not in (READY, DRAINING):
        return None
    return Listing(
        lifetime=lifetime,
        service=record.service,
        address=record.address,
        zone=record.zone,
        version=record.version,
        places=record.slots,
        is_leaving=record.phase == DRAINING,
        cold_s=max(0.0, record.cold_left_ms) / MILLISECONDS,
        started_ms=record.born,
        sequence=record.sequence,
    )
