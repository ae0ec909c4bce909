"""Detects when the first answers that a cascade accepts become bad."""

import math
from collections.abc import Sequence

from poplarrun.versions._evidence import JUDGE_BINS, JudgedBin, decode_bins
from poplarrun.versions._sequential_tests import (
    MAX_MEAN,
    MIN_MEAN,
    STAKE_FRACTIONS,
    mix_log_capitals,
)

# For each stake, the coefficient of the squared deviation in the lower bound of Fan et al.
SQUARE_COEFFICIENTS = tuple(math.log1p(-fraction) + fraction for fraction in STAKE_FRACTIONS)


class CutoffDetector:
    """Change detectors of the answers at or above each cutoff's score.

    A judge may stop being informative: answers of a version that becomes bad with unchanged
    confidence would otherwise still be accepted because of its good answers in the past.
    Bins hold only sums of ratings and of their squares, so the bet is the lower
    bound ``log(1 + a y) >= a y + (log(1 - a) + a) y * y``, for ``y >= -1`` and
    a stake ``0 <= a < 1``. It is as valid as the bet itself and detects slightly later.

    Parameters
    ----------
    mean : float
        Hypothesis: the mean rating of accepted answers is this or higher.

    References
    ----------
    X. Fan, I. Grama and Q. Liu, "Exponential inequalities for martingales with
    applications", Electronic Journal of Probability, 2015.
    """

    def __init__(self, mean: float) -> None:
        self._mean = min(MAX_MEAN, max(MIN_MEAN, mean))
        self._log_capitals = [[0.0] * len(STAKE_FRACTIONS) for _ in range(JUDGE_BINS)]

    def add(self, judged: Sequence[float]) -> None:
        """Add new judged ratings, encoded as in ``Evidence.judged``."""
        bins = decode_bins(judged)
        for first_bin in range(1, JUDGE_BINS):
            self._add_accepted(first_bin, bins[first_bin:])

    def log_capital(self, score: float) -> float:
        """Return the log capital against the answers at or above a cutoff's score."""
        return mix_log_capitals(self._log_capitals[round(score * JUDGE_BINS)])

    def _add_accepted(self, first_bin: int, bins: Sequence[JudgedBin]) -> None:
        rated = sum(b.rated_answers for b in bins)
        if rated <= 0.0:
            return
        mean, scale = self._mean, 1.0 - self._mean
        quality_sum, square_sum = sum(b.quality_sum for b in bins), sum(b.square_sum for b in bins)
        deviation_term = (rated * mean - quality_sum) / scale
        square_term = (rated * mean * mean - 2.0 * mean * quality_sum + square_sum) / scale**2
        log_capitals = self._log_capitals[first_bin]
        for index, (fraction, coefficient) in enumerate(
            zip(STAKE_FRACTIONS, SQUARE_COEFFICIENTS, strict=True)
        ):
            log_capitals[index] = max(
                0.0, log_capitals[index] + fraction * deviation_term + coefficient * square_term
            )
