"""Detection of versions whose answers turn bad, by a cumulative sum over the newest answers.

The test is Page's CUSUM for two fractions of bad answers: each answer adds the logarithm of its
likelihood ratio, and the sum never falls below zero. Good answers of the past therefore don't
outweigh bad ones of now.
"""

import math
from dataclasses import dataclass

# Least fraction of bad answers of a version that has turned bad, and its least ratio to the
# fraction that a good version may have.
TURNED_BAD_FRACTION = 0.3
MIN_FRACTION_RATIO = 2.0
MAX_FRACTION = 0.9


@dataclass(slots=True)
class ChangeDetector:
    """Cumulative sum over the answers of one version.

    Attributes
    ----------
    threshold : float
        Sum from which the version has turned bad, as a logarithm of likelihoods.
    score : float
        The sum.
    """

    threshold: float
    score: float = 0.0
    _answers: int | None = None
    _bad: int = 0

    def record_totals(self, answers: int, bad: int, good_fraction: float) -> None:
        """Add the answers since the previous call; the first call only sets where to begin.

        Totals shrink when a host is lost, whose answers are no news when it is back: several
        answers at once count in any order, so that a host's whole past adds nothing if it is good.

        Parameters
        ----------
        answers, bad : int
            Totals of all hosts.
        good_fraction : float
            Fraction of bad answers that a good version may have.
        """
        before, self._answers = self._answers, answers
        bad_before, self._bad = self._bad, bad
        if before is None or answers < before or bad < bad_before:
            return
        bad_fraction = max(TURNED_BAD_FRACTION, MIN_FRACTION_RATIO * good_fraction)
        bad_fraction = min(MAX_FRACTION, bad_fraction)
        new_bad = bad - bad_before
        new_good = max(0, answers - before - new_bad)
        change = new_bad * math.log(bad_fraction / good_fraction)
        change += new_good * math.log((1.0 - bad_fraction) / (1.0 - good_fraction))
        self.score = max(0.0, self.score + change)

    @property
    def has_turned_bad(self) -> bool:
        """Whether the newest answers are those of a bad version."""
        return self.score >= self.threshold
