"""The tests of one version in one class, and what they show."""

import enum
import math
from collections.abc import Sequence
from dataclasses import dataclass

from poplarrun.versions._cascades import ScoreCutoff, make_cutoffs
from poplarrun.versions._cutoff_detector import CutWatch
from poplarrun.versions._evidence import GRID, MILLI, AgedEvidence, Evidence
from poplarrun.versions._sequential_tests import (
    ChangeDetector,
    bets_above,
    bets_below,
    confidence_radius,
    log_capital,
)

# Ratings may be biased by this much; a version is bad only beyond it.
QUALITY_TOLERANCE = 0.05
FAILURES_ALLOWED = 0.05
LATE_ALLOWED = 0.05
# A version in service turns bad in latency only beyond this: load makes answers late too.
MOSTLY_LATE = 0.5
# The stated confidence of a choice is 95%.
UNCERTAINTY = 0.05
SHOWN = math.log(1.0 / UNCERTAINTY)
# Capital at which a version on trial is taken out: one wrongly in 200.
TRIAL_LOG_CAPITAL_LIMIT = math.log(200)
# Capital at which a version in service is: one wrongly in a million observations.
SERVICE_LOG_CAPITAL_LIMIT = math.log(1e6)
PRIOR_TOKENS = 256.0
# Ratings of a version from which on its judge is known well enough.
MOST_JUDGED = 100.0
# A version of which fewer answers than this share are good saves little as a first step.
LEAST_GOOD = 0.25
# One whose cuts accept fewer than this share is no first step any more.
LEAST_ACCEPTED = 0.1
# Ratings without a good answer that even a version with enough of them may begin with.
PATIENCE = 20.0


class Standing(enum.Enum):
    """What the ratings show of a version in a class."""

    GOOD = "good"
    UNDECIDED = "undecided"
    POOR = "poor"


@dataclass(frozen=True, slots=True)
class Thresholds:
    """The bounds that a class's tests are about.

    Attributes
    ----------
    quality : float
        The class's quality target.
    lowest : float
        The lowest quality target of all classes.
    wanted : float
        The mean rating by which a version is chosen: the target and the ratings' bias.
    """

    quality: float
    lowest: float
    wanted: float


@dataclass(frozen=True, slots=True)
class Capitals:
    """Log capitals of the bets against a version.

    Attributes
    ----------
    quality : float
        Against "as good as the class allows".
    usefulness : float
        Against "as good as the least demanding class allows".
    reliability : float
        Against "fails no more often than is allowed".
    latency : float
        Against "late no more often than is allowed" on trial, and against "late
        in no more than half of its answers" in service.
    """

    quality: float = 0.0
    usefulness: float = 0.0
    reliability: float = 0.0
    latency: float = 0.0

    @property
    def highest(self) -> float:
        """The highest of those that need no comparison with other versions."""
        return max(self.quality, self.usefulness, self.reliability)


NO_CAPITALS = Capitals()


@dataclass(frozen=True, slots=True)
class FirstStep:
    """What a version's judge makes of it, however poor its mean answer is.

    Attributes
    ----------
    is_learnt : bool
        False while the judge may still turn out to be telling.
    in_class : bool
        Whether it tells good answers of the class, or may do so.
    anywhere : bool
        Whether it tells answers that the least demanding class wants, or may do so.
    """

    is_learnt: bool = True
    in_class: bool = False
    anywhere: bool = False


NO_FIRST_STEP = FirstStep()


@dataclass(frozen=True, slots=True)
class Estimate:
    """What is known of one version in one class.

    Attributes
    ----------
    standing : Standing
        What the ratings show, with 95% confidence.
    rated : float
        Weight of the ratings behind it.
    mean_quality : float, optional
        Mean rating.
    radius : float
        Half width of its 95% interval.
    awaited : float
        Answers whose rating is still to come.
    growth_log : float
        Log capital against "worse than the target less the tolerance".
    slow : bool
        Whether it is shown to miss the class's latency targets.
    late_answers : int
        Late answers so far; never aged.
    output_tokens : float, optional
        Mean length of its answers.
    whole_s : float, optional
        Mean time of its whole answers.
    is_judged : bool
        Whether a judge scores its answers.
    cuts : tuple of Cut
        What comes of accepting its answers by a judge's score.
    cut_doubt : float
        Highest log capital against the answers that a cut accepts.
    first_step : FirstStep
        Its use in cascades.
    trial : Capitals
        Bets from the first observation on, for a version that is rolled out.
    watch : Capitals
        Bets that begin anew at any time, for a version that may turn bad.
    """

    standing: Standing = Standing.UNDECIDED
    rating_weight: float = 0.0
    mean_quality: float | None = None
    confidence_radius: float = math.inf
    pending_ratings: float = 0.0
    trial_pass_log_capital: float = 0.0
    is_slow: bool = False
    late_answers: int = 0
    output_tokens: float | None = None
    answer_time_s: float | None = None
    has_judge: bool = False
    cutoffs: tuple[ScoreCutoff, ...] = ()
    cutoff_log_capital: float = 0.0
    first_step: FirstStep = NO_FIRST_STEP
    trial_capitals: Capitals = NO_CAPITALS
    change_capitals: Capitals = NO_CAPITALS

    @property
    def service_capitals(self) -> Capitals:
        """The bets that count against a version in service.

        What it is worth alone doesn't count while its judge makes it useful as a
        cascade's first step: a cheap version whose answers are half poor is so
        from the start, and would be out after some hundred ratings.
        """
        step, watch = self.first_step, self.change_capitals
        return Capitals(
            0.0 if step.in_class else watch.quality,
            0.0 if step.anywhere else watch.usefulness,
            watch.reliability,
            watch.latency,
        )

    @property
    def is_on_time(self) -> bool:
        """Whether what was seen leans towards its answers being in time."""
        return self.output_tokens is not None and self.trial_capitals.latency <= 0.0

    @property
    def is_poor(self) -> bool:
        """Whether the version is shown too poor to answer alone."""
        return (
            self.standing is Standing.POOR
            or self.change_capitals.quality >= SERVICE_LOG_CAPITAL_LIMIT
        )

    def is_bad(self, in_service: bool) -> bool:
        """Tell whether the version is shown bad, in service or on trial."""
        if in_service:
            return self.service_capitals.highest >= SERVICE_LOG_CAPITAL_LIMIT
        return (
            self.change_capitals.highest >= SERVICE_LOG_CAPITAL_LIMIT
            or self.trial_capitals.highest >= TRIAL_LOG_CAPITAL_LIMIT
        )


