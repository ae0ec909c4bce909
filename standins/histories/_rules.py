"""The rules that every history must keep."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from standins.histories._events import AnswerKind, Effect, History

TOLD_RAN = (AnswerKind.RAN, AnswerKind.REPLAYED)


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that a history breaks, and where."""

    rule: str
    subject: str


def check_history(history: History) -> list[Violation]:
    """Return every violation of a history."""
    return [
        *_check_effects(history),
        *_check_refusals(history),
        *_check_answers(history),
        *_check_bills(history),
        *_check_final(history),
    ]


def _check_effects(history: History) -> Iterator[Violation]:
    """Find second effects of a key, effects of no request, and calls sent too late."""
    for key, count in Counter(effect.key for effect in history.effects).items():
        if count > 1:
            yield Violation("at most one effect a key", f"{key}: {count}")
    invoked = {(invoke.request_id, invoke.key) for invoke in history.invokes}
    for effect in history.effects:
        if (effect.request_id, effect.key) not in invoked:
            yield Violation("an effect belongs to a request", effect.request_id)
        elif effect.sent_at > history.deadlines.get(effect.request_id, effect.sent_at):
            yield Violation("nothing is sent after its deadline", effect.request_id)


def _check_refusals(history: History) -> Iterator[Violation]:
    """Find requests that were refused as not run and have an effect, then or later."""
    ran = {effect.request_id for effect in history.effects}
    for answer in history.answers:
        if answer.kind is AnswerKind.NOT_RUN and answer.request_id in ran:
            yield Violation("not run is true", f"{answer.request_id} ({answer.reason})")


def _check_answers(history: History) -> Iterator[Violation]:
    """Find answers that aren't the whole answer of their own key's effect, or come twice."""
    keys = {invoke.request_id: invoke.key for invoke in history.invokes}
    effects: dict[str, Effect] = {effect.key: effect for effect in history.effects}
    for request_id, count in Counter(a.request_id for a in history.answers).items():
        if count > 1:
            yield Violation("one answer a request", f"{request_id}: {count}")
    for answer in history.answers:
        if answer.request_id not in keys:
            yield Violation("an answer belongs to a request", answer.request_id)
            continue
        if answer.kind not in TOLD_RAN:
            continue
        effect = effects.get(keys[answer.request_id])
        if effect is None:
            yield Violation("what is told as ran has run", answer.request_id)
        elif effect.body != answer.body:
            yield Violation("an answer is whole and its own", answer.request_id)


def _check_bills(history: History) -> Iterator[Violation]:
    """Find requests that ran without a bill or with two, and bills of what didn't run."""
    if history.bills is None:
        return
    bills = Counter(bill.request_id for bill in history.bills)
    ran = {effect.request_id for effect in history.effects}
    for request_id, count in bills.items():
        if count > 1:
            yield Violation("one bill a request", f"{request_id}: {count}")
        if request_id not in ran:
            yield Violation("only what ran is billed", request_id)
    for answer in history.answers:
        is_excused = answer.request_id in history.kept_alone | history.lost_holders
        if answer.kind is AnswerKind.RAN and not bills[answer.request_id] and not is_excused:
            yield Violation("what was answered is billed", answer.request_id)


def _check_final(history: History) -> Iterator[Violation]:
    """Find keys that are not settled after the faults, or told as they aren't."""
    effects = {effect.key for effect in history.effects}
    for key, kind in history.final.items():
        if kind not in (*TOLD_RAN, AnswerKind.UNKNOWN):
            yield Violation("each key is settled at last", f"{key}: {kind.value}")
        if kind in TOLD_RAN and key not in effects:
            yield Violation("what is told as ran has run", key)
