"""Claims: at most one host sends the call of an idempotency key, by the log's order."""

from poplarrun.claims._answers import KnownOutcome, OutcomeKind, make_ran, read_outcome
from poplarrun.claims._fold import RETENTION_S, ClaimFold
from poplarrun.claims._keeper import ClaimKeeper, Found
from poplarrun.claims._keys import SHARDS, fingerprint_of, issued_at, shard_of, stream_of
from poplarrun.claims._records import (
    Claim,
    ClaimVerdict,
    Holding,
    Lost,
    Outcome,
    Ran,
    Release,
    Result,
    Snapshot,
    Stored,
    Taken,
    Unsettled,
    Voided,
    Won,
    decode_batch,
    encode_batch,
)

__all__ = [
    "RETENTION_S",
    "SHARDS",
    "Claim",
    "ClaimFold",
    "ClaimKeeper",
    "ClaimVerdict",
    "Found",
    "Holding",
    "KnownOutcome",
    "Lost",
    "Outcome",
    "OutcomeKind",
    "Ran",
    "Release",
    "Result",
    "Snapshot",
    "Stored",
    "Taken",
    "Unsettled",
    "Voided",
    "Won",
    "decode_batch",
    "encode_batch",
    "fingerprint_of",
    "issued_at",
    "make_ran",
    "read_outcome",
    "shard_of",
    "stream_of",
]
