"""Checks a history of chats against the rules on versions, sessions, answers and bills."""

import re
from collections import Counter, defaultdict
from collections.abc import Iterator

from standins.histories._chat_events import (
    AttemptGranted,
    ChatAnswer,
    ChatEnd,
    ChatHistory,
    VersionPolicy,
    VersionWithdrawn,
)
from standins.histories._rules import Violation

# A host that reaches the log, directly or through a peer, applies a withdrawal within this.
MAX_WITHDRAWAL_DELAY_S = 5.0
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
        *(Violation("every message is answered", failed) for failed in history.failed_messages),
    ]


def find_excused_sessions(history: ChatHistory) -> dict[str, str]:
    """Return the cause for each session whose change of version the history explains.

    A change is excused if, before the differing answer, a session owner could not be
    queried or lost its state. No cause excuses an answer that ignores a session token,
    which is a rule of its own.
    """
    first: dict[str, ChatAnswer] = {}
    excused: dict[str, str] = {}
    for session, answer in _list_session_answers(history):
        known = first.setdefault(session, answer)
        if known.version == answer.version:
            continue
        for event in history.session_disruptions:
            if event.session in ("", session) and event.at_s <= answer.at_s:
                excused[session] = event.cause
    return excused


def _check_configuration(history: ChatHistory) -> Iterator[Violation]:
    """Find hosts that applied a configuration other than the log's."""
    for event in history.configurations_applied:
        if history.accepted.get(event.read_to) != event.policy:
            where = f"{event.host} at {event.at_s:.2f} s, read to {event.read_to}"
            yield Violation("what is in force is what the log says", where)


def _check_grants(history: ChatHistory) -> Iterator[Violation]:
    """Find attempts on versions that the account may not use or that were withdrawn."""
    accounts = {invoke.request_id: invoke.account for invoke in history.invokes}
    for grant, policy in _list_grants(history):
        allowed = policy.allowed.get(accounts[grant.request_id], frozenset()) if policy else ()
        where = f"{grant.request_id} on {grant.version} at {grant.host}, {grant.at_s:.2f} s"
        if grant.version not in allowed:
            yield Violation("an attempt's version is allowed", where)
        elif policy and grant.version not in policy.offered:
            yield Violation("no attempt on a withdrawn version", where)


def _list_grants(history: ChatHistory) -> Iterator[tuple[AttemptGranted, VersionPolicy | None]]:
    """Yield each grant with the policy that its host had applied by then."""
    policies: dict[str, VersionPolicy] = {}
    applied_count = 0
    for grant in history.attempts_granted:
        for event in history.configurations_applied[applied_count : grant.applied_count]:
            policies[event.host] = event.policy
        applied_count = grant.applied_count
        yield grant, policies.get(grant.host)


def _check_withdrawals(history: ChatHistory) -> Iterator[Violation]:
    """Find attempts granted too long after a withdrawal by hosts that could reach the log."""
    for withdrawn in history.version_withdrawals:
        for grant in history.attempts_granted:
            if _is_late(history, withdrawn, grant):
                where = f"{grant.request_id} on {grant.version} at {grant.host}"
                yield Violation("a withdrawal is in force soon", where)


def _is_late(history: ChatHistory, withdrawn: VersionWithdrawn, grant: AttemptGranted) -> bool:
    since = grant.at_s - MAX_WITHDRAWAL_DELAY_S
    is_in_time = grant.at_s < withdrawn.until_s and withdrawn.at_s < since
    if grant.version != withdrawn.version or not is_in_time:
        return False
    outages = history.out_of_reach.get(grant.host, [])
    return not any(begin < grant.at_s and end > since for begin, end in outages)


def _check_sessions(history: ChatHistory) -> Iterator[Violation]:
    """Find unexplained changes of a session's version and answers that ignore a pinned version."""
    excused = find_excused_sessions(history)
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
        if answer.end is ChatEnd.COMPLETE and answer.request_id in sessions:
            yield sessions[answer.request_id], answer


def _check_answers(history: ChatHistory) -> Iterator[Violation]:
    """Find answers that mix generations, are incomplete, or belong to another request."""
    for request_id, count in Counter(answer.request_id for answer in history.answers).items():
        if count > 1:
            yield Violation("one answer a chat", request_id)
    for answer in history.answers:
        numbers = {int(number) for number in _TOKEN.findall(answer.text)}
        if len(numbers) > 1:
            yield Violation("an answer is of one generation", answer.request_id)
        elif answer.end is ChatEnd.COMPLETE and not _is_whole(history, answer, numbers):
            yield Violation("a clean end is of a whole answer", answer.request_id)


def _is_whole(history: ChatHistory, answer: ChatAnswer, numbers: set[int]) -> bool:
    for number in numbers:
        generation = history.generations[number]
        is_own = _parse_request_id(generation.engine_id) == answer.request_id
        return is_own and (generation.text, generation.version) == (answer.text, answer.version)
    return False


def _parse_request_id(engine_id: str) -> str:
    """Return the request id without the suffix that marks a cascade's second step."""
    return engine_id.removesuffix(".2")


def _check_bills(history: ChatHistory) -> Iterator[Violation]:
    """Find answered chats without exactly one bill, and bills that do not match the usage."""
    bills = Counter(bill.request_id for bill in history.bills)
    amounts = {bill.request_id: bill.amount for bill in history.bills}
    ran = {start.request_id for start in history.generation_starts}
    for request_id, count in bills.items():
        if count > 1:
            yield Violation("one bill a chat", request_id)
        # Zero bills are allowed: they override bills that peers made for a refused chat.
        is_paid = amounts[request_id] > 0.0 and request_id not in history.bills_adopted_by_peers
        if request_id not in ran and is_paid:
            yield Violation("only a chat that ran is billed", request_id)
    for answer in history.answers:
        is_excused = (
            answer.request_id in history.unreplicated_bills | history.bills_with_dead_holders
        )
        if answer.end is not ChatEnd.COMPLETE:
            continue
        if not bills[answer.request_id] and not is_excused:
            yield Violation("an answered chat is billed", answer.request_id)
        elif bills[answer.request_id] and not _is_own_amount(history, answer, amounts):
            yield Violation("a bill is of its own usage", answer.request_id)


def _is_own_amount(history: ChatHistory, answer: ChatAnswer, amounts: dict[str, float]) -> bool:
    """Compare a bill with the usage, which includes the first answer of a cascade."""
    numbers = {int(number) for number in _TOKEN.findall(answer.text)}
    last = [history.generations[number] for number in numbers]
    steps = [*last]
    if any(generation.engine_id.endswith(".2") for generation in last):
        own = {b.generation for b in history.generation_starts if b.request_id == answer.request_id}
        firsts = [history.generations[n] for n in sorted(own - numbers)]
        steps += [g for g in firsts if not g.engine_id.endswith(".2")][-1:]
    expected = sum(PRICES[step.version] * (PROMPT_TOKENS + step.length) for step in steps)
    return abs(amounts[answer.request_id] - expected) < 1e-6


def _check_refusals(history: ChatHistory) -> Iterator[Violation]:
    """Find chats reported as not run for which an engine started a generation at any time."""
    ran = {start.request_id for start in history.generation_starts}
    for answer in history.answers:
        if answer.end is ChatEnd.NOT_RUN and answer.request_id in ran:
            yield Violation(
                "a chat told as not run has not", f"{answer.request_id} {answer.reason}"
            )
