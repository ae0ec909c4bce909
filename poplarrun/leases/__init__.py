"""Leases for jobs that one host does at a time, from records of the log."""

from poplarrun.leases._keeper import Lease, LeaseKeeper
from poplarrun.leases._records import (
    LEASE_STREAM,
    LONGEST_LEASE_S,
    Acquire,
    Counted,
    Held,
    LeaseRecord,
    LeaseSnapshot,
    LeaseTable,
    Release,
    Renew,
    Void,
    decode_lease_record,
    encode_lease_record,
    fold_lease_entry,
    fold_lease_gap,
)

__all__ = [
    "LEASE_STREAM",
    "LONGEST_LEASE_S",
    "Acquire",
    "Counted",
    "Held",
    "Lease",
    "LeaseKeeper",
    "LeaseRecord",
    "LeaseSnapshot",
    "LeaseTable",
    "Release",
    "Renew",
    "Void",
    "decode_lease_record",
    "encode_lease_record",
    "fold_lease_entry",
    "fold_lease_gap",
]
