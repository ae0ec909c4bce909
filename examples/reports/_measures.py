"""The users' three measures, and the promises, out of what callers saw."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from examples.reports._firms import Firm
from examples.reports._observations import ChatSeen, OperationSeen, Outcome
from examples.reports._phases import GOOD, Phase

# Sums of many amounts, rounded to six places in the statement.
AMOUNT_ERROR = 5e-6


@dataclass(frozen=True)
class ClassMeasures:
    """What one class got in one phase.

    Attributes
    ----------
    quality, target : float
        Mean true quality of the answers, and what the class asks.
    cost, oracle_cost, best_cost : float
        What its answers cost; what the cheapest version that meets the target and
        what the best version would have cost for the same tokens.
    first_ms, first_p95_ms, first_target_ms : float
        First token: median, 95 in 100, and the class's target.
    refused : dict of str to int
        Refusals and broken streams by reason.
    exposed : int
        Answers of the phase's bad version.
    """

    work_class: str
    asked: int
    answered: int
    quality: float
    target: float
    cost: float
    oracle_cost: float
    best_cost: float
    first_ms: float
    first_p95_ms: float
    first_target_ms: float
    refused: dict[str, int]
    exposed: int


def measure_phase(firm: Firm, phase: Phase, chats: Iterable[ChatSeen]) -> list[ClassMeasures]:
    """Return the measures of each class in a phase."""
    chats = [chat for chat in chats if chat.phase == phase.name]
    return [
        _measure_class(firm, phase, work.work_class, chats)
        for work in firm.work
        if any(chat.work_class == work.work_class for chat in chats)
    ]


def _measure_class(
    firm: Firm, phase: Phase, work_class: str, chats: list[ChatSeen]
) -> ClassMeasures:
    asked = [chat for chat in chats if chat.work_class == work_class]
    answered = [chat for chat in asked if chat.outcome is Outcome.ANSWERED]
    target = firm.target(work_class)
    first_ms = sorted(chat.first_s * 1000 for chat in answered)
    return ClassMeasures(
        work_class=work_class,
        asked=len(asked),
        answered=len(answered),
        quality=sum(chat.quality for chat in answered) / max(1, len(answered)),
        target=target,
        cost=sum(chat.cost for chat in answered),
        oracle_cost=_cost_with(firm, _oracle_version(firm, target), answered),
        best_cost=_cost_with(firm, max(GOOD, key=lambda version: GOOD[version]), answered),
        first_ms=_quantile(first_ms, 0.5),
        first_p95_ms=_quantile(first_ms, 0.95),
        first_target_ms=firm.first_token_target_s(work_class) * 1000,
        refused=dict(Counter(chat.reason for chat in asked if chat not in answered)),
        exposed=sum(chat.version == phase.exposes for chat in answered),
    )


def _oracle_version(firm: Firm, target: float) -> str:
    """Return the cheapest version that truly meets a target."""
    meeting = [version for version, quality in GOOD.items() if quality >= target]
    return min(meeting, key=lambda version: firm.cost(version, 1, 1))


def _cost_with(firm: Firm, version: str, chats: list[ChatSeen]) -> float:
    return sum(firm.cost(version, chat.prompt_tokens, chat.output_tokens) for chat in chats)


def _quantile(values: list[float], part: float) -> float:
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(part * len(values)))]


@dataclass(frozen=True)
class Promises:
    """What must hold over the whole run.

    Attributes
    ----------
    operations : int
        Keys that callers sent.
    doubled : list of str
        Keys with more than one effect.
    lost : list of str
        Keys that were answered as run and had no effect.
    untrue_not_run : list of str
        Keys whose last answer said "not run" and that had an effect.
    unknown : int
        Keys whose outcome is unknown.
    sent, answered, billed : int
        Chat requests and operations: sent, answered whole, and bills in the log.
    billed_amount, seen_amount : float
        The statement's sum for chat, and what callers work out for whole answers.
    """

    operations: int
    doubled: list[str]
    lost: list[str]
    untrue_not_run: list[str]
    unknown: int
    sent: int
    answered: int
    billed: int
    billed_amount: float
    seen_amount: float

    @property
    def broken(self) -> list[str]:
        """What did not hold, in words."""
        found = [f"effect doubled: {key}" for key in self.doubled]
        found += [f"effect lost: {key}" for key in self.lost]
        found += [f"'not run' untrue: {key}" for key in self.untrue_not_run]
        if not self.answered <= self.billed <= self.sent:
            found.append(f"{self.billed} bills for {self.answered} answers of {self.sent} requests")
        if self.billed_amount < self.seen_amount - AMOUNT_ERROR:
            found.append(f"billed {self.billed_amount:.6f}, whole answers {self.seen_amount:.6f}")
        return found


def check_operations(
    seen: list[OperationSeen], effects: Counter[str]
) -> tuple[list[str], list[str], list[str]]:
    """Return the keys whose effect was doubled, lost, or denied."""
    doubled = [key for key, count in effects.items() if count > 1]
    lost = [o.key for o in seen if o.outcome is Outcome.ANSWERED and not effects[o.key]]
    denied = [o.key for o in seen if o.outcome is Outcome.REFUSED and effects[o.key]]
    return doubled, lost, denied
