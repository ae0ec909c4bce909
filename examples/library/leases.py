"""A job's lease passes from a1 to b1; a1 resumes, tries to renew it, and is rejected."""

from poplarrun.leases import (
    LEASE_STREAM,
    Acquire,
    LeaseRecord,
    LeaseTable,
    Renew,
    encode_lease_record,
    fold_lease_entry,
)
from poplarrun.log import MemoryLog, StreamReader

JOB = "steward"


def main() -> None:
    """Append both hosts' lease records, fold them, and print the lease holder."""
    log = MemoryLog()
    records: list[LeaseRecord] = [
        Acquire("r1", JOB, "a1/1", 5.0, over=-1),
        Acquire("r2", JOB, "b1/1", 5.0, over=0),
        Renew("r3", JOB, "a1/1", over=0),
    ]
    for record in records:
        log.append(LEASE_STREAM, encode_lease_record(record))
    table = LeaseTable()
    for entry in StreamReader(log, LEASE_STREAM).read_new():
        table, verdict = fold_lease_entry(table, entry)
        print(entry.offset, verdict)
    lease = table.jobs[JOB]
    print(f"{lease.holder} holds the job with fencing number {lease.fence}")


if __name__ == "__main__":
    main()
