"""Computes quality, cost and latency of each class, and checks the system's guarantees."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from examples.reports._firms import Firm
from examples.reports._observations import ChatObservation, OperationObservation, Outcome
from examples.reports._phases import TRUE_QUALITIES, Phase

# Tolerance for sums of many amounts, which the statement rounds to six decimal places.
AMOUNT_TOLERANCE = 5e-6


@dataclass(frozen=True)
class ClassMeasures:
    """Quality, cost and latency of one class in one phase.

    Attributes
    ----------
    quality, target : float
        Mean true quality of the answers, and the target of the class, from 0 to 1.
    cost, oracle_cost, best_cost : float
        Actual cost of the answers; cost of the same tokens on the cheapest version that
        meets the target, and on the version of the highest quality.
    first_ms, first_p95_ms, first_target_ms : float
        Milliseconds to the first token: median, 95th percentile, and target of the class.
    refused : dict of str to int
        Number of refusals and broken streams by reason.
    exposed : int
        Number of answers by the bad version of the phase.
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


def measure_phase(
    firm: Firm, phase: Phase, chats: Iterable[ChatObservation]
) -> list[ClassMeasures]:
    """Return the measures of each class that sent requests in a phase."""
    chats = [chat for chat in chats if chat.phase == phase.name]
    return [
        _measure_class(firm, phase, load.work_class, chats)
        for load in firm.chat_loads
        if any(chat.work_class == load.work_class for chat in chats)
    ]


def _measure_class(
    firm: Firm, phase: Phase, work_class: str, chats: list[ChatObservation]
) -> ClassMeasures:
    asked = [chat for chat in chats if chat.work_class == work_class]
    answered = [chat for chat in asked if chat.outcome is Outcome.ANSWERED]
    target = firm.quality_target(work_class)
    first_token_ms = sorted(chat.first_token_s * 1000 for chat in answered)
    return ClassMeasures(
        work_class=work_class,
        asked=len(asked),
        answered=len(answered),
        quality=sum(chat.quality for chat in answered) / max(1, len(answered)),
        target=target,
        cost=sum(chat.cost for chat in answered),
        oracle_cost=_cost_on_version(firm, _oracle_version(firm, target), answered),
        best_cost=_cost_on_version(
            firm, max(TRUE_QUALITIES, key=lambda version: TRUE_QUALITIES[version]), answered
        ),
        first_ms=_quantile(first_token_ms, 0.5),
        first_p95_ms=_quantile(first_token_ms, 0.95),
        first_target_ms=firm.first_token_target_s(work_class) * 1000,
        refused=dict(Counter(chat.reason for chat in asked if chat not in answered)),
        exposed=sum(chat.version == phase.bad_version for chat in answered),
    )


def _oracle_version(firm: Firm, target: float) -> str:
    """Return the cheapest version whose true quality meets a target."""
    sufficient = [version for version, quality in TRUE_QUALITIES.items() if quality >= target]
    return min(sufficient, key=lambda version: firm.compute_cost(version, 1, 1))


def _cost_on_version(firm: Firm, version: str, chats: list[ChatObservation]) -> float:
    return sum(firm.compute_cost(version, chat.prompt_tokens, chat.output_tokens) for chat in chats)


def _quantile(sorted_values: list[float], fraction: float) -> float:
    if not sorted_values:
        return 0.0
    return sorted_values[min(len(sorted_values) - 1, int(fraction * len(sorted_values)))]


@dataclass(frozen=True)
class Guarantees:
    """Results of a whole run against which the guarantees are checked.

    Attributes
    ----------
    operations : int
        Number of idempotency keys that callers sent.
    doubled : list of str
        Keys with more than one effect.
    lost : list of str
        Keys whose caller got an answer although the operation had no effect.
    untrue_not_run : list of str
        Keys whose last answer was "not run" although the operation had an effect.
    unknown : int
        Number of keys whose outcome stayed unknown to the caller.
    sent, answered, billed : int
        Numbers of chat requests and operations: sent, answered completely, and billed in the log.
    billed_amount, seen_amount : float
        The chat total of the statement, and the total that callers compute for complete answers.
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
    def violations(self) -> list[str]:
        """Descriptions of the guarantees that did not hold."""
        violations = [f"effect doubled: {key}" for key in self.doubled]
        violations += [f"effect lost: {key}" for key in self.lost]
        violations += [f"'not run' untrue: {key}" for key in self.untrue_not_run]
        if not self.answered <= self.billed <= self.sent:
            violations.append(
                f"{self.billed} bills for {self.answered} answers of {self.sent} requests"
            )
        if self.billed_amount < self.seen_amount - AMOUNT_TOLERANCE:
            violations.append(
                f"billed {self.billed_amount:.6f}, whole answers {self.seen_amount:.6f}"
            )
        return violations


def find_operation_violations(
    operations: list[OperationObservation], effects: Counter[str]
) -> tuple[list[str], list[str], list[str]]:
    """Return the keys with several effects, with a lost effect, and with an untrue "not run"."""
    doubled = [key for key, count in effects.items() if count > 1]
    lost = [o.key for o in operations if o.outcome is Outcome.ANSWERED and not effects[o.key]]
    untrue_not_run = [o.key for o in operations if o.outcome is Outcome.REFUSED and effects[o.key]]
    return doubled, lost, untrue_not_run
