"""Billing: every request is billed once; peers hold copies of a bill until it is in the log."""

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
