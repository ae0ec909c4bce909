"""Cascades: a cheap version first, its answer judged, a good version where it is poor."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from poplarrun.versions._evidence import JUDGE_BINS, JudgedBin, read_bins
from poplarrun.versions._sequential_tests import radius_of

# Rated answers with a judge's score that a cascade is built on.
LEAST_JUDGED = 40.0
# Until its escalated answers are rated, the second version is taken to lose
# this share of what the first one loses on requests that it fails.
SHARED_HARDNESS = 0.3
# Answers that are right or wrong vary much more than those of one version that
# is good: 99 in 100 windows of so many answers must still reach the target.
WINDOW_ANSWERS = 500.0
WINDOW_SIGMAS = 2.33


@dataclass(frozen=True, slots=True)
class ScoreCutoff:
    """What comes of accepting a first answer from one score on.

    Attributes
    ----------
    score : float
        The lowest score that is accepted.
    accepted : float
        Share of answers that are.
    quality : float
        Lower end of the 95% interval of their mean quality.
    drop : float
        By how much the rejected ones are below the version's mean.
    variance : float
        Variance of the accepted ones' ratings.
    """

    min_score: float
    accepted_fraction: float
    quality: float
    drop: float
    variance: float


def make_cutoffs(judged: Sequence[float], alpha: float) -> tuple[ScoreCutoff, ...]:
    """Return the cuts that rated and judged answers of a version allow.

    The relation between a judge's score and the rating is learnt here, so the
    judge may be any score that tells something: it need not be calibrated.
    """
    if not judged:
        return ()
    bins = read_bins(judged)
    rated = sum(item.rated for item in bins)
    answers = sum(item.answers for item in bins)
    if rated < LEAST_JUDGED or answers <= 0.0:
        return ()
    mean = sum(item.quality for item in bins) / rated
    cuts = (_make_cut(bins, first, mean, answers, alpha) for first in range(1, JUDGE_BINS))
    return tuple(cut for cut in cuts if cut is not None)


def _make_cut(
    bins: Sequence[JudgedBin], first: int, mean: float, answers: float, alpha: float
) -> ScoreCutoff | None:
    taken, left = bins[first:], bins[:first]
    rated, rejected = sum(b.rated for b in taken), sum(b.rated for b in left)
    if rated < LEAST_JUDGED / 2 or rejected <= 0.0:
        return None
    quality = sum(b.quality for b in taken) / rated
    spread = max(0.0, sum(b.squares for b in taken) - rated * quality * quality)
    return ScoreCutoff(
        min_score=first / JUDGE_BINS,
        accepted_fraction=sum(b.answers for b in taken) / answers,
        quality=quality - radius_of(rated, spread, alpha),
        drop=max(0.0, mean - sum(b.quality for b in left) / rejected),
        variance=spread / rated,
    )


@dataclass(frozen=True, slots=True)
class SecondStep:
    """What is known of a version that would answer where the first one is rejected.

    Attributes
    ----------
    lower : float
        Lower end of its mean quality on all requests.
    escalated_lower : float, optional
        The same on escalated requests, once such answers are rated.
    cost : float
        Its expected cost.
    """

    lower: float
    escalated_lower: float | None
    cost: float


def find_cutoff(
    cuts: Sequence[ScoreCutoff], first_cost: float, second: SecondStep, target: float
) -> tuple[ScoreCutoff, float] | None:
    """Return the cheapest cut that meets a target, with its expected cost.

    The accepted answers must meet the target by themselves: a judge that tells
    nothing could else pass poor answers as long as the second version is good.
    """
    found: tuple[ScoreCutoff, float] | None = None
    lowest = math.inf
    for cut in cuts:
        escalated = second.escalated_lower
        if escalated is None:
            escalated = second.lower - SHARED_HARDNESS * cut.drop
        quality = cut.accepted_fraction * cut.quality + (1.0 - cut.accepted_fraction) * escalated
        cost = first_cost + (1.0 - cut.accepted_fraction) * second.cost
        margin = WINDOW_SIGMAS * math.sqrt(cut.variance / WINDOW_ANSWERS)
        if min(quality - margin, cut.quality) >= target and cost < lowest:
            found, lowest = (cut, cost), cost
    return found
