"""Which version a request gets: the cheapest that meets the class target."""

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
from poplarrun.versions._cells import PRIOR_TOKENS, Estimate, Standing
from poplarrun.versions._estimates import Estimates
from poplarrun.versions._evidence import CellKey
from poplarrun.versions._exposure import ExposureBudget
from poplarrun.versions._plans import (
    Cascade,
    Mixture,
    Option,
    Plan,
    Single,
    by_cost,
    describe,
    find_cascades,
    find_mixtures,
    is_quick,
    lower_end,
)
from poplarrun.versions._rollouts import RolloutTable

# Ratings of a class up to which exploration stays at its most.
EXPLORED_RATINGS = 600.0
MOST_EXPLORATION = 0.4
LEAST_EXPLORATION = 0.005
# Answers of a version that may await a rating before it is tried again. Without
# this bound an outage of the rating service would keep exploring blindly.
MOST_AWAITED = 30.0
# How far below the target a version is taken to be while little is known of it.
DOUBT_OF_THE_UNKNOWN = 0.15
# Weight of the belief that an unrated version is as good as its class asks.
PRIOR_RATINGS = 3.0


@dataclass(frozen=True, slots=True)
class ChoiceRequest:
    """What is known of a request before it runs.

    Attributes
    ----------
    prompt_tokens, max_tokens : int
        Its length, and the bound of its answer.
    in_session : bool
        Whether it opens a session, which keeps the version.
    spend_left : float, optional
        What the client account may still spend; None without a limit.
    without : frozenset of VersionId
        Versions that have no room for it now.
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
        What answers when the first answer is not accepted.
    least_score : float
        The lowest judge's score with which the first answer is accepted.
    """

    version: Version
    min_score: float


@dataclass(frozen=True, slots=True)
class ChosenVersion:
    """The version for a request.

    Attributes
    ----------
    why : str
        Counter label: cheapest, mixture, cascade, learning, exploration, roll-out or best-effort.
    cost : float
        Expected cost, in account currency.
    considered : list of str
        Every version with what is known of it and why it was passed over.
    escalation : Escalation, optional
        The second step, when it is a cascade.
    """

    version: Version
    reason: str
    cost: float
    considered: list[str]
    escalation: Escalation | None = None


@dataclass(frozen=True, slots=True)
class NoVersionAllowed:
    """The client account has no offered version."""


@dataclass(frozen=True, slots=True)
class NoVersionMeetsTargets:
    """No allowed version meets the targets, and the class wants a refusal then."""

    considered: list[str]


@dataclass(frozen=True, slots=True)
class NoVersionAffordable:
    """Every version that could answer costs more than the account may still spend."""

    considered: list[str]


Choice = ChosenVersion | NoVersionAllowed | NoVersionMeetsTargets | NoVersionAffordable


@dataclass
class _Boards:
    """What is known of the options by account and class, until something changes."""

    configuration: Configuration | None = None
    rollouts: RolloutTable | None = None
    revision: int = -1
    options: dict[tuple[str, tuple[str, ...], str], list[Option]] = field(default_factory=dict)


