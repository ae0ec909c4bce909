"""Checks a history of operations against the rules on effects, answers and bills."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from standins.histories._events import AnswerKind, Effect, History

RAN_KINDS = (AnswerKind.RAN, AnswerKind.REPLAYED)


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that a history breaks, and the request, key or event that breaks it."""

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
    """Find repeated effects of a key, effects without a request, and calls sent too late."""
    for key, count in Counter(effect.key for effect in history.effects).items():
        if count > 1:
            yield Violation("at most one effect a key", f"{key}: {count}")
    invoked = {(invoke.request_id, invoke.key) for invoke in history.invokes}
    for effect in history.effects:
        if (effect.request_id, effect.key) not in invoked:
            yield Violation("an effect belongs to a request", effect.request_id)
        elif effect.sent_at_s > history.send_deadlines_s.get(effect.request_id, effect.sent_at_s):
            yield Violation("nothing is sent after its deadline", effect.request_id)


def _check_refusals(history: History) -> Iterator[Violation]:
    """Find requests reported as not run that have an effect at any time."""
    ran = {effect.request_id for effect in history.effects}
    for answer in history.answers:
        if answer.kind is AnswerKind.NOT_RUN and answer.request_id in ran:
            yield Violation("not run is true", f"{answer.request_id} ({answer.reason})")


def _check_answers(history: History) -> Iterator[Violation]:
    """Find repeated answers and answers that differ from the effect of their key."""
    keys = {invoke.request_id: invoke.key for invoke in history.invokes}
    effects: dict[str, Effect] = {effect.key: effect for effect in history.effects}
    for request_id, count in Counter(a.request_id for a in history.answers).items():
        if count > 1:
            yield Violation("one answer a request", f"{request_id}: {count}")
    for answer in history.answers:
        if answer.request_id not in keys:
            yield Violation("an answer belongs to a request", answer.request_id)
            continue
        if answer.kind not in RAN_KINDS:
            continue
        effect = effects.get(keys[answer.request_id])
        if effect is None:
            yield Violation("what is told as ran has run", answer.request_id)
        elif effect.body != answer.body:
            yield Violation("an answer is whole and its own", answer.request_id)


def _check_bills(history: History) -> Iterator[Violation]:
    """Find requests that ran without exactly one bill, and bills of requests that did not run."""
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
        is_excused = (
            answer.request_id in history.unreplicated_bills | history.bills_with_dead_holders
        )
        if answer.kind is AnswerKind.RAN and not bills[answer.request_id] and not is_excused:
            yield Violation("what was answered is billed", answer.request_id)


def _check_final(history: History) -> Iterator[Violation]:
    """Find keys without a final outcome after the faults, or with one that is not true."""
    effects = {effect.key for effect in history.effects}
    for key, kind in history.final_answers.items():
        if kind not in (*RAN_KINDS, AnswerKind.UNKNOWN):
            yield Violation("each key is settled at last", f"{key}: {kind.value}")
        if kind in RAN_KINDS and key not in effects:
            yield Violation("what is told as ran has run", key)
