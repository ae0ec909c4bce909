"""Cascades: a cheap version answers first, and a good one where a judge rejects the answer."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from poplarrun.versions._evidence import JUDGE_BINS, JudgedBin, decode_bins
from poplarrun.versions._sequential_tests import compute_radius

# Rated answers with a judge score that are needed before cutoffs are computed.
MIN_JUDGED_RATINGS = 40.0
# Until escalated answers are rated, the second version is assumed to lose this fraction of the
# quality that the first one loses on the requests whose answers are rejected.
SHARED_LOSS_FRACTION = 0.3
# The ratings of right and wrong answers vary much more than those of one good version. The
# margin lets 99 in 100 windows of this many answers reach the target.
WINDOW_ANSWERS = 500.0
WINDOW_SIGMAS = 2.33


@dataclass(frozen=True, slots=True)
class ScoreCutoff:
    """The expected result of accepting first answers whose score reaches a cutoff.

    Attributes
    ----------
    min_score : float
        The lowest score that is accepted.
    accepted_fraction : float
        Fraction of the answers that are accepted.
    quality_lower_bound : float
        Lower end of the 95% interval of their mean quality.
    rejected_deficit : float
        How far the mean quality of the rejected answers is below the version's mean.
    variance : float
        Variance of the accepted answers' ratings.
    """

    min_score: float
    accepted_fraction: float
    quality_lower_bound: float
    rejected_deficit: float
    variance: float


def make_cutoffs(judged: Sequence[float], alpha: float) -> tuple[ScoreCutoff, ...]:
    """Return the cutoffs that a version's rated and judged answers support.

    The relation between judge score and rating is estimated here, so any informative score
    will do: it need not be calibrated.
    """
    if not judged:
        return ()
    bins = decode_bins(judged)
    rated = sum(item.rated_answers for item in bins)
    answers = sum(item.answers for item in bins)
    if rated < MIN_JUDGED_RATINGS or answers <= 0.0:
        return ()
    mean = sum(item.quality_sum for item in bins) / rated
    cutoffs = (
        _make_cutoff(bins, first_bin, mean, answers, alpha) for first_bin in range(1, JUDGE_BINS)
    )
    return tuple(cutoff for cutoff in cutoffs if cutoff is not None)


def _make_cutoff(
    bins: Sequence[JudgedBin], first_bin: int, mean: float, answers: float, alpha: float
) -> ScoreCutoff | None:
    accepted_bins, rejected_bins = bins[first_bin:], bins[:first_bin]
    rated, rejected_rated = sum(b.rated_answers for b in accepted_bins), sum(
        b.rated_answers for b in rejected_bins
    )
    if rated < MIN_JUDGED_RATINGS / 2 or rejected_rated <= 0.0:
        return None
    quality = sum(b.quality_sum for b in accepted_bins) / rated
    squared_deviations = max(
        0.0, sum(b.square_sum for b in accepted_bins) - rated * quality * quality
    )
    return ScoreCutoff(
        min_score=first_bin / JUDGE_BINS,
        accepted_fraction=sum(b.answers for b in accepted_bins) / answers,
        quality_lower_bound=quality - compute_radius(rated, squared_deviations, alpha),
        rejected_deficit=max(
            0.0, mean - sum(b.quality_sum for b in rejected_bins) / rejected_rated
        ),
        variance=squared_deviations / rated,
    )


@dataclass(frozen=True, slots=True)
class SecondStep:
    """Quality and cost of the version that answers where the first answer is rejected.

    Attributes
    ----------
    quality_lower_bound : float
        Lower bound of its mean quality on all requests.
    escalated_lower_bound : float, optional
        The same on escalated requests, once such answers are rated.
    cost : float
        Its expected cost.
    """

    quality_lower_bound: float
    escalated_lower_bound: float | None
    cost: float


def find_cutoff(
    cutoffs: Sequence[ScoreCutoff], first_cost: float, second: SecondStep, target: float
) -> tuple[ScoreCutoff, float] | None:
    """Return the cheapest cutoff that meets a target, with its expected cost.

    The accepted answers must meet the target by themselves. Otherwise an uninformative judge
    could accept poor answers as long as the second version is good.
    """
    cheapest: tuple[ScoreCutoff, float] | None = None
    lowest_cost = math.inf
    for cutoff in cutoffs:
        escalated = second.escalated_lower_bound
        if escalated is None:
            escalated = second.quality_lower_bound - SHARED_LOSS_FRACTION * cutoff.rejected_deficit
        quality = (
            cutoff.accepted_fraction * cutoff.quality_lower_bound
            + (1.0 - cutoff.accepted_fraction) * escalated
        )
        cost = first_cost + (1.0 - cutoff.accepted_fraction) * second.cost
        margin = WINDOW_SIGMAS * math.sqrt(cutoff.variance / WINDOW_ANSWERS)
        if min(quality - margin, cutoff.quality_lower_bound) >= target and cost < lowest_cost:
            cheapest, lowest_cost = (cutoff, cost), cost
    return cheapest
