"""Claims of idempotency keys: at most one host sends the call of a key, as ordered by the log."""

from poplarrun.claims._fold import RETENTION_S, ClaimFold
from poplarrun.claims._keys import SHARDS, compute_fingerprint, issued_at, shard_of, stream_of
from poplarrun.claims._manager import ClaimManager, KeyLookup
from poplarrun.claims._outcomes import KnownOutcome, OutcomeKind, derive_outcome, make_ran_result
from poplarrun.claims._records import (
    Claim,
    ClaimVerdict,
    KeyState,
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
    "ClaimManager",
    "ClaimVerdict",
    "KeyLookup",
    "KeyState",
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
    "compute_fingerprint",
    "decode_batch",
    "derive_outcome",
    "encode_batch",
    "issued_at",
    "make_ran_result",
    "shard_of",
    "stream_of",
]
