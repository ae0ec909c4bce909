"""The records of the configuration stream."""

import msgspec

CONFIG_STREAM = "config"


class Publication(msgspec.Struct, frozen=True, tag="publication"):
    """An operator's document.

    Attributes
    ----------
    id : str
        Unique id; the fold drops repeats of it.
    based_on : int
        Offset of the accepted publication that the operator started from; -1
        for the first.
    operator : str
        Name for the audit.
    published_at : float
        Seconds since the epoch, by the operator's clock; for people only.
    document : str
        The YAML text.
    """

    id: str
    based_on: int
    operator: str
    published_at: float
    document: str


class Withdrawal(msgspec.Struct, frozen=True, tag="withdrawal"):
    """The system's own withdrawal of a version that turned bad.

    It holds until an operator publishes a document that offers another
    version, or the same one again after having withdrawn it.
    """

    id: str
    version: str
    reason: str
    evidence: dict[str, float]


ConfigRecord = Publication | Withdrawal

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[ConfigRecord] = msgspec.json.Decoder(Publication | Withdrawal)


def encode_record(record: ConfigRecord) -> bytes:
    """Return the bytes of a record."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> ConfigRecord | None:
    """Read the bytes of a record; None when they are no configuration record."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