NOTHING_KNOWN = Estimate()


class Cell:
    """The tests of one version in one class."""

    def __init__(self, thresholds: Thresholds) -> None:
        self.thresholds = thresholds
        self.aged = AgedEvidence()
        self._bad = ChangeDetector(bets_below(thresholds.quality - QUALITY_TOLERANCE))
        self._useless = ChangeDetector(bets_below(thresholds.lowest - QUALITY_TOLERANCE))
        self._failing = ChangeDetector(bets_above(FAILURES_ALLOWED))
        self._lagging = ChangeDetector(bets_above(MOSTLY_LATE))
        self._late_answers = 0
        self._accepted = CutWatch(thresholds.quality - QUALITY_TOLERANCE)

    def add(self, delta: Evidence) -> None:
        self.aged.add(delta)
        if any(delta.ratings):
            self._bad.add(delta.ratings)
            self._useless.add(delta.ratings)
            self._accepted.add(delta.judged)
        if delta.requests:
            self._failing.add(_yes_no(delta.requests, delta.failures))
            self._lagging.add(_yes_no(delta.requests, delta.late))
            self._late_answers += delta.late

    def estimate(self) -> Estimate:
        aged = self.aged
        allowed = self.thresholds.quality - QUALITY_TOLERANCE
        lateness = log_capital(_yes_no(aged.requests, aged.late), bets_above(LATE_ALLOWED))
        mean = aged.mean_quality
        radius = confidence_radius(aged.ratings, UNCERTAINTY)
        cuts = make_cutoffs(aged.judged, UNCERTAINTY)
        doubts = {cut: self._accepted.log_capital(cut.min_score) for cut in cuts}
        trusted = tuple(cut for cut in cuts if doubts[cut] < SERVICE_LOG_CAPITAL_LIMIT)
        return Estimate(
            standing=_stand(mean, radius, self.thresholds.wanted),
            rating_weight=aged.rated,
            mean_quality=mean,
            confidence_radius=radius,
            pending_ratings=aged.awaited,
            trial_pass_log_capital=log_capital(aged.ratings, bets_above(allowed)),
            is_slow=lateness >= SHOWN,
            late_answers=self._late_answers,
            answer_time_s=aged.whole_ms / MILLI / aged.requests if aged.requests > 1.0 else None,
            has_judge=bool(aged.judged),
            cutoffs=trusted,
            cutoff_log_capital=max((doubts[cut] for cut in trusted), default=0.0),
            first_step=self._find_first_step(trusted),
            output_tokens=aged.output_tokens / aged.requests if aged.requests > 1.0 else None,
            trial_capitals=Capitals(
                log_capital(aged.ratings, self._bad.bets),
                log_capital(aged.ratings, self._useless.bets),
                log_capital(_yes_no(aged.requests, aged.failures), self._failing.bets),
                lateness,
            ),
            change_capitals=Capitals(
                self._bad.log_capital,
                self._useless.log_capital,
                self._failing.log_capital,
                self._lagging.log_capital,
            ),
        )

    def _find_first_step(self, cuts: Sequence[ScoreCutoff]) -> FirstStep:
        in_class = self._is_learning(self.thresholds.wanted)
        anywhere = self._is_learning(self.thresholds.lowest)
        useful = [cut.quality for cut in cuts if cut.accepted_fraction >= LEAST_ACCEPTED]
        best = max(useful, default=0.0)
        return FirstStep(
            not in_class,
            in_class or best >= self.thresholds.wanted,
            anywhere or best >= self.thresholds.lowest,
        )

    def _is_learning(self, target: float) -> bool:
        """Tell whether the judge may still turn out to tell answers that meet a target.

        Not when next to none meet it: a version that is bad in all its answers
        reaches no more callers for giving scores.
        """
        aged = self.aged
        if not aged.judged or aged.rated >= MOST_JUDGED:
            return False
        good = sum(c for c, q in zip(aged.ratings, GRID, strict=True) if q >= target)
        return good >= LEAST_GOOD * (aged.rated - PATIENCE)


def _stand(mean: float | None, radius: float, target: float) -> Standing:
    if mean is None:
        return Standing.UNDECIDED
    if mean + radius < target:
        return Standing.POOR
    return Standing.GOOD if mean - radius >= target else Standing.UNDECIDED


def _yes_no(total: float, yes: float) -> list[float]:
    counts = [0.0] * len(GRID)
    counts[0] = total - yes
    counts[-1] = yes
    return counts
