"""Idempotency keys: their shard, age, and the fingerprint of the operation."""

import hashlib
import uuid

SHARDS = 32
FINGERPRINT_BYTES = 16
TIMESTAMPED_UUID_VERSION = 7
UUID_TIME_SHIFT_BITS = 80
MILLISECONDS_PER_SECOND = 1000


def shard_of(account: str, key: str) -> int:
    """Return the shard whose stream decides the claims of a key."""
    digest = hashlib.blake2b(f"{account}\0{key}".encode(), digest_size=4).digest()
    return int.from_bytes(digest) % SHARDS


def stream_of(shard: int) -> str:
    """Return the name of a shard's stream."""
    return f"claims-{shard:02d}"


def compute_fingerprint(service: str, operation: str, body: bytes) -> bytes:
    """Return a digest that distinguishes calls under the same key."""
    digest = hashlib.blake2b(f"{service}/{operation}\0".encode(), digest_size=FINGERPRINT_BYTES)
    digest.update(body)
    return digest.digest()


def issued_at(key: str) -> float | None:
    """Return when a key was created, in seconds since the epoch; None if it doesn't tell.

    A UUID of version 7 contains its time, so such a key is recognized as expired for ever. Any
    other key can be distinguished from a new one only while its records are kept.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != TIMESTAMPED_UUID_VERSION:
        return None
    return (parsed.int >> UUID_TIME_SHIFT_BITS) / MILLISECONDS_PER_SECOND
