"""The sequential tests of one version in one class, and the estimate that they support."""

import enum
import math
from collections.abc import Sequence
from dataclasses import dataclass

from poplarrun.versions._cascades import ScoreCutoff, make_cutoffs
from poplarrun.versions._cutoff_detector import CutoffDetector
from poplarrun.versions._evidence import GRID, MILLI, AgedEvidence, Evidence
from poplarrun.versions._sequential_tests import (
    ChangeDetector,
    bets_above,
    bets_below,
    confidence_radius,
    log_capital,
)

# Ratings may be biased by this much, so a version is bad only if it is worse by more.
QUALITY_TOLERANCE = 0.05
# Fractions of failed and of late answers that a version may have.
ALLOWED_FAILURE_FRACTION = 0.05
ALLOWED_LATE_FRACTION = 0.05
# Fraction of late answers beyond which a version in service is bad. It is higher because load
# makes answers late too.
SERVICE_LATE_FRACTION = 0.5
# A version is selected with a confidence of 95%.
SIGNIFICANCE_LEVEL = 0.05
SIGNIFICANT_LOG_CAPITAL = math.log(1.0 / SIGNIFICANCE_LEVEL)
# Log capital at which a version on trial is rejected: one good version in 200 is rejected wrongly.
TRIAL_LOG_CAPITAL_LIMIT = math.log(200)
# Log capital at which a version in service is withdrawn: wrongly once in a million observations.
SERVICE_LOG_CAPITAL_LIMIT = math.log(1e6)
# Expected length of an answer before any was observed.
PRIOR_OUTPUT_TOKENS = 256.0
# Ratings of a version from which on the value of its judge counts as known.
MAX_JUDGE_LEARNING_RATINGS = 100.0
# A version with a lower fraction of good answers saves little as the first step of a cascade.
MIN_GOOD_FRACTION = 0.25
# A version whose cutoffs accept a lower fraction of its answers isn't used as a first step.
MIN_ACCEPTED_FRACTION = 0.1
# A version with enough good answers may still begin with this many ratings of poor ones.
GRACE_RATINGS = 20.0


class Standing(enum.Enum):
    """The quality of a version in a class, as far as its ratings show."""

    GOOD = "good"
    UNDECIDED = "undecided"
    POOR = "poor"


@dataclass(frozen=True, slots=True)
class QualityTargets:
    """The quality targets that the tests of a class compare ratings with.

    Attributes
    ----------
    class_target : float
        The class's quality target.
    lowest_target : float
        The lowest quality target of all classes.
    required_rating : float
        The mean rating that a version needs to be selected: the target plus the ratings' bias.
    """

    class_target: float
    lowest_target: float
    required_rating: float


@dataclass(frozen=True, slots=True)
class LogCapitals:
    """Log capitals of the bets against a version, by hypothesis.

    Attributes
    ----------
    quality : float
        Against "as good as the class allows".
    usefulness : float
        Against "as good as the least demanding class allows".
    reliability : float
        Against "fails no more often than is allowed".
    latency : float
        Against "late no more often than is allowed" on trial, and against "late in no more than
        half of its answers" in service.
    """

    quality: float = 0.0
    usefulness: float = 0.0
    reliability: float = 0.0
    latency: float = 0.0

    @property
    def highest_without_latency(self) -> float:
        """The highest except latency, which is judged in comparison with other versions."""
        return max(self.quality, self.usefulness, self.reliability)


NO_CAPITALS = LogCapitals()


@dataclass(frozen=True, slots=True)
class FirstStepUse:
    """The use of a version as the first step of cascades, however poor its mean answer is.

    Attributes
    ----------
    is_judge_learnt : bool
        False while its judge may still turn out to be informative.
    is_useful_in_class : bool
        Whether its judge identifies good answers of the class, or may do so.
    is_useful_anywhere : bool
        Whether its judge identifies answers that are good enough for the least demanding class,
        or may do so.
    """

    is_judge_learnt: bool = True
    is_useful_in_class: bool = False
    is_useful_anywhere: bool = False


NO_FIRST_STEP = FirstStepUse()