class VersionSelector:
    """Chooses versions at one host.

    Parameters
    ----------
    estimates : Estimates
        What is known of the versions.
    exposure : Exposure
        This host's shares of the roll-outs.
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
        self._boards = _Boards()

    def choose(self, request: ChoiceRequest, configuration: Configuration) -> Choice:
        """Choose a version, and count it when it uses a share of a roll-out."""
        options = self._list_options(request, configuration)
        if not options:
            return NoVersionAllowed()
        payable = [o for o in options if _is_payable(o, request)]
        if not payable:
            return NoVersionAffordable(describe(options))
        new = self._find_rollout(request, payable)
        if new is not None:
            self._exposure.consume(new.key)
            return _chosen(new, "roll-out", options)
        targets = request.work_class.targets
        bound = targets.cost_per_request
        usable = [o for o in payable if not o.ruled_out and (bound is None or o.cost <= bound)]
        if not usable:
            return self._settle_for_less(request, payable)
        judged = [o for o in payable if _is_to_be_judged(o, targets)]
        rated = sum(option.estimate.rating_weight for option in options)
        tried = self._find_try(request, usable, judged, rated)
        if tried is not None:
            return _chosen(tried, "exploration", options)
        return self._draw(self._plan(request, usable, payable), options)

    def _plan(self, request: ChoiceRequest, usable: list[Option], payable: list[Option]) -> Plan:
        """Return the cheapest single version, mixture or cascade that meets the targets."""
        targets = self._want(request)
        good = [o for o in usable if o.estimate.standing is Standing.GOOD]
        if not good:
            return Single(_most_promising(usable, targets.quality), "learning")
        plans: list[Plan] = [Single(min(good, key=by_cost), "cheapest")]
        if not request.opens_session:
            plans += find_mixtures(usable, good, targets.quality)
            plans += find_cascades(payable, good, targets, self._find_escalated)
        return min(plans, key=lambda plan: plan.cost)

    def _want(self, request: ChoiceRequest) -> Targets:
        """Return the targets, with the rating that stands for the quality."""
        targets = request.work_class.targets
        wanted = self._estimates.compute_required_rating(targets.quality)
        return targets if wanted == targets.quality else replace(targets, quality=wanted)

    def _find_escalated(self, second: Option) -> Estimate:
        return self._estimates.find(second.key.as_second_step)

    def _draw(self, plan: Plan, options: list[Option]) -> ChosenVersion:
        match plan:
            case Single(option=option, why=why):
                return _chosen(option, why, options)
            case Mixture(doubtful=doubtful, cover=cover, share=share):
                drawn = doubtful if self._random.random() < share else cover
                return _chosen(drawn, "mixture", options)
            case Cascade(first=first, second=second, cut=cut, cost=cost):
                considered = describe(options)
                considered.append(
                    f"cascade {first.version.id}, from score {cut.min_score:.3f} on, "
                    f"else {second.version.id}: cost={cost:.6f}"
                )
                escalation = Escalation(second.version, cut.min_score)
                return ChosenVersion(first.version, "cascade", cost, considered, escalation)

    def _find_try(
        self,
        request: ChoiceRequest,
        usable: list[Option],
        judged: list[Option],
        rated: float,
    ) -> Option | None:
        """Return a version of which little is known, for a share of the requests."""
        target = self._want(request).quality
        good = [o for o in usable if o.estimate.standing is Standing.GOOD]
        best = min(good, key=by_cost) if good else _most_promising(usable, target)
        if request.opens_session or self._random.random() >= _exploration(rated, best, target):
            return None
        unknown = [o for o in usable if o.estimate.standing is Standing.UNDECIDED]
        tries = [o for o in (*unknown, *judged) if _is_worth_a_try(o, best)]
        if not tries:
            return None
        weights = [_hope(o, best, target) for o in tries]
        return self._random.choices(tries, weights)[0]

    def _list_options(self, request: ChoiceRequest, configuration: Configuration) -> list[Option]:
        """Return the options with their costs for a request.

        All but the costs is kept until the configuration, a roll-out or an
        estimate changes, so that a decision takes microseconds.
        """
        boards, revision = self._boards, self._estimates.revision
        is_same = boards.configuration is configuration and boards.rollouts is self.rollouts
        if not is_same or boards.revision != revision:
            boards = self._boards = _Boards(configuration, self.rollouts, revision)
        # What the account allows is in the key: a caller that waited while operators
        # changed it would leave its own options here, for all later requests.
        account = request.account
        place = (account.name, account.versions, request.work_class.name)
        options = boards.options.get(place)
        if options is None:
            options = boards.options[place] = self._make_options(request, configuration)
        for option in options:
            tokens = min(request.max_tokens, option.tokens)
            option.cost = option.version.price.cost(request.prompt_tokens, tokens)
        if request.excluded_versions:
            return [
                option for option in options if option.version.id not in request.excluded_versions
            ]
        return options

    def _make_options(self, request: ChoiceRequest, configuration: Configuration) -> list[Option]:
        class_name = request.work_class.name
        offered = [
            version
            for version in configuration.document.allowed_versions(request.account)
            if not configuration.is_withdrawn(version.id)
        ]
        keys = [CellKey(class_name, version.id) for version in offered]
        known = [self._estimates.find(key) for key in keys]
        typical = _typical_tokens(known)
        in_service = self._has_incumbent(class_name, configuration)
        return [
            Option(
                version,
                key,
                estimate,
                estimate.output_tokens or typical,
                self._rule_out(key, estimate, in_service),
                f"{version.id} {estimate.standing.value}",
            )
            for version, key, estimate in zip(offered, keys, known, strict=True)
        ]

    def _rule_out(self, key: CellKey, estimate: Estimate, in_service: bool) -> str:
        state = self.rollouts.find(key)
        if state.rejected:
            return f"rejected: {state.rejected}"
        is_serving = state.serves or not in_service
        if estimate.is_bad(is_serving):
            return "bad" if is_serving else "bad on trial"
        if in_service and not state.serves:
            return "roll-out"
        if estimate.is_poor:
            return "quality"
        return "latency" if estimate.is_slow else ""

    def _find_rollout(self, request: ChoiceRequest, options: list[Option]) -> Option | None:
        """Return a version in roll-out of which this host has requests left.

        A session would keep the version and use up more than the one request,
        so sessions open only on versions that are fully rolled out.
        """
        if request.opens_session:
            return None
        for option in options:
            if option.ruled_out == "roll-out" and self._exposure.remaining(option.key) > 0:
                return option
        return None

    def _settle_for_less(self, request: ChoiceRequest, options: list[Option]) -> Choice:
        """Decide when no version meets the targets.

        Latency alone never refuses: under overload every version looks slow,
        and refusing all would last until the evidence had aged.
        """
        considered = describe(options)
        left = [o for o in options if o.ruled_out in ("", "latency", "quality", "bad")]
        if not left:
            return NoVersionMeetsTargets(considered)
        slow = [o for o in left if o.ruled_out == "latency"]
        if slow:
            return _chosen(min(slow, key=by_cost), "best-effort", options)
        if request.work_class.unmet is UnmetTargetsPolicy.REFUSE:
            return NoVersionMeetsTargets(considered)
        best = max(left, key=lambda o: (o.estimate.mean_quality or 0.0, -o.cost))
        return _chosen(best, "best-effort", options)

    def _has_incumbent(self, class_name: str, configuration: Configuration) -> bool:
        """Tell whether some version serves the class; before that, all are usable."""
        return any(
            self.rollouts.find(CellKey(class_name, version)).serves
            for version in configuration.document.versions
            if not configuration.is_withdrawn(version)
        )


def _typical_tokens(known: Sequence[Estimate]) -> float:
    seen = [estimate.output_tokens for estimate in known if estimate.output_tokens is not None]
    return sum(seen) / len(seen) if seen else PRIOR_TOKENS


def _most_promising(usable: Sequence[Option], target: float) -> Option:
    return max(usable, key=lambda option: _promise(option, target))


def _promise(option: Option, target: float) -> tuple[float, float]:
    """Rank versions of which none is shown good: the expected quality, then the price.

    Nothing being known, the dearest comes first: prices say something of quality.
    """
    rated = option.estimate.rating_weight
    seen = rated * (option.estimate.mean_quality or 0.0)
    return (seen + PRIOR_RATINGS * target) / (rated + PRIOR_RATINGS), option.cost


def _exploration(rated: float, best: Option, target: float) -> float:
    """Return the share of requests that try versions of which little is known.

    Once a class is learnt, its best version's surplus must make up for the tries.
    """
    if rated < EXPLORED_RATINGS:
        return MOST_EXPLORATION
    surplus = max(0.0, lower_end(best) - target)
    covered = surplus / (surplus + DOUBT_OF_THE_UNKNOWN)
    share = MOST_EXPLORATION * (EXPLORED_RATINGS / rated) ** 2
    return max(LEAST_EXPLORATION, min(share, covered))


def _is_payable(option: Option, request: ChoiceRequest) -> bool:
    return request.remaining_spend is None or option.cost <= request.remaining_spend


def _is_to_be_judged(option: Option, targets: Targets) -> bool:
    """Tell whether a poor version may serve in a cascade, once enough is known of its judge."""
    known = option.estimate
    is_open = option.ruled_out == "quality" and not known.first_step.is_learnt
    return is_open and is_quick(known, targets)


def _is_worth_a_try(option: Option, best: Option) -> bool:
    return option.cost < best.cost and option.estimate.pending_ratings < MOST_AWAITED


def _hope(option: Option, best: Option, target: float) -> float:
    """Weigh what a version would save by how near it is to being shown good."""
    saving = 1.0 - option.cost / best.cost
    known = option.estimate
    if known.mean_quality is None:
        return saving
    # From 0 (all but shown poor) over 1 (just at the target) to 2 (all but shown good).
    nearness = 1.0 + (known.mean_quality - target) / known.confidence_radius
    return saving * max(0.01, nearness) ** 3


def _chosen(option: Option, why: str, options: list[Option]) -> ChosenVersion:
    return ChosenVersion(option.version, why, option.cost, describe(options))
