"""A job moves from a1 to b1; a1 resumes, renews, and finds its lease gone."""

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
    """Append the records of both hosts, fold, and show who holds the job."""
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
    held = table.jobs[JOB]
    print(f"{held.holder} holds the job with fencing number {held.fence}")


if __name__ == "__main__":
    main()
