"""Which answers go to the rating service: those that tell most, at a bounded rate."""

import math
import random
from dataclasses import dataclass

from poplarrun.versions._cells import Estimate, Standing
from poplarrun.versions._evidence import CellKey

# An answer of a version that is settled tells little.
SETTLED_SHARE = 0.05
# Ratings of a version up to which each one tells much.
WANTED_RATINGS = 150.0
# Log capital at which a version is suspected of having turned bad.
SUSPICION = 1.5
CASCADE = "cascade"
# All hosts together rate each version in each class so often, whatever its share: with
# few requests a share alone gives no rating for long, and a version that turns bad
# reaches callers meanwhile.
LEAST_RATINGS_PER_S = 1.0
RATINGS_PER_S = 4.0
BURST = 60.0


@dataclass(frozen=True, slots=True)
class SampledAnswer:
    """An answer that is to be rated.

    Attributes
    ----------
    request_id : str
        Id under which the rating comes.
    key : CellKey
        Its class and version.
    score : float, optional
        What a judge gave it.
    is_second : bool
        Whether it is the second step of a cascade.
    """

    request_id: str
    key: CellKey
    text: str
    score: float | None = None
    is_second: bool = False


class RatingSampler:
    """Chooses the answers to rate; a token bucket bounds what that costs.

    Parameters
    ----------
    source : random.Random
        Random source.
    ratings_per_s : float
        Bound of this host's rate.

    Attributes
    ----------
    host_count : int
        Live hosts, which share the least rate of each version.
    """

    def __init__(self, source: random.Random, ratings_per_s: float = RATINGS_PER_S) -> None:
        self.host_count = 1
        self._sampled_at: dict[CellKey, float] = {}
        self._random = source
        self._rate = ratings_per_s
        self._tokens = BURST
        self._filled_at: float | None = None

    def should_rate(self, key: CellKey, estimate: Estimate, why: str, now: float) -> bool:
        """Tell whether an answer is to be rated."""
        elapsed_s = 0.0 if self._filled_at is None else now - self._filled_at
        self._filled_at = now
        self._tokens = min(BURST, self._tokens + elapsed_s * self._rate)
        if self._tokens < 1.0:
            return False
        if not self._is_due(key, now) and self._random.random() >= _share(estimate, why):
            return False
        self._tokens -= 1.0
        self._sampled_at[key] = now
        return True

    def _is_due(self, key: CellKey, now: float) -> bool:
        """Tell whether this host's part of a version's least rate is due."""
        pause_s = self.host_count / LEAST_RATINGS_PER_S
        return now - self._sampled_at.get(key, -math.inf) >= pause_s


def _share(estimate: Estimate, why: str) -> float:
    if why in ("roll-out", "exploration") or _is_suspected(estimate):
        return 1.0
    if estimate.standing is Standing.UNDECIDED or why == CASCADE:
        return max(SETTLED_SHARE, min(1.0, WANTED_RATINGS / max(1.0, estimate.rating_weight)) / 2)
    return SETTLED_SHARE


def _is_suspected(estimate: Estimate) -> bool:
    """Tell whether a version may be turning bad in what it still does, alone or as a first step."""
    watch = estimate.service_capitals
    alone = 0.0 if estimate.is_poor else estimate.change_capitals.highest
    return max(alone, watch.highest, estimate.cutoff_log_capital) >= SUSPICION
