"""Selects the version for a request: the cheapest that meets the class's targets."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from poplarrun.config import Configuration
from poplarrun.contracts import (
    ClientAccount,
    Targets,
    UnmetTargetsPolicy,
    Version,
    VersionId,
    WorkClass,
)
from poplarrun.versions._cells import PRIOR_OUTPUT_TOKENS, Estimate, Standing
from poplarrun.versions._estimates import Estimates
from poplarrun.versions._evidence import CellKey
from poplarrun.versions._exposure import ExposureBudget
from poplarrun.versions._plans import (
    Cascade,
    Mixture,
    Option,
    Plan,
    Single,
    cost_order,
    describe_options,
    find_cascades,
    find_mixtures,
    fits_first_token_target,
    quality_lower_bound,
)
from poplarrun.versions._rollouts import RolloutTable

# Ratings of a class up to which the fraction of exploring requests stays at its maximum.
FULL_EXPLORATION_RATINGS = 600.0
MAX_EXPLORATION_FRACTION = 0.4
MIN_EXPLORATION_FRACTION = 0.005
# A version with this many unrated answers is not explored further. Without the bound,
# exploration would go on without results during an outage of the rating service.
MAX_PENDING_RATINGS = 30.0
# How far below the target the quality of a little-known version is assumed to be.
UNKNOWN_QUALITY_DEFICIT = 0.15
# Weight, in ratings, of the prior that an unrated version just meets the class's target.
PRIOR_RATING_WEIGHT = 3.0


@dataclass(frozen=True, slots=True)
class ChoiceRequest:
    """The properties of a request that its version is selected by.

    Attributes
    ----------
    prompt_tokens, max_tokens : int
        Length of the prompt, and the maximum length of the answer.
    opens_session : bool
        Whether it opens a session, which then keeps the version.
    remaining_spend : float, optional
        What the client account may still spend, in account currency; None without a limit.
    excluded_versions : frozenset of VersionId
        Versions without capacity for it.
    """

    account: ClientAccount
    work_class: WorkClass
    prompt_tokens: int
    max_tokens: int
    opens_session: bool = False
    remaining_spend: float | None = None
    excluded_versions: frozenset[VersionId] = frozenset()


@dataclass(frozen=True, slots=True)
class Escalation:
    """The second step of a cascade.

    Attributes
    ----------
    version : Version
        The version that answers when the first answer is rejected.
    min_score : float
        The lowest judge score with which the first answer is accepted.
    """

    version: Version
    min_score: float


@dataclass(frozen=True, slots=True)
class ChosenVersion:
    """The version selected for a request.

    Attributes
    ----------
    reason : str
        Counter label: cheapest, mixture, cascade, learning, exploration, roll-out or best-effort.
    cost : float
        Expected cost, in account currency.
    considered : list of str
        Every version with its standing, cost and exclusion.
    escalation : Escalation, optional
        The second step, in a cascade.
    """

    version: Version
    reason: str
    cost: float
    considered: list[str]
    escalation: Escalation | None = None


@dataclass(frozen=True, slots=True)
class NoVersionAllowed:
    """The client account may use none of the offered versions."""


@dataclass(frozen=True, slots=True)
class NoVersionMeetsTargets:
    """No allowed version meets the targets, and the class asks for a refusal then."""

    considered: list[str]


@dataclass(frozen=True, slots=True)
class NoVersionAffordable:
    """Every allowed version costs more than the client account may still spend."""

    considered: list[str]


Choice = ChosenVersion | NoVersionAllowed | NoVersionMeetsTargets | NoVersionAffordable


@dataclass
class _OptionCache:
    """Options by client account and class, valid until their inputs change."""

    configuration: Configuration | None = None
    rollouts: RolloutTable | None = None
    revision: int = -1
    options: dict[tuple[str, tuple[str, ...], str], list[Option]] = field(default_factory=dict)


class VersionSelector:
    """Selects versions for the requests of one host.

    Parameters
    ----------
    estimates : Estimates
        Estimates of the versions.
    exposure : ExposureBudget
        This host's remaining requests to versions in roll-out.
    source : random.Random
        Random source of the exploration.
    """

    def __init__(
        self, estimates: Estimates, exposure: ExposureBudget, source: random.Random
    ) -> None:
        self.rollouts = RolloutTable()
        self._estimates = estimates
        self._exposure = exposure
        self._random = source
        self._cache = _OptionCache()

    def choose(self, request: ChoiceRequest, configuration: Configuration) -> Choice:
        """Select a version, and count the request when its version is in roll-out."""
        options = self._list_options(request, configuration)
        if not options:
            return NoVersionAllowed()
        affordable = [o for o in options if _is_affordable(o, request)]
        if not affordable:
            return NoVersionAffordable(describe_options(options))
        in_rollout = self._choose_rollout_option(request, affordable)
        if in_rollout is not None:
            self._exposure.consume(in_rollout.key)
            return _make_chosen(in_rollout, "roll-out", options)
        targets = request.work_class.targets
        max_cost = targets.cost_per_request
        usable = [
            o for o in affordable if not o.exclusion and (max_cost is None or o.cost <= max_cost)
        ]
        if not usable:
            return self._choose_fallback(request, affordable)
        judge_candidates = [o for o in affordable if _needs_judge_ratings(o, targets)]
        rating_weight = sum(option.estimate.rating_weight for option in options)
        explored = self._choose_exploration(request, usable, judge_candidates, rating_weight)
        if explored is not None:
            return _make_chosen(explored, "exploration", options)
        return self._sample_plan(self._choose_plan(request, usable, affordable), options)

    def _choose_plan(
        self, request: ChoiceRequest, usable: list[Option], affordable: list[Option]
    ) -> Plan:
        """Return the cheapest single version, mixture or cascade that meets the targets."""
        targets = self._compute_rating_targets(request)
        good = [o for o in usable if o.estimate.standing is Standing.GOOD]
        if not good:
            return Single(_most_promising(usable, targets.quality), "learning")
        plans: list[Plan] = [Single(min(good, key=cost_order), "cheapest")]
        if not request.opens_session:
            plans += find_mixtures(usable, good, targets.quality)
            plans += find_cascades(affordable, good, targets, self._find_escalated_estimate)
        return min(plans, key=lambda plan: plan.cost)

    def _compute_rating_targets(self, request: ChoiceRequest) -> Targets:
        """Return the targets with the quality target replaced by the mean rating it requires."""
        targets = request.work_class.targets
        required = self._estimates.compute_required_rating(targets.quality)
        return targets if required == targets.quality else replace(targets, quality=required)

    def _find_escalated_estimate(self, second: Option) -> Estimate:
        return self._estimates.find(second.key.as_second_step)

    def _sample_plan(self, plan: Plan, options: list[Option]) -> ChosenVersion:
        match plan:
            case Single(option=option, reason=reason):
                return _make_chosen(option, reason, options)
            case Mixture(undecided=undecided, good=good, undecided_fraction=fraction):
                drawn = undecided if self._random.random() < fraction else good
                return _make_chosen(drawn, "mixture", options)
            case Cascade(first=first, second=second, cutoff=cutoff, cost=cost):
                considered = describe_options(options)
                considered.append(
                    f"cascade {first.version.id}, from score {cutoff.min_score:.3f} on, "
                    f"else {second.version.id}: cost={cost:.6f}"
                )
                escalation = Escalation(second.version, cutoff.min_score)
                return ChosenVersion(first.version, "cascade", cost, considered, escalation)

    def _choose_exploration(
        self,
        request: ChoiceRequest,
        usable: list[Option],
        judge_candidates: list[Option],
        rating_weight: float,
    ) -> Option | None:
        """Return a little-known version to explore, for a fraction of the requests."""
        target = self._compute_rating_targets(request).quality
        good = [o for o in usable if o.estimate.standing is Standing.GOOD]
        best = min(good, key=cost_order) if good else _most_promising(usable, target)
        if request.opens_session or self._random.random() >= _exploration_fraction(
            rating_weight, best, target
        ):
            return None
        undecided = [o for o in usable if o.estimate.standing is Standing.UNDECIDED]
        candidates = [o for o in (*undecided, *judge_candidates) if _is_worth_exploring(o, best)]
        if not candidates:
            return None
        weights = [_exploration_weight(o, best, target) for o in candidates]
        return self._random.choices(candidates, weights)[0]

    def _list_options(self, request: ChoiceRequest, configuration: Configuration) -> list[Option]:
        """Return the options with their costs for a request.

        Everything except the costs is cached until the configuration, a roll-out or an estimate
        changes, so that a decision takes microseconds.
        """
        cache, revision = self._cache, self._estimates.revision
        has_same_inputs = cache.configuration is configuration and cache.rollouts is self.rollouts
        if not has_same_inputs or cache.revision != revision:
            cache = self._cache = _OptionCache(configuration, self.rollouts, revision)
        # The key contains the versions that the account allows. A request that waited while
        # operators changed them would otherwise cache its outdated options for all later ones.
        account = request.account
        cache_key = (account.name, account.versions, request.work_class.name)
        options = cache.options.get(cache_key)
        if options is None:
            options = cache.options[cache_key] = self._build_options(request, configuration)
        for option in options:
            tokens = min(request.max_tokens, option.expected_output_tokens)
            option.cost = option.version.price.cost(request.prompt_tokens, tokens)
        if request.excluded_versions:
            return [
                option for option in options if option.version.id not in request.excluded_versions
            ]
        return options

    def _build_options(self, request: ChoiceRequest, configuration: Configuration) -> list[Option]:
        class_name = request.work_class.name
        offered = [
            version
            for version in configuration.document.allowed_versions(request.account)
            if not configuration.is_withdrawn(version.id)
        ]
        keys = [CellKey(class_name, version.id) for version in offered]
        estimates = [self._estimates.find(key) for key in keys]
        mean_tokens = _mean_output_tokens(estimates)
        has_incumbent = self._has_incumbent(class_name, configuration)
        return [
            Option(
                version,
                key,
                estimate,
                estimate.output_tokens or mean_tokens,
                self._find_exclusion(key, estimate, has_incumbent),
                f"{version.id} {estimate.standing.value}",
            )
            for version, key, estimate in zip(offered, keys, estimates, strict=True)
        ]

    def _find_exclusion(self, key: CellKey, estimate: Estimate, has_incumbent: bool) -> str:
        state = self.rollouts.find(key)
        if state.rejected:
            return f"rejected: {state.rejected}"
        is_serving = state.serves or not has_incumbent
        if estimate.is_bad(is_serving):
            return "bad" if is_serving else "bad on trial"
        if has_incumbent and not state.serves:
            return "roll-out"
        if estimate.is_poor:
            return "quality"
        return "latency" if estimate.is_slow else ""

    def _choose_rollout_option(
        self, request: ChoiceRequest, options: list[Option]
    ) -> Option | None:
        """Return a version in roll-out to which this host may still send requests.

        A session would keep the version and consume more than one request, so sessions open
        only on versions that are fully rolled out.
        """
        if request.opens_session:
            return None
        for option in options:
            if option.exclusion == "roll-out" and self._exposure.remaining(option.key) > 0:
                return option
        return None

    def _choose_fallback(self, request: ChoiceRequest, options: list[Option]) -> Choice:
        """Select a version, or refuse, when none meets the targets.

        Latency alone never leads to a refusal: under overload every version is slow, and all
        requests would be refused until the evidence had decayed.
        """
        considered = describe_options(options)
        candidates = [o for o in options if o.exclusion in ("", "latency", "quality", "bad")]
        if not candidates:
            return NoVersionMeetsTargets(considered)
        slow = [o for o in candidates if o.exclusion == "latency"]
        if slow:
            return _make_chosen(min(slow, key=cost_order), "best-effort", options)
        if request.work_class.unmet is UnmetTargetsPolicy.REFUSE:
            return NoVersionMeetsTargets(considered)
        best = max(candidates, key=lambda o: (o.estimate.mean_quality or 0.0, -o.cost))
        return _make_chosen(best, "best-effort", options)

    def _has_incumbent(self, class_name: str, configuration: Configuration) -> bool:
        """Tell whether some version serves the class; until one does, all are usable."""
        return any(
            self.rollouts.find(CellKey(class_name, version)).serves
            for version in configuration.document.versions
            if not configuration.is_withdrawn(version)
        )


def _mean_output_tokens(estimates: Sequence[Estimate]) -> float:
    lengths = [
        estimate.output_tokens for estimate in estimates if estimate.output_tokens is not None
    ]
    return sum(lengths) / len(lengths) if lengths else PRIOR_OUTPUT_TOKENS


def _most_promising(usable: Sequence[Option], target: float) -> Option:
    return max(usable, key=lambda option: _promise_order(option, target))


def _promise_order(option: Option, target: float) -> tuple[float, float]:
    """Return the sort key of versions of which none is shown good: expected quality, then cost.

    Without ratings the most expensive version comes first, because price hints at quality.
    """
    rating_weight = option.estimate.rating_weight
    rating_sum = rating_weight * (option.estimate.mean_quality or 0.0)
    return (rating_sum + PRIOR_RATING_WEIGHT * target) / (
        rating_weight + PRIOR_RATING_WEIGHT
    ), option.cost


def _exploration_fraction(rating_weight: float, best: Option, target: float) -> float:
    """Return the fraction of requests that explore little-known versions.

    Once a class has many ratings, its best version's surplus must make up for the exploration.
    """
    if rating_weight < FULL_EXPLORATION_RATINGS:
        return MAX_EXPLORATION_FRACTION
    surplus = max(0.0, quality_lower_bound(best) - target)
    covered_fraction = surplus / (surplus + UNKNOWN_QUALITY_DEFICIT)
    fraction = MAX_EXPLORATION_FRACTION * (FULL_EXPLORATION_RATINGS / rating_weight) ** 2
    return max(MIN_EXPLORATION_FRACTION, min(fraction, covered_fraction))


def _is_affordable(option: Option, request: ChoiceRequest) -> bool:
    return request.remaining_spend is None or option.cost <= request.remaining_spend


def _needs_judge_ratings(option: Option, targets: Targets) -> bool:
    """Tell whether a poor version might serve in a cascade but its judge needs more ratings."""
    estimate = option.estimate
    is_candidate = option.exclusion == "quality" and not estimate.first_step.is_judge_learnt
    return is_candidate and fits_first_token_target(estimate, targets)


def _is_worth_exploring(option: Option, best: Option) -> bool:
    return option.cost < best.cost and option.estimate.pending_ratings < MAX_PENDING_RATINGS


def _exploration_weight(option: Option, best: Option, target: float) -> float:
    """Return the cost that a version would save, weighted by how close it is to being good."""
    saving = 1.0 - option.cost / best.cost
    estimate = option.estimate
    if estimate.mean_quality is None:
        return saving
    # From 0 (almost shown poor) over 1 (at the target) to 2 (almost shown good).
    closeness = 1.0 + (estimate.mean_quality - target) / estimate.confidence_radius
    return saving * max(0.01, closeness) ** 3


def _make_chosen(option: Option, reason: str, options: list[Option]) -> ChosenVersion:
    return ChosenVersion(option.version, reason, option.cost, describe_options(options))
