"""Tests of a mean in [0, 1] that are valid at any moment of looking.

A test bets against its hypothesis. With a fixed stake ``s`` and the hypothesis
that the mean is at least ``m``, each observation ``x`` multiplies the capital by
``1 + s * (m - x)``. Under the hypothesis the expected factor is at most 1, so the
capital is a supermartingale: by Ville's inequality it ever reaches ``1 / a`` with
probability at most ``a``, however often one looks. The log capital is a sum over
the observations, in any order: hosts only exchange counts of observations.

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

# Stakes as shares of the largest one that can't ruin, and the capital on each.
STAKE_SHARES = (0.9, 0.5, 0.2, 0.05)
STAKE_WEIGHTS = (0.5, 0.25, 0.15, 0.1)
GRID_SQUARES = tuple(x * x for x in GRID)
LOG_WEIGHTS = tuple(math.log(weight) for weight in STAKE_WEIGHTS)
# Hypotheses nearer to the ends would make a stake infinite.
LOWEST_MEAN = 0.001
HIGHEST_MEAN = 0.999

# Pseudo ratings that keep the variance of a few like ratings from being nothing.
PRIOR_WEIGHT = 2.0
PRIOR_VARIANCE = 0.02
# Number of ratings at which the confidence sequence is narrowest.
TUNED_FOR = 40.0

LogFactors = tuple[tuple[float, ...], ...]


@lru_cache(maxsize=1024)
def bets_below(mean: float) -> LogFactors:
    """Return, for each stake and grid point, the log factor against "mean or better"."""
    mean = min(HIGHEST_MEAN, max(LOWEST_MEAN, mean))
    return tuple(
        tuple(math.log1p(share / (1.0 - mean) * (mean - x)) for x in GRID) for share in STAKE_SHARES
    )


@lru_cache(maxsize=1024)
def bets_above(mean: float) -> LogFactors:
    """Return, for each stake and grid point, the log factor against "mean or worse"."""
    mean = min(HIGHEST_MEAN, max(LOWEST_MEAN, mean))
    return tuple(
        tuple(math.log1p(share / mean * (x - mean)) for x in GRID) for share in STAKE_SHARES
    )


def log_capital(counts: Sequence[float], bets: LogFactors) -> float:
    """Return the log of the mixed capital after these observations.

    Counts may be weights below 1, as of aged evidence: a factor raised to a
    power below 1 has an expectation of at most 1 too (Jensen).
    """
    return mix_logs([sum_product(counts, factors) for factors in bets])


def confidence_radius(counts: Sequence[float], alpha: float) -> float:
    """Return the half width of an interval about the mean, for each side at ``alpha``.

    The interval is valid at any moment of looking, up to the normal
    approximation of the mean (an asymptotic confidence sequence). It takes a
    quarter of the ratings that a bet needs, whose bound must hold for any
    ratings in [0, 1]; a choice can be taken back, a withdrawal can't.
    """
    rated = sum(counts)
    if rated <= 0.0:
        return math.inf
    mean = sum_product(counts, GRID) / rated
    spread = sum_product(counts, GRID_SQUARES) - rated * mean * mean
    return radius_of(rated, spread, alpha)


def radius_of(rated: float, spread: float, alpha: float) -> float:
    """Return the half width for so many ratings with this sum of squared deviations."""
    variance = (spread + PRIOR_WEIGHT * PRIOR_VARIANCE) / (rated + PRIOR_WEIGHT)
    relative = rated / TUNED_FOR * -2.0 * math.log(2.0 * alpha)
    width = 2.0 * (relative + 1.0) / (rated * relative)
    return math.sqrt(variance * width * math.log(math.sqrt(relative + 1.0) / (2.0 * alpha)))


@dataclass
class ChangeDetector:
    """Tells when observations turn against a hypothesis, at whatever moment.

    Each stake's log capital never falls below 0, so that a long good past is no
    credit for a bad present (an e-CUSUM). Were it let fall, a version that was
    good for a day would need a day of bad answers. Under the hypothesis the
    mean number of observations until ``log_capital`` reaches ``log(a)`` is at
    least ``a``.
    """

    bets: LogFactors
    _logs: list[float]

    def __init__(self, bets: LogFactors) -> None:
        self.bets = bets
        self._logs = [0.0] * len(bets)

    def add(self, counts: Sequence[float]) -> None:
        """Take a batch of observations, as counts on the grid."""
        for index, factors in enumerate(self.bets):
            gained = sum_product(counts, factors)
            self._logs[index] = max(0.0, self._logs[index] + gained)

    @property
    def log_capital(self) -> float:
        """The log of the mixed capital."""
        return mix_logs(self._logs)


def sum_product(counts: Sequence[float], factors: Sequence[float]) -> float:
    """Return the sum of the products."""
    return float(sum(map(operator.mul, counts, factors)))


def mix_logs(logs: Sequence[float]) -> float:
    """Return the log of the capital over all stakes, from the log of each."""
    weighted = [log + weight for log, weight in zip(logs, LOG_WEIGHTS, strict=True)]
    highest = max(weighted)
    return highest + math.log(sum(math.exp(log - highest) for log in weighted))
