"""Configuration: publications in the log and the fold that accepts them."""

from poplarrun.config._fold import (
    Accepted,
    Configuration,
    Conflict,
    Ignored,
    Invalid,
    Verdict,
    fold_entry,
)
from poplarrun.config._publications import (
    CONFIG_STREAM,
    ConfigRecord,
    Publication,
    Withdrawal,
    decode_record,
    encode_record,
)

__all__ = [
    "CONFIG_STREAM",
    "Accepted",
    "ConfigRecord",
    "Configuration",
    "Conflict",
    "Ignored",
    "Invalid",
    "Publication",
    "Verdict",
    "Withdrawal",
    "decode_record",
    "encode_record",
    "fold_entry",
]
