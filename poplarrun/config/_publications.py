"""The records of the configuration stream."""

import msgspec

CONFIG_STREAM = "config"
# Value of ``based_on`` for a publication that replaces any configuration in force, for use when
# the log has lost every record and every snapshot of the configuration.
BASED_ON_ANYTHING = -2


class Publication(msgspec.Struct, frozen=True, tag="publication"):
    """An operator's publication of a document.

    Attributes
    ----------
    id : str
        Unique id; the fold ignores repeated records with it.
    based_on : int
        Offset of the accepted publication that the operator started from; -1
        for the first.
    operator : str
        Name of the operator, for audits.
    published_at : float
        Seconds since the epoch, by the operator's clock; informational.
    document : str
        The YAML text.
    """

    id: str
    based_on: int
    operator: str
    published_at: float
    document: str


class Withdrawal(msgspec.Struct, frozen=True, tag="withdrawal"):
    """The system's own withdrawal of a version that has become bad.

    It holds until an operator publishes a document that doesn't offer the version. Offered again
    after that, the version is no longer withdrawn.
    """

    id: str
    version: str
    reason: str
    evidence: dict[str, float]


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """The whole state of the fold, written again before retention drops its records.

    It is applied only where it directly follows ``read_to``, because a record between the two
    would be missing from the state.

    Attributes
    ----------
    offset, read_to : int
        As in the state of the fold.
    published_at : float
        Seconds since the epoch, by the writer's clock; the next one is due an interval later.
    publication : bytes
        The accepted publication's record, byte for byte as in the log.
    state : bytes
        The remaining fields of the state, encoded.
    """

    id: str
    offset: int
    read_to: int
    published_at: float
    publication: bytes
    state: bytes


class Filler(msgspec.Struct, frozen=True, tag="filler"):
    """A record without content, which advances the end of a log that was restored from a backup."""

    id: str


ConfigRecord = Publication | Withdrawal | Snapshot | Filler

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[ConfigRecord] = msgspec.json.Decoder(ConfigRecord)


def encode_record(record: ConfigRecord) -> bytes:
    """Return the encoded record."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> ConfigRecord | None:
    """Decode a record; None when the bytes are no configuration record."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
