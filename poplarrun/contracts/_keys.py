"""API keys: kept as hashes, compared in constant time."""

import hashlib
import hmac

HASH_PREFIX = "sha256:"


def hash_key(key: str) -> str:
    """Return the form of an API key that a document holds."""
    return HASH_PREFIX + hashlib.sha256(key.encode()).hexdigest()


def matches_key(key: str, stored: str) -> bool:
    """Tell whether a presented key is the one behind a stored hash."""
    return hmac.compare_digest(hash_key(key), stored)
