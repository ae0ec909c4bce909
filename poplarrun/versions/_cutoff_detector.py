"""Tells when the answers that a cascade accepts turn bad."""

import math
from collections.abc import Sequence

from poplarrun.versions._evidence import JUDGE_BINS, JudgedBin, read_bins
from poplarrun.versions._sequential_tests import HIGHEST_MEAN, LOWEST_MEAN, STAKE_SHARES, mix_logs

# For a stake of this share, what the square of a deviation costs (Fan et al.).
SQUARE_COSTS = tuple(math.log1p(-share) + share for share in STAKE_SHARES)


class CutWatch:
    """Change detectors of the answers from each cut's score on.

    A judge that was worth something may stop being so: a version that turns bad
    with an unchanged confidence would go on being accepted on its good past.
    Bins hold only sums of ratings and of their squares, so the bet is the lower
    bound ``log(1 + a y) >= a y + (log(1 - a) + a) y * y``, for ``y >= -1`` and
    a stake ``0 <= a < 1``: valid like the bet itself, and a little slower.

    Parameters
    ----------
    mean : float
        Hypothesis: accepted answers are as good as this, or better.

    References
    ----------
    X. Fan, I. Grama and Q. Liu, "Exponential inequalities for martingales with
    applications", Electronic Journal of Probability, 2015.
    """

    def __init__(self, mean: float) -> None:
        self._mean = min(HIGHEST_MEAN, max(LOWEST_MEAN, mean))
        self._logs = [[0.0] * len(STAKE_SHARES) for _ in range(JUDGE_BINS)]

    def add(self, judged: Sequence[float]) -> None:
        """Take the judged ratings that came, as in ``Evidence.judged``."""
        bins = read_bins(judged)
        for first in range(1, JUDGE_BINS):
            self._add_from(first, bins[first:])

    def log_capital(self, score: float) -> float:
        """Return the log capital against what is accepted from a cut's score on."""
        return mix_logs(self._logs[round(score * JUDGE_BINS)])

    def _add_from(self, first: int, bins: Sequence[JudgedBin]) -> None:
        rated = sum(b.rated for b in bins)
        if rated <= 0.0:
            return
        mean, scale = self._mean, 1.0 - self._mean
        quality, squares = sum(b.quality for b in bins), sum(b.squares for b in bins)
        below = (rated * mean - quality) / scale
        squared = (rated * mean * mean - 2.0 * mean * quality + squares) / scale**2
        logs = self._logs[first]
        for index, (share, cost) in enumerate(zip(STAKE_SHARES, SQUARE_COSTS, strict=True)):
            logs[index] = max(0.0, logs[index] + share * below + cost * squared)
