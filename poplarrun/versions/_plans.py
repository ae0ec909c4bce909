"""Plans for serving a class: a single version, a mixture of two, or a cascade."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from poplarrun.contracts import Targets, Version, VersionId
from poplarrun.versions._cascades import ScoreCutoff, SecondStep, find_cutoff
from poplarrun.versions._cells import Estimate, Standing
from poplarrun.versions._evidence import CellKey

# Largest confidence radius of an undecided version that may take part in a mixture.
MAX_MIXTURE_RADIUS = 0.04
# Answers rarely take longer than this multiple of the mean duration.
SLOWEST_TO_MEAN_RATIO = 1.5
# Ratings of escalated answers from which on their estimate is used.
MIN_ESCALATED_RATINGS = 15.0


@dataclass(slots=True)
class Option:
    """A version that a client account may use for a class.

    Attributes
    ----------
    expected_output_tokens : float
        Expected length of its answer.
    exclusion : str
        Why it may not answer alone; empty when it may.
    label : str
        Its id and standing, for ``explain``.
    cost : float
        Expected cost of the current request, in account currency.
    """

    version: Version
    key: CellKey
    estimate: Estimate
    expected_output_tokens: float
    exclusion: str = ""
    label: str = ""
    cost: float = 0.0


@dataclass(frozen=True, slots=True)
class Single:
    """One version answers."""

    option: Option
    reason: str

    @property
    def cost(self) -> float:
        """Expected cost."""
        return self.option.cost


@dataclass(frozen=True, slots=True)
class Mixture:
    """Requests divided at random between an undecided version and a good one."""

    undecided: Option
    good: Option
    undecided_fraction: float

    @property
    def cost(self) -> float:
        """Expected cost."""
        return (
            self.undecided_fraction * self.undecided.cost
            + (1.0 - self.undecided_fraction) * self.good.cost
        )


@dataclass(frozen=True, slots=True)
class Cascade:
    """A second version answers where the first one's answer is not accepted."""

    first: Option
    second: Option
    cutoff: ScoreCutoff
    cost: float


Plan = Single | Mixture | Cascade


def find_mixtures(
    usable: Sequence[Option], good: Sequence[Option], target: float
) -> Iterator[Mixture]:
    """Yield the mixtures of an undecided and a good version that meet a target.

    The undecided version serves the largest fraction of the requests for which the good one's
    surplus makes up, counted from the lower bounds of both confidence intervals. A version
    that is shown poor never takes part.
    """
    for option in usable:
        estimate = option.estimate
        if (
            estimate.standing is not Standing.UNDECIDED
            or estimate.confidence_radius > MAX_MIXTURE_RADIUS
        ):
            continue
        deficit = target - quality_lower_bound(option)
        for good_option in good:
            if option.cost < good_option.cost:
                surplus = quality_lower_bound(good_option) - target
                yield Mixture(option, good_option, surplus / (surplus + deficit))


def find_cascades(
    options: Sequence[Option],
    good: Sequence[Option],
    targets: Targets,
    find_escalated: Callable[[Option], Estimate],
) -> Iterator[Cascade]:
    """Yield the cascades that meet the targets of a class.

    The first answer is buffered until it is judged, so that a caller never receives two. A
    class whose target for the first token is shorter than that gets no cascades.
    """
    for first in options:
        if first.exclusion not in ("", "quality") or not first.estimate.cutoffs:
            continue
        if not fits_first_token_target(first.estimate, targets):
            continue
        for second in good:
            if second.cost <= first.cost:
                continue
            escalated = _escalated_lower_bound(find_escalated(second))
            step = SecondStep(quality_lower_bound(second), escalated, second.cost)
            cutoff_and_cost = find_cutoff(first.estimate.cutoffs, first.cost, step, targets.quality)
            if cutoff_and_cost is not None:
                yield Cascade(first, second, *cutoff_and_cost)


def quality_lower_bound(option: Option) -> float:
    """Return the lower bound of a version's mean quality."""
    mean = option.estimate.mean_quality
    return 0.0 if mean is None else mean - option.estimate.confidence_radius


def cost_order(option: Option) -> tuple[float, VersionId]:
    """Return the sort key that orders options by cost, and equal costs by version."""
    return option.cost, option.version.id


def describe_options(options: Sequence[Option]) -> list[str]:
    """Return a line for each option, for ``explain``."""
    return [f"{o.label} cost={o.cost:.6f} {o.exclusion or 'usable'}" for o in options]


def fits_first_token_target(estimate: Estimate, targets: Targets) -> bool:
    """Tell whether a whole first answer ends within the target for the caller's first token."""
    slowest_s = (
        None if estimate.answer_time_s is None else estimate.answer_time_s * SLOWEST_TO_MEAN_RATIO
    )
    return slowest_s is not None and slowest_s <= targets.first_token_s


def _escalated_lower_bound(estimate: Estimate) -> float | None:
    if estimate.rating_weight < MIN_ESCALATED_RATINGS or estimate.mean_quality is None:
        return None
    return estimate.mean_quality - estimate.confidence_radius
