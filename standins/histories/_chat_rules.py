"""The rules that every history of chats must keep."""

import re
from collections import Counter, defaultdict
from collections.abc import Iterator

from standins.histories._chat_events import (
    ChatAnswer,
    ChatEnd,
    ChatHistory,
    Granted,
    Terms,
    Withdrawn,
)
from standins.histories._rules import Violation

# A host that reaches the log, or a peer that does, knows of a withdrawal by then.
WITHDRAWAL_BOUND_S = 5.0
PROMPT_TOKENS = 3
PRICES = {"cheap:1": 1.0, "mid:1": 10.0, "dear:1": 100.0}
_TOKEN = re.compile(r"[^/ ]+/(\d+)/\d+ ")


def check_chats(history: ChatHistory) -> list[Violation]:
    """Return every violation of a history of chats."""
    return [
        *_check_configuration(history),
        *_check_grants(history),
        *_check_withdrawals(history),
        *_check_sessions(history),
        *_check_answers(history),
        *_check_bills(history),
        *_check_refusals(history),
        *(Violation("every message is answered", failed) for failed in history.failed),
    ]


def find_excused(history: ChatHistory) -> dict[str, str]:
    """Return the sessions that have two versions for a reason which the trace shows.

    A home that could not be asked, or that lost what it kept, up to the answer
    that differs. A session whose requests all carried its token has no excuse.
    """
    first: dict[str, ChatAnswer] = {}
    excused: dict[str, str] = {}
    for session, answer in _list_session_answers(history):
        known = first.setdefault(session, answer)
        if known.version == answer.version:
            continue
        for event in history.disturbed:
            if event.session in ("", session) and event.at <= answer.at:
                excused[session] = event.why
    return excused


def _check_configuration(history: ChatHistory) -> Iterator[Violation]:
    """Find hosts that had something else in force than the log says."""
    for event in history.in_force:
        if history.accepted.get(event.read_to) != event.terms:
            where = f"{event.host} at {event.at:.2f} s, read to {event.read_to}"
            yield Violation("what is in force is what the log says", where)


def _check_grants(history: ChatHistory) -> Iterator[Violation]:
    """Find attempts on versions that their account did not allow, or that were withdrawn."""
    accounts = {invoke.request_id: invoke.account for invoke in history.invokes}
    for grant, terms in _list_grants(history):
        allowed = terms.allowed.get(accounts[grant.request_id], frozenset()) if terms else ()
        where = f"{grant.request_id} on {grant.version} at {grant.host}, {grant.at:.2f} s"
        if grant.version not in allowed:
            yield Violation("an attempt's version is allowed", where)
        elif terms and grant.version not in terms.offered:
            yield Violation("no attempt on a withdrawn version", where)


def _list_grants(history: ChatHistory) -> Iterator[tuple[Granted, Terms | None]]:
    """Give each grant with the terms that its host had in force then."""
    terms: dict[str, Terms] = {}
    taken = 0
    for grant in history.granted:
        for event in history.in_force[taken : grant.after]:
            terms[event.host] = event.terms
        taken = grant.after
        yield grant, terms.get(grant.host)


def _check_withdrawals(history: ChatHistory) -> Iterator[Violation]:
    """Find attempts long after a withdrawal, at hosts that could have known."""
    for withdrawn in history.withdrawn:
        for grant in history.granted:
            if _is_late(history, withdrawn, grant):
                where = f"{grant.request_id} on {grant.version} at {grant.host}"
                yield Violation("a withdrawal is in force soon", where)


def _is_late(history: ChatHistory, withdrawn: Withdrawn, grant: Granted) -> bool:
    since = grant.at - WITHDRAWAL_BOUND_S
    is_in_time = grant.at < withdrawn.until and withdrawn.at < since
    if grant.version != withdrawn.version or not is_in_time:
        return False
    outages = history.out_of_reach.get(grant.host, [])
    return not any(begin < grant.at and end > since for begin, end in outages)


