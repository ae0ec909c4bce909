"""The records of the configuration stream."""

import msgspec

CONFIG_STREAM = "config"
# ``based_on`` of a publication that replaces whatever is in force: for a log
# that lost every record and every snapshot of the configuration.
BASED_ON_ANYTHING = -2


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


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """The whole state of the fold, re-published before retention drops its records.

    It counts only where it directly follows ``read_to``: a record that came
    between would be missing from the state.

    Attributes
    ----------
    offset, read_to : int
        As in the state of the fold.
    published_at : float
        Seconds since the epoch, by the writer's clock; paces the next one.
    publication : bytes
        The accepted publication's record as it stood in the log.
    state : bytes
        The rest of the state.
    """

    id: str
    offset: int
    read_to: int
    published_at: float
    publication: bytes
    state: bytes


class Filler(msgspec.Struct, frozen=True, tag="filler"):
    """Means nothing; brings a log that was restored at a lower offset forward."""

    id: str


ConfigRecord = Publication | Withdrawal | Snapshot | Filler

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[ConfigRecord] = msgspec.json.Decoder(ConfigRecord)


def encode_record(record: ConfigRecord) -> bytes:
    """Return the bytes of a record."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> ConfigRecord | None:
    """Read the bytes of a record; None when they are no configuration record."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
