"""Billing: each request once, kept by peers until the log has it."""

from poplarrun.billing._fold import BillFold
from poplarrun.billing._records import SHARDS, Bill, decode_bills, encode_bills, stream_of
from poplarrun.billing._replicator import MAX_BILLS, BillDurability, BillReplicator
from poplarrun.billing._snapshots import BillSnapshots
from poplarrun.billing._statement import Statement, StatementLine, read_statement

__all__ = [
    "MAX_BILLS",
    "SHARDS",
    "Bill",
    "BillDurability",
    "BillFold",
    "BillReplicator",
    "BillSnapshots",
    "Statement",
    "StatementLine",
    "decode_bills",
    "encode_bills",
    "read_statement",
    "stream_of",
]
