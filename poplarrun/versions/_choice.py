"""Which version a request gets: the cheapest that meets the class target."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from poplarrun.config import Configuration
from poplarrun.contracts import ClientAccount, Document, Unmet, Version, VersionId, WorkClass
from poplarrun.versions._estimates import PRIOR_TOKENS, Estimate, Estimates, Standing
from poplarrun.versions._evidence import CellKey
from poplarrun.versions._exposure import Exposure
from poplarrun.versions._rollouts import Rollouts

# Ratings of a class after which exploration slows down.
EXPLORED_RATINGS = 40.0
MOST_EXPLORATION = 0.25
LEAST_EXPLORATION = 0.005
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
    in_session: bool = False
    spend_left: float | None = None
    without: frozenset[VersionId] = frozenset()


@dataclass(frozen=True, slots=True)
class Chosen:
    """The version for a request.

    Attributes
    ----------
    why : str
        Counter label: cheapest, learning, exploration, roll-out or best-effort.
    cost : float
        Expected cost, in account currency.
    considered : list of str
        Every version with what is known of it and why it was passed over.
    """

    version: Version
    why: str
    cost: float
    considered: list[str]


@dataclass(frozen=True, slots=True)
class NothingAllowed:
    """The client account has no offered version."""


@dataclass(frozen=True, slots=True)
class NothingMeets:
    """No allowed version meets the targets, and the class wants a refusal then."""

    considered: list[str]


@dataclass(frozen=True, slots=True)
class NothingAffordable:
    """Every version that could answer costs more than the account may still spend."""

    considered: list[str]


Choice = Chosen | NothingAllowed | NothingMeets | NothingAffordable


@dataclass(slots=True)
class _Option:
    version: Version
    key: CellKey
    estimate: Estimate
    cost: float
    ruled_out: str = ""


@dataclass
class _Allowed:
    """The allowed versions of each account under one document."""

    document: Document = field(default_factory=Document)
    by_account: dict[str, list[Version]] = field(default_factory=dict)
    keys: dict[tuple[str, VersionId], CellKey] = field(default_factory=dict)


class Selector:
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

    def __init__(self, estimates: Estimates, exposure: Exposure, source: random.Random) -> None:
        self.rollouts = Rollouts()
        self._estimates = estimates
        self._exposure = exposure
        self._random = source
        self._allowed = _Allowed()

    def choose(self, request: ChoiceRequest, configuration: Configuration) -> Choice:
        """Choose a version, and count it when it uses a share of a roll-out."""
        options = self._list_options(request, configuration)
        if not options:
            return NothingAllowed()
        new = self._find_rollout(request, options)
        if new is not None:
            self._exposure.use(new.key)
            return _chosen(new, "roll-out", options)
        usable = [option for option in options if not option.ruled_out]
        if not usable:
            return self._settle_for_less(request, options)
        option, why = self._weigh(request, usable)
        return _chosen(option, why, options)

    def _list_options(self, request: ChoiceRequest, configuration: Configuration) -> list[_Option]:
        class_name = request.work_class.name
        offered = [
            version
            for version in self._versions_of(request.account, configuration.document)
            if version.id not in request.without and not configuration.is_withdrawn(version.id)
        ]
        keys = [self._key(class_name, version.id) for version in offered]
        known = [self._estimates.find(key) for key in keys]
        typical = _typical_tokens(known)
        options = []
        for version, key, estimate in zip(offered, keys, known, strict=True):
            tokens = min(request.max_tokens, estimate.output_tokens or typical)
            cost = version.price.cost(request.prompt_tokens, tokens)
            options.append(_Option(version, key, estimate, cost))
        in_service = self._has_incumbent(class_name, configuration)
        for option in options:
            option.ruled_out = self._rule_out(option, request, in_service)
        return options

    def _rule_out(self, option: _Option, request: ChoiceRequest, in_service: bool) -> str:
        state = self.rollouts.find(option.key)
        bound = request.work_class.targets.cost_per_request
        if state.rejected:
            return f"rejected: {state.rejected}"
        if request.spend_left is not None and option.cost > request.spend_left:
            return "spend limit"
        if option.estimate.standing is Standing.BAD:
            return "bad"
        if in_service and not state.serves:
            return "roll-out"
        if option.estimate.standing is Standing.POOR:
            return "quality"
        if option.estimate.slow:
            return "latency"
        if bound is not None and option.cost > bound:
            return "cost target"
        return ""

    def _find_rollout(self, request: ChoiceRequest, options: list[_Option]) -> _Option | None:
        """Return a version in roll-out of which this host has requests left.

        A session would keep the version and use up more than the one request,
        so sessions open only on versions that are fully rolled out.
        """
        if request.in_session:
            return None
        for option in options:
            if option.ruled_out == "roll-out" and self._exposure.left(option.key) > 0:
                return option
        return None

    def _weigh(self, request: ChoiceRequest, usable: list[_Option]) -> tuple[_Option, str]:
        good = [o for o in usable if o.estimate.standing is Standing.GOOD]
        if good:
            best, why = min(good, key=_by_cost), "cheapest"
        else:
            target = request.work_class.targets.quality
            best, why = max(usable, key=lambda o: _promise(o, target)), "learning"
        unknown = [
            o
            for o in usable
            if o.estimate.standing is Standing.UNDECIDED and o.cost < best.cost and o is not best
        ]
        if not unknown or request.in_session or self._random.random() >= _exploration(usable):
            return best, why
        return min(unknown, key=lambda o: (o.estimate.rated, o.cost)), "exploration"

    def _settle_for_less(self, request: ChoiceRequest, options: list[_Option]) -> Choice:
        """Decide when no version meets the targets.

        Latency alone never refuses: under overload every version looks slow,
        and refusing all would last until the evidence had aged.
        """
        considered = _describe(options)
        left = [o for o in options if o.ruled_out in ("latency", "cost target", "quality", "bad")]
        if not left:
            limited = any(o.ruled_out == "spend limit" for o in options)
            return NothingAffordable(considered) if limited else NothingMeets(considered)
        late = [o for o in left if o.ruled_out == "latency"]
        if late:
            return Chosen(*_pair(min(late, key=_by_cost)), considered)
        if request.work_class.unmet is Unmet.REFUSE:
            return NothingMeets(considered)
        best = max(left, key=lambda o: (o.estimate.mean_quality or 0.0, -o.cost))
        return Chosen(*_pair(best), considered)

    def _versions_of(self, account: ClientAccount, document: Document) -> list[Version]:
        if self._allowed.document is not document:
            self._allowed = _Allowed(document)
        found = self._allowed.by_account.get(account.name)
        if found is None:
            found = self._allowed.by_account[account.name] = document.allowed_versions(account)
        return found

    def _key(self, class_name: str, version: VersionId) -> CellKey:
        key = self._allowed.keys.get((class_name, version))
        if key is None:
            key = self._allowed.keys[(class_name, version)] = CellKey(class_name, version)
        return key

    def _has_incumbent(self, class_name: str, configuration: Configuration) -> bool:
        """Tell whether some version serves the class; before that, all are usable."""
        return any(
            self.rollouts.find(self._key(class_name, version)).serves
            for version in configuration.document.versions
            if not configuration.is_withdrawn(version)
        )


def _typical_tokens(known: Sequence[Estimate]) -> float:
    seen = [estimate.output_tokens for estimate in known if estimate.output_tokens is not None]
    return sum(seen) / len(seen) if seen else PRIOR_TOKENS


def _by_cost(option: _Option) -> tuple[float, VersionId]:
    return option.cost, option.version.id


def _promise(option: _Option, target: float) -> tuple[float, float]:
    """Rank versions of which none is shown good: the expected quality, then the price.

    Nothing being known, the dearest comes first: prices say something of quality.
    """
    rated = option.estimate.rated
    seen = rated * (option.estimate.mean_quality or 0.0)
    return (seen + PRIOR_RATINGS * target) / (rated + PRIOR_RATINGS), option.cost


def _exploration(usable: Sequence[_Option]) -> float:
    rated = sum(option.estimate.rated for option in usable)
    share = EXPLORED_RATINGS / max(1.0, rated)
    return min(MOST_EXPLORATION, max(LEAST_EXPLORATION, share))


def _pair(option: _Option) -> tuple[Version, str, float]:
    return option.version, "best-effort", option.cost


def _chosen(option: _Option, why: str, options: list[_Option]) -> Chosen:
    return Chosen(option.version, why, option.cost, _describe(options))


def _describe(options: Sequence[_Option]) -> list[str]:
    return [
        f"{o.version.id} {o.estimate.standing.value} cost={o.cost:.6f} {o.ruled_out or 'usable'}"
        for o in options
    ]
