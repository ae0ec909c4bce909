"""Billing: each request once, kept by peers until the log has it."""

from poplarrun.billing._fold import BillFold, Statement, StatementLine, read_statement
from poplarrun.billing._keeper import MAX_BILLS, BillKeeper, KeptBy
from poplarrun.billing._records import SHARDS, Bill, decode_bills, encode_bills, stream_of

__all__ = [
    "MAX_BILLS",
    "SHARDS",
    "Bill",
    "BillFold",
    "BillKeeper",
    "KeptBy",
    "Statement",
    "StatementLine",
    "decode_bills",
    "encode_bills",
    "read_statement",
    "stream_of",
]