@dataclass(frozen=True, slots=True)
class Estimate:
    """The estimate of one version in one class.

    Attributes
    ----------
    standing : Standing
        What the ratings show, with 95% confidence.
    rating_weight : float
        Sum of the weights of the ratings.
    mean_quality : float, optional
        Mean rating.
    confidence_radius : float
        Half width of its 95% interval.
    pending_ratings : float
        Answers whose rating has not arrived.
    trial_pass_log_capital : float
        Log capital against "worse than the target less the tolerance".
    is_slow : bool
        Whether it is shown to miss the class's latency targets.
    late_answers : int
        Late answers so far, without decay.
    output_tokens : float, optional
        Mean length of its answers.
    answer_time_s : float, optional
        Mean duration of its answers, in seconds.
    has_judge : bool
        Whether a judge scores its answers.
    cutoffs : tuple of ScoreCutoff
        Expected results of accepting its answers by judge score.
    cutoff_log_capital : float
        Highest log capital against the answers that a cutoff accepts.
    first_step : FirstStepUse
        Its use as the first step of cascades.
    trial_capitals : LogCapitals
        Bets from the first observation on, for a version in roll-out.
    change_capitals : LogCapitals
        Bets of change detectors, for a version that may become bad.
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
    first_step: FirstStepUse = NO_FIRST_STEP
    trial_capitals: LogCapitals = NO_CAPITALS
    change_capitals: LogCapitals = NO_CAPITALS

    @property
    def service_capitals(self) -> LogCapitals:
        """The bets that count against a version in service.

        Its quality alone doesn't count while its judge makes it useful as the first step of a
        cascade. Half of a cheap version's answers may be poor from the start, and the version
        would be withdrawn after some hundred ratings.
        """
        step, change = self.first_step, self.change_capitals
        return LogCapitals(
            0.0 if step.is_useful_in_class else change.quality,
            0.0 if step.is_useful_anywhere else change.usefulness,
            change.reliability,
            change.latency,
        )

    @property
    def is_on_time(self) -> bool:
        """Whether the evidence leans towards its answers being in time."""
        return self.output_tokens is not None and self.trial_capitals.latency <= 0.0

    @property
    def is_poor(self) -> bool:
        """Whether the version is shown to be too poor to answer alone."""
        return (
            self.standing is Standing.POOR
            or self.change_capitals.quality >= SERVICE_LOG_CAPITAL_LIMIT
        )

    def is_bad(self, in_service: bool) -> bool:
        """Tell whether the version is shown to be bad, in service or on trial."""
        if in_service:
            return self.service_capitals.highest_without_latency >= SERVICE_LOG_CAPITAL_LIMIT
        return (
            self.change_capitals.highest_without_latency >= SERVICE_LOG_CAPITAL_LIMIT
            or self.trial_capitals.highest_without_latency >= TRIAL_LOG_CAPITAL_LIMIT
        )


UNKNOWN_ESTIMATE = Estimate()


class CellTests:
    """The tests of one version in one class."""

    def __init__(self, targets: QualityTargets) -> None:
        self.targets = targets
        self.evidence = AgedEvidence()
        self._quality_detector = ChangeDetector(
            bets_below(targets.class_target - QUALITY_TOLERANCE)
        )
        self._usefulness_detector = ChangeDetector(
            bets_below(targets.lowest_target - QUALITY_TOLERANCE)
        )
        self._failure_detector = ChangeDetector(bets_above(ALLOWED_FAILURE_FRACTION))
        self._latency_detector = ChangeDetector(bets_above(SERVICE_LATE_FRACTION))
        self._late_answers = 0
        self._cutoff_detector = CutoffDetector(targets.class_target - QUALITY_TOLERANCE)

    def add(self, delta: Evidence) -> None:
        """Add new evidence to the tests."""
        self.evidence.add(delta)
        if any(delta.ratings):
            self._quality_detector.add(delta.ratings)
            self._usefulness_detector.add(delta.ratings)
            self._cutoff_detector.add(delta.judged)
        if delta.requests:
            self._failure_detector.add(_binary_counts(delta.requests, delta.failures))
            self._latency_detector.add(_binary_counts(delta.requests, delta.late))
            self._late_answers += delta.late

    def compute_estimate(self) -> Estimate:
        """Compute the estimate from the evidence so far."""
        evidence = self.evidence
        allowed = self.targets.class_target - QUALITY_TOLERANCE
        latency_capital = log_capital(
            _binary_counts(evidence.requests, evidence.late), bets_above(ALLOWED_LATE_FRACTION)
        )
        mean = evidence.mean_quality
        radius = confidence_radius(evidence.ratings, SIGNIFICANCE_LEVEL)
        cutoffs = make_cutoffs(evidence.judged, SIGNIFICANCE_LEVEL)
        capitals = {
            cutoff: self._cutoff_detector.log_capital(cutoff.min_score) for cutoff in cutoffs
        }
        trusted = tuple(
            cutoff for cutoff in cutoffs if capitals[cutoff] < SERVICE_LOG_CAPITAL_LIMIT
        )
        return Estimate(
            standing=_classify(mean, radius, self.targets.required_rating),
            rating_weight=evidence.rated,
            mean_quality=mean,
            confidence_radius=radius,
            pending_ratings=evidence.awaited,
            trial_pass_log_capital=log_capital(evidence.ratings, bets_above(allowed)),
            is_slow=latency_capital >= SIGNIFICANT_LOG_CAPITAL,
            late_answers=self._late_answers,
            answer_time_s=(
                evidence.whole_ms / MILLI / evidence.requests if evidence.requests > 1.0 else None
            ),
            has_judge=bool(evidence.judged),
            cutoffs=trusted,
            cutoff_log_capital=max((capitals[cutoff] for cutoff in trusted), default=0.0),
            first_step=self._assess_first_step(trusted),
            output_tokens=(
                evidence.output_tokens / evidence.requests if evidence.requests > 1.0 else None
            ),
            trial_capitals=LogCapitals(
                log_capital(evidence.ratings, self._quality_detector.bets),
                log_capital(evidence.ratings, self._usefulness_detector.bets),
                log_capital(
                    _binary_counts(evidence.requests, evidence.failures),
                    self._failure_detector.bets,
                ),
                latency_capital,
            ),
            change_capitals=LogCapitals(
                self._quality_detector.log_capital,
                self._usefulness_detector.log_capital,
                self._failure_detector.log_capital,
                self._latency_detector.log_capital,
            ),
        )

    def _assess_first_step(self, cutoffs: Sequence[ScoreCutoff]) -> FirstStepUse:
        is_undecided_in_class = self._is_judge_undecided(self.targets.required_rating)
        is_undecided_anywhere = self._is_judge_undecided(self.targets.lowest_target)
        bounds = [
            cutoff.quality_lower_bound
            for cutoff in cutoffs
            if cutoff.accepted_fraction >= MIN_ACCEPTED_FRACTION
        ]
        best = max(bounds, default=0.0)
        return FirstStepUse(
            not is_undecided_in_class,
            is_undecided_in_class or best >= self.targets.required_rating,
            is_undecided_anywhere or best >= self.targets.lowest_target,
        )

    def _is_judge_undecided(self, target: float) -> bool:
        """Tell whether the judge may still turn out to identify answers that meet a target.

        It may not when almost no answer meets the target. Otherwise a version whose answers are
        all bad would reach more callers only because they are scored.
        """
        evidence = self.evidence
        if not evidence.judged or evidence.rated >= MAX_JUDGE_LEARNING_RATINGS:
            return False
        good = sum(c for c, q in zip(evidence.ratings, GRID, strict=True) if q >= target)
        return good >= MIN_GOOD_FRACTION * (evidence.rated - GRACE_RATINGS)


def _classify(mean: float | None, radius: float, target: float) -> Standing:
    if mean is None:
        return Standing.UNDECIDED
    if mean + radius < target:
        return Standing.POOR
    return Standing.GOOD if mean - radius >= target else Standing.UNDECIDED


def _binary_counts(total: float, yes: float) -> list[float]:
    counts = [0.0] * len(GRID)
    counts[0] = total - yes
    counts[-1] = yes
    return counts
