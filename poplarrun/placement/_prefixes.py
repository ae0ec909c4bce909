"""Shared beginnings of prompts that an endpoint is known to have read, by their fingerprints."""

from collections import OrderedDict
from dataclasses import dataclass, field

from poplarrun.rendezvous import hash_name
from poplarrun.routing import PromptPart

FINGERPRINT_MASK = 0xFFFF_FFFF


def fingerprint_prefix(size: str, key: str) -> int:
    """Return the 32-bit fingerprint of a model and a part of a prompt, never 0.

    An engine keeps a part only behind all parts before it, so that the last part of a beginning
    identifies all of it.
    """
    return hash_name(f"{size}/{key}") & FINGERPRINT_MASK or 1


def find_shared_prefix(size: str, parts: tuple[PromptPart, ...]) -> int:
    """Return the fingerprint of a prompt's shared beginning; 0 if it shares nothing."""
    return fingerprint_prefix(size, parts[-2].key) if len(parts) > 1 else 0


def list_prefixes(size: str, parts: tuple[PromptPart, ...]) -> tuple[tuple[int, int], ...]:
    """Return fingerprint and length in tokens of each beginning that may be shared, longest first.

    The last part of a prompt is its own.
    """
    prefixes = []
    tokens = 0
    for part in parts[:-1]:
        tokens += part.tokens
        prefixes.append((fingerprint_prefix(size, part.key), tokens))
    return tuple(reversed(prefixes))


@dataclass
class KnownPrefixes:
    """Fingerprints of the beginnings that an endpoint has read, with the time of the latest notice.

    Attributes
    ----------
    max_count : int
        Beginnings that are remembered; the least recently read one is dropped.
    ttl_s : float
        Time for which a beginning is taken to be kept.
    """

    max_count: int
    ttl_s: float
    _read_at: OrderedDict[int, float] = field(default_factory=OrderedDict)

    def record(self, prefix: int, now: float) -> None:
        """Record that a beginning was sent there."""
        self._read_at[prefix] = now
        self._read_at.move_to_end(prefix)
        if len(self._read_at) > self.max_count:
            self._read_at.popitem(last=False)

    def forget(self, prefix: int) -> None:
        """Forget a beginning that is not kept any longer."""
        self._read_at.pop(prefix, None)

    def clear(self) -> None:
        """Forget all beginnings."""
        self._read_at.clear()

    def age_s(self, prefix: int, now: float) -> float | None:
        """Return how long ago a beginning was last sent there; None if it may have been dropped."""
        read_at = self._read_at.get(prefix)
        if read_at is None or now - read_at > self.ttl_s:
            return None
        return now - read_at

    def count_tokens(self, prefixes: tuple[tuple[int, int], ...], now: float) -> int:
        """Return the length in tokens of the longest of some beginnings that is kept."""
        if not self._read_at:
            return 0
        for prefix, tokens in prefixes:
            if self.age_s(prefix, now) is not None:
                return tokens
        return 0
