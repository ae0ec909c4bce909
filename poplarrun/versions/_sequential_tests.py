"""Sequential tests of a mean in [0, 1], valid whenever they are evaluated.

A test bets against its hypothesis. With a fixed stake ``s`` and the hypothesis
that the mean is at least ``m``, each observation ``x`` multiplies the capital by
``1 + s * (m - x)``. Under the hypothesis the expected factor is at most 1, so the
capital is a supermartingale: by Ville's inequality it ever reaches ``1 / a`` with
probability at most ``a``, however often it is evaluated. The log capital is a sum over
the observations in any order, so hosts exchange only counts of observations.

References
----------
J. Ville, "Étude critique de la notion de collectif", 1939.
I. Waudby-Smith and A. Ramdas, "Estimating means of bounded random variables by
betting", Journal of the Royal Statistical Society B, 2024.
J. Shin, A. Ramdas and A. Rinaldo, "E-detectors: a nonparametric framework for
sequential change detection", New England Journal of Statistics in Data Science, 2023.
I. Waudby-Smith, D. Arbour, R. Sinha, E. Kennedy and A. Ramdas, "Time-uniform central
limit theory and asymptotic confidence sequences", Annals of Statistics, 2024.
"""

import math
import operator
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache

from poplarrun.versions._evidence import GRID

# Stakes as fractions of the largest one that can't lose all capital, and the initial capital
# on each.
STAKE_FRACTIONS = (0.9, 0.5, 0.2, 0.05)
STAKE_WEIGHTS = (0.5, 0.25, 0.15, 0.1)
GRID_SQUARES = tuple(x * x for x in GRID)
LOG_WEIGHTS = tuple(math.log(weight) for weight in STAKE_WEIGHTS)
# Hypotheses closer to 0 or 1 would make a stake infinite.
MIN_MEAN = 0.001
MAX_MEAN = 0.999

# Pseudo-ratings that keep the estimated variance of a few equal ratings above 0.
PRIOR_WEIGHT = 2.0
PRIOR_VARIANCE = 0.02
# Number of ratings at which the confidence sequence is narrowest.
TUNED_RATINGS = 40.0

LogFactors = tuple[tuple[float, ...], ...]


@lru_cache(maxsize=1024)
def bets_below(mean: float) -> LogFactors:
    """Return, for each stake and grid point, the log factor against "mean or better"."""
    mean = min(MAX_MEAN, max(MIN_MEAN, mean))
    return tuple(
        tuple(math.log1p(fraction / (1.0 - mean) * (mean - x)) for x in GRID)
        for fraction in STAKE_FRACTIONS
    )


@lru_cache(maxsize=1024)
def bets_above(mean: float) -> LogFactors:
    """Return, for each stake and grid point, the log factor against "mean or worse"."""
    mean = min(MAX_MEAN, max(MIN_MEAN, mean))
    return tuple(
        tuple(math.log1p(fraction / mean * (x - mean)) for x in GRID)
        for fraction in STAKE_FRACTIONS
    )


def log_capital(counts: Sequence[float], bets: LogFactors) -> float:
    """Return the log of the capital over all stakes after these observations.

    Counts may be weights below 1, as in decayed evidence: a factor raised to a
    power below 1 has an expectation of at most 1 too (Jensen's inequality).
    """
    return mix_log_capitals([dot_product(counts, factors) for factors in bets])


def confidence_radius(counts: Sequence[float], alpha: float) -> float:
    """Return the half width of a confidence interval of the mean, with ``alpha`` on each side.

    The interval is valid at every evaluation, up to the normal approximation of the mean (an
    asymptotic confidence sequence). It needs a quarter of the ratings that a bet needs, whose
    bound must hold for any ratings in [0, 1]. The approximation suffices for choosing a
    version, which can be undone; a withdrawal can't.
    """
    rated = sum(counts)
    if rated <= 0.0:
        return math.inf
    mean = dot_product(counts, GRID) / rated
    squared_deviations = dot_product(counts, GRID_SQUARES) - rated * mean * mean
    return compute_radius(rated, squared_deviations, alpha)


def compute_radius(rated: float, squared_deviations: float, alpha: float) -> float:
    """Return the half width for a count of ratings and their sum of squared deviations."""
    variance = (squared_deviations + PRIOR_WEIGHT * PRIOR_VARIANCE) / (rated + PRIOR_WEIGHT)
    relative = rated / TUNED_RATINGS * -2.0 * math.log(2.0 * alpha)
    width = 2.0 * (relative + 1.0) / (rated * relative)
    return math.sqrt(variance * width * math.log(math.sqrt(relative + 1.0) / (2.0 * alpha)))


@dataclass
class ChangeDetector:
    """Detects when observations begin to contradict a hypothesis.

    Each stake's log capital is kept at 0 or above (an e-CUSUM), so that good observations in
    the past don't offset bad ones now. Otherwise a version that was good for a day would need
    a day of bad answers. Under the hypothesis the mean number of observations until
    ``log_capital`` reaches ``log(a)`` is at least ``a``.
    """

    bets: LogFactors
    _log_capitals: list[float]

    def __init__(self, bets: LogFactors) -> None:
        self.bets = bets
        self._log_capitals = [0.0] * len(bets)

    def add(self, counts: Sequence[float]) -> None:
        """Add a batch of observations, as counts on the grid."""
        for index, factors in enumerate(self.bets):
            gain = dot_product(counts, factors)
            self._log_capitals[index] = max(0.0, self._log_capitals[index] + gain)

    @property
    def log_capital(self) -> float:
        """Log of the capital over all stakes."""
        return mix_log_capitals(self._log_capitals)


def dot_product(counts: Sequence[float], factors: Sequence[float]) -> float:
    """Return the sum of the products."""
    return float(sum(map(operator.mul, counts, factors)))


def mix_log_capitals(log_capitals: Sequence[float]) -> float:
    """Return the log of the capital over all stakes, from the log of each."""
    weighted = [log + weight for log, weight in zip(log_capitals, LOG_WEIGHTS, strict=True)]
    highest = max(weighted)
    return highest + math.log(sum(math.exp(log - highest) for log in weighted))
