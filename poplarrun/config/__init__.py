"""Configuration: its records in the log, the fold that accepts them, and the follower."""

from poplarrun.config._fold import (
    Accepted,
    Conflict,
    Ignored,
    Invalid,
    Refused,
    Verdict,
    apply_snapshot,
    fold_entry,
    fold_gap,
)
from poplarrun.config._follower import ConfigFollower
from poplarrun.config._publications import (
    BASED_ON_ANYTHING,
    CONFIG_STREAM,
    ConfigRecord,
    Filler,
    Publication,
    Snapshot,
    Withdrawal,
    decode_record,
    encode_record,
)
from poplarrun.config._reading import FoldedStream, fold_stream
from poplarrun.config._signatures import (
    NO_KEYS,
    SYSTEM_KEY_NAME,
    OperatorKeys,
    Unsigned,
    decode_signed_record,
    sign_record,
    sign_system_record,
)
from poplarrun.config._snapshots import make_snapshot, read_snapshot
from poplarrun.config._state import Configuration

__all__ = [
    "BASED_ON_ANYTHING",
    "CONFIG_STREAM",
    "NO_KEYS",
    "SYSTEM_KEY_NAME",
    "Accepted",
    "ConfigFollower",
    "ConfigRecord",
    "Configuration",
    "Conflict",
    "Filler",
    "FoldedStream",
    "Ignored",
    "Invalid",
    "OperatorKeys",
    "Publication",
    "Refused",
    "Snapshot",
    "Unsigned",
    "Verdict",
    "Withdrawal",
    "apply_snapshot",
    "decode_record",
    "decode_signed_record",
    "encode_record",
    "fold_entry",
    "fold_gap",
    "fold_stream",
    "make_snapshot",
    "read_snapshot",
    "sign_record",
    "sign_system_record",
]
