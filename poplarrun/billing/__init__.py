"""Billing: each request once, kept by peers until the log has it."""

from poplarrun.billing._fold import BillFold
from poplarrun.billing._keeper import MAX_BILLS, BillKeeper, KeptBy
from poplarrun.billing._records import SHARDS, Bill, decode_bills, encode_bills, stream_of
from poplarrun.billing._snapshots import BillSnapshots
from poplarrun.billing._statement import Statement, StatementLine, read_statement

__all__ = [
    "MAX_BILLS",
    "SHARDS",
    "Bill",
    "BillFold",
    "BillKeeper",
    "BillSnapshots",
    "KeptBy",
    "Statement",
    "StatementLine",
    "decode_bills",
    "encode_bills",
    "read_statement",
    "stream_of",
]
