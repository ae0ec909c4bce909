"""The ways to serve a class: one version, a mixture of two, or a cascade."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from poplarrun.contracts import Targets, Version, VersionId
from poplarrun.versions._cascades import ScoreCutoff, SecondStep, find_cutoff
from poplarrun.versions._cells import Estimate, Standing
from poplarrun.versions._evidence import CellKey

# A version is mixed in only once its quality is known this closely.
LARGEST_RADIUS = 0.04
# Whole answers that take longer than this multiple of the mean are rare.
SLOWEST_TO_MEAN = 1.5
# Rated escalated answers from which on they are believed.
LEAST_ESCALATED = 15.0


@dataclass(slots=True)
class Option:
    """A version that a client account may use, as it stands in a class.

    Attributes
    ----------
    tokens : float
        Expected length of its answer.
    ruled_out : str
        Why it may not answer alone; empty when it may.
    label : str
        Its version and standing, for ``explain``.
    cost : float
        Expected cost of the request at hand.
    """

    version: Version
    key: CellKey
    estimate: Estimate
    tokens: float
    ruled_out: str = ""
    label: str = ""
    cost: float = 0.0


@dataclass(frozen=True, slots=True)
class Single:
    """One version answers."""

    option: Option
    why: str

    @property
    def cost(self) -> float:
        """Expected cost."""
        return self.option.cost


@dataclass(frozen=True, slots=True)
class Mixture:
    """Requests divided between a doubtful version and a good one that covers it."""

    doubtful: Option
    cover: Option
    share: float

    @property
    def cost(self) -> float:
        """Expected cost."""
        return self.share * self.doubtful.cost + (1.0 - self.share) * self.cover.cost


@dataclass(frozen=True, slots=True)
class Cascade:
    """A second version answers where the first one's answer is not accepted."""

    first: Option
    second: Option
    cut: ScoreCutoff
    cost: float


Plan = Single | Mixture | Cascade


def find_mixtures(
    usable: Sequence[Option], good: Sequence[Option], target: float
) -> Iterator[Mixture]:
    """Give the mixtures of an undecided and a good version that meet a target.

    A version that can't be told from the target serves as large a share of the
    requests as the surplus of a good one makes up for, counted from the lower
    ends of both intervals. A version that is shown poor is never mixed in.
    """
    for option in usable:
        known = option.estimate
        if known.standing is not Standing.UNDECIDED or known.confidence_radius > LARGEST_RADIUS:
            continue
        doubt = target - lower_end(option)
        for cover in good:
            if option.cost < cover.cost:
                surplus = lower_end(cover) - target
                yield Mixture(option, cover, surplus / (surplus + doubt))


def find_cascades(
    options: Sequence[Option],
    good: Sequence[Option],
    targets: Targets,
    find_escalated: Callable[[Option], Estimate],
) -> Iterator[Cascade]:
    """Give the cascades that meet the targets of a class.

    The first answer is held back until it is judged, so that a caller never
    sees two. A class whose first token may not wait so long gets none.
    """
    for first in options:
        if first.ruled_out not in ("", "quality") or not first.estimate.cutoffs:
            continue
        if not is_quick(first.estimate, targets):
            continue
        for second in good:
            if second.cost <= first.cost:
                continue
            escalated = _escalated_lower(find_escalated(second))
            step = SecondStep(lower_end(second), escalated, second.cost)
            found = find_cutoff(first.estimate.cutoffs, first.cost, step, targets.quality)
            if found is not None:
                yield Cascade(first, second, *found)


def lower_end(option: Option) -> float:
    """Return the lower end of a version's mean quality."""
    mean = option.estimate.mean_quality
    return 0.0 if mean is None else mean - option.estimate.confidence_radius


def by_cost(option: Option) -> tuple[float, VersionId]:
    """Order options by their cost."""
    return option.cost, option.version.id


def describe(options: Sequence[Option]) -> list[str]:
    """Return a line for each option, for ``explain``."""
    return [f"{o.label} cost={o.cost:.6f} {o.ruled_out or 'usable'}" for o in options]


def is_quick(known: Estimate, targets: Targets) -> bool:
    """Tell whether a whole first answer can be awaited before the caller's first token."""
    slowest_s = None if known.answer_time_s is None else known.answer_time_s * SLOWEST_TO_MEAN
    return slowest_s is not None and slowest_s <= targets.first_token_s


def _escalated_lower(known: Estimate) -> float | None:
    if known.rating_weight < LEAST_ESCALATED or known.mean_quality is None:
        return None
    return known.mean_quality - known.confidence_radius
