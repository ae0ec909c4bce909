"""Leases for jobs that one host does at a time, decided by records of the log."""

from poplarrun.leases._manager import Lease, LeaseManager
from poplarrun.leases._records import (
    LEASE_STREAM,
    MAX_LEASE_DURATION_S,
    Acquire,
    Applied,
    JobState,
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
    "MAX_LEASE_DURATION_S",
    "Acquire",
    "Applied",
    "JobState",
    "Lease",
    "LeaseManager",
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
