"""API keys, which are stored as hashes and compared in constant time."""

import hashlib
import hmac

HASH_PREFIX = "sha256:"


def hash_key(key: str) -> str:
    """Return the hash of an API key in the form that documents contain."""
    return HASH_PREFIX + hashlib.sha256(key.encode()).hexdigest()


def matches_key(key: str, stored: str) -> bool:
    """Tell whether a presented key has the stored hash."""
    return hmac.compare_digest(hash_key(key), stored)