def _check_sessions(history: ChatHistory) -> Iterator[Violation]:
    """Find sessions with two versions without a cause, and tokens that were not kept to."""
    excused = find_excused(history)
    versions: dict[str, set[str]] = defaultdict(set)
    pinned = {invoke.request_id: invoke.pinned for invoke in history.invokes}
    for session, answer in _list_session_answers(history):
        versions[session].add(answer.version)
        if pinned[answer.request_id] not in ("", answer.version):
            yield Violation("a token's version is kept", answer.request_id)
    for session, found in versions.items():
        if len(found) > 1 and session not in excused:
            yield Violation("a session keeps its version", f"{session}: {sorted(found)}")


def _list_session_answers(history: ChatHistory) -> Iterator[tuple[str, ChatAnswer]]:
    sessions = {i.request_id: f"{i.account}/{i.session}" for i in history.invokes if i.session}
    for answer in history.answers:
        if answer.end is ChatEnd.WHOLE and answer.request_id in sessions:
            yield sessions[answer.request_id], answer


def _check_answers(history: ChatHistory) -> Iterator[Violation]:
    """Find answers that aren't one whole generation of their own request and version."""
    for request_id, count in Counter(answer.request_id for answer in history.answers).items():
        if count > 1:
            yield Violation("one answer a chat", request_id)
    for answer in history.answers:
        numbers = {int(number) for number in _TOKEN.findall(answer.text)}
        if len(numbers) > 1:
            yield Violation("an answer is of one generation", answer.request_id)
        elif answer.end is ChatEnd.WHOLE and not _is_whole(history, answer, numbers):
            yield Violation("a clean end is of a whole answer", answer.request_id)


def _is_whole(history: ChatHistory, answer: ChatAnswer, numbers: set[int]) -> bool:
    for number in numbers:
        generation = history.generations[number]
        is_own = _request_of(generation.engine_id) == answer.request_id
        return is_own and (generation.text, generation.version) == (answer.text, answer.version)
    return False


def _request_of(engine_id: str) -> str:
    """Return the request of an engine's id: a cascade's second step has one of its own."""
    return engine_id.removesuffix(".2")


def _check_bills(history: ChatHistory) -> Iterator[Violation]:
    """Find answered chats without exactly one bill, and bills of another usage."""
    bills = Counter(bill.request_id for bill in history.bills)
    amounts = {bill.request_id: bill.amount for bill in history.bills}
    ran = {began.request_id for began in history.began}
    for request_id, count in bills.items():
        if count > 1:
            yield Violation("one bill a chat", request_id)
        # A bill of nothing outweighs what peers may have billed for a refused chat.
        is_paid = amounts[request_id] > 0.0 and request_id not in history.finished_by_peers
        if request_id not in ran and is_paid:
            yield Violation("only a chat that ran is billed", request_id)
    for answer in history.answers:
        is_excused = answer.request_id in history.kept_alone | history.lost_holders
        if answer.end is not ChatEnd.WHOLE:
            continue
        if not bills[answer.request_id] and not is_excused:
            yield Violation("an answered chat is billed", answer.request_id)
        elif bills[answer.request_id] and not _is_own_amount(history, answer, amounts):
            yield Violation("a bill is of its own usage", answer.request_id)


def _is_own_amount(history: ChatHistory, answer: ChatAnswer, amounts: dict[str, float]) -> bool:
    """Compare a bill with the answer; a cascade's first answer is on the bill too."""
    numbers = {int(number) for number in _TOKEN.findall(answer.text)}
    last = [history.generations[number] for number in numbers]
    steps = [*last]
    if any(generation.engine_id.endswith(".2") for generation in last):
        own = {b.generation for b in history.began if b.request_id == answer.request_id}
        firsts = [history.generations[n] for n in sorted(own - numbers)]
        steps += [g for g in firsts if not g.engine_id.endswith(".2")][-1:]
    expected = sum(PRICES[step.version] * (PROMPT_TOKENS + step.length) for step in steps)
    return abs(amounts[answer.request_id] - expected) < 1e-6


def _check_refusals(history: ChatHistory) -> Iterator[Violation]:
    """Find chats that were refused as not run, and began at an engine then or later."""
    ran = {began.request_id for began in history.began}
    for answer in history.answers:
        if answer.end is ChatEnd.NOT_RUN and answer.request_id in ran:
            yield Violation(
                "a chat told as not run has not", f"{answer.request_id} {answer.reason}"
            )
