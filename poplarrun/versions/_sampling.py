"""Selects the answers to rate: the most informative ones, at a bounded rate."""

import math
import random
from dataclasses import dataclass

from poplarrun.versions._cells import Estimate, Standing
from poplarrun.versions._evidence import CellKey

# Probability of rating an answer of a version whose quality is known; it adds little.
SETTLED_PROBABILITY = 0.05
# Number of ratings of a version up to which each further one is informative.
INFORMATIVE_RATINGS = 150.0
# Log capital at which a version is suspected of having become bad.
SUSPICION_LOG_CAPITAL = 1.5
CASCADE_REASON = "cascade"
# All hosts together rate each version in each class at least this often. With few requests,
# the probability alone would give no rating for a long time, in which a version that becomes
# bad reaches callers.
MIN_RATINGS_PER_S = 1.0
MAX_RATINGS_PER_S = 4.0
BURST_RATINGS = 60.0


@dataclass(frozen=True, slots=True)
class SampledAnswer:
    """An answer that is to be rated.

    Attributes
    ----------
    request_id : str
        Id that the rating refers to.
    key : CellKey
        Its class and version.
    score : float, optional
        The judge's score.
    is_second : bool
        Whether it is the second step of a cascade.
    """

    request_id: str
    key: CellKey
    text: str
    score: float | None = None
    is_second: bool = False


class RatingSampler:
    """Selects the answers to rate; a token bucket bounds the rate, and thereby the cost.

    Parameters
    ----------
    source : random.Random
        Random source.
    ratings_per_s : float
        Maximum rate of this host.

    Attributes
    ----------
    host_count : int
        Number of live hosts, among which the minimum rate of each version is divided.
    """

    def __init__(self, source: random.Random, ratings_per_s: float = MAX_RATINGS_PER_S) -> None:
        self.host_count = 1
        self._sampled_at: dict[CellKey, float] = {}
        self._random = source
        self._ratings_per_s = ratings_per_s
        self._tokens = BURST_RATINGS
        self._filled_at: float | None = None

    def should_rate(self, key: CellKey, estimate: Estimate, reason: str, now: float) -> bool:
        """Tell whether an answer is to be rated."""
        elapsed_s = 0.0 if self._filled_at is None else now - self._filled_at
        self._filled_at = now
        self._tokens = min(BURST_RATINGS, self._tokens + elapsed_s * self._ratings_per_s)
        if self._tokens < 1.0:
            return False
        if not self._is_due(key, now) and self._random.random() >= _rating_probability(
            estimate, reason
        ):
            return False
        self._tokens -= 1.0
        self._sampled_at[key] = now
        return True

    def _is_due(self, key: CellKey, now: float) -> bool:
        """Tell whether a rating is due for this host's part of a version's minimum rate."""
        interval_s = self.host_count / MIN_RATINGS_PER_S
        return now - self._sampled_at.get(key, -math.inf) >= interval_s


def _rating_probability(estimate: Estimate, reason: str) -> float:
    if reason in ("roll-out", "exploration") or _is_suspected(estimate):
        return 1.0
    if estimate.standing is Standing.UNDECIDED or reason == CASCADE_REASON:
        return max(
            SETTLED_PROBABILITY,
            min(1.0, INFORMATIVE_RATINGS / max(1.0, estimate.rating_weight)) / 2,
        )
    return SETTLED_PROBABILITY


def _is_suspected(estimate: Estimate) -> bool:
    """Tell whether a version may have become bad in its use, alone or as a first step."""
    capitals = estimate.service_capitals
    alone_log_capital = (
        0.0 if estimate.is_poor else estimate.change_capitals.highest_without_latency
    )
    return (
        max(alone_log_capital, capitals.highest_without_latency, estimate.cutoff_log_capital)
        >= SUSPICION_LOG_CAPITAL
    )
