from dataclasses import replace

from behave import given, then, when

from standins.histories import (
    Began,
    BillRecorded,
    ChatAnswer,
    ChatEnd,
    ChatHistory,
    ChatInvoke,
    Disturbed,
    Generation,
    Granted,
    InForce,
    Terms,
    Withdrawn,
    check_chats,
    run_chats,
)

ALL = frozenset({"cheap:1", "mid:1", "dear:1"})
TERMS = Terms(ALL, {"shop": ALL})
FIRST = Generation(0, "c1", "cheap:1", 2)
SECOND = Generation(1, "c2", "cheap:1", 3)
POOR = Generation(2, "c3", "cheap:1", 2)
BETTER = Generation(3, "c3.2", "dear:1", 2)


def answer(generation, request_id, at):
    return ChatAnswer(at, request_id, ChatEnd.WHOLE, generation.text, generation.version)


@given("a valid history of chats")
def step_good(context):
    context.chats = ChatHistory(
        invokes=[
            ChatInvoke(1.0, "c1", "shop", "a1", "s"),
            ChatInvoke(2.0, "c2", "shop", "b1", "s", "cheap:1"),
            ChatInvoke(3.0, "c3", "shop", "a1"),
            ChatInvoke(4.0, "c4", "shop", "a1"),
        ],
        in_force=[InForce(0.0, "a1", 0, TERMS), InForce(0.0, "b1", 0, TERMS)],
        granted=[
            Granted(1.0, "c1", "a1", "cheap:1", 2),
            Granted(2.0, "c2", "b1", "cheap:1", 2),
            Granted(3.0, "c3", "a1", "cheap:1", 2),
            Granted(3.2, "c3", "a1", "dear:1", 2),
        ],
        began=[
            Began(1.0, "c1", 0, "cheap:1"),
            Began(2.0, "c2", 1, "cheap:1"),
            Began(3.0, "c3", 2, "cheap:1"),
            Began(3.2, "c3", 3, "dear:1"),
        ],
        accepted={0: TERMS},
        generations={g.number: g for g in (FIRST, SECOND, POOR, BETTER)},
        answers=[
            answer(FIRST, "c1", 1.5),
            answer(SECOND, "c2", 2.5),
            answer(BETTER, "c3", 3.5),
            ChatAnswer(4.0, "c4", ChatEnd.NOT_RUN, reason="no_endpoint"),
        ],
        bills=[BillRecorded("c1", 5.0), BillRecorded("c2", 6.0), BillRecorded("c3", 505.0)],
    )


def move_session(history):
    """Let the session's second request run, and be billed, on another version."""
    history.invokes[1] = replace(history.invokes[1], pinned="")
    moved = history.generations[1] = replace(SECOND, version="mid:1")
    history.answers[1] = answer(moved, "c2", 2.5)
    history.bills[1] = BillRecorded("c2", 60.0)


def withdraw(history, at):
    history.withdrawn.append(Withdrawn(at, "dear:1", 100.0))
    history.granted.append(Granted(at + 6.0, "c3", "a1", "dear:1", 2))


@when("the chats are modified with {fault}")
def step_modify(context, fault):
    history = context.chats
    match fault:
        case "nothing":
            pass
        case "a version that the account lost":
            narrow = Terms(ALL, {"shop": ALL - {"dear:1"}})
            history.accepted[1] = narrow
            history.in_force.append(InForce(3.1, "a1", 1, narrow))
            history.granted[3] = replace(history.granted[3], after=3)
        case "an attempt before any configuration":
            history.granted[0] = replace(history.granted[0], host="c1")
        case "a version withdrawn at this host":
            gone = Terms(ALL - {"dear:1"}, TERMS.allowed)
            history.accepted[1] = gone
            history.in_force.append(InForce(3.1, "a1", 1, gone))
            history.granted[3] = replace(history.granted[3], after=3)
        case "a withdrawal that a host did not apply":
            history.accepted[1] = Terms(ALL - {"dear:1"}, TERMS.allowed)
            history.in_force.append(InForce(3.1, "a1", 1, TERMS))
        case "a late withdrawal":
            withdraw(history, 10.0)
        case "a late withdrawal, host out of reach":
            withdraw(history, 10.0)
            history.out_of_reach["a1"] = [(12.0, 14.0)]
        case "a session that moves":
            move_session(history)
        case "a session that moves, an owner silent":
            move_session(history)
            history.disturbed.append(Disturbed(2.0, "shop/s", "silent"))
        case "a session that moves, silent later":
            move_session(history)
            history.disturbed.append(Disturbed(2.0, "shop/another", "silent"))
            history.disturbed.append(Disturbed(2.6, "shop/s", "silent"))
        case "a pinned version not used":
            history.invokes[1] = replace(history.invokes[1], pinned="dear:1")
        case "a truncated answer":
            history.answers[0] = replace(history.answers[0], text=FIRST.token(0))
        case "another request's answer":
            history.generations[0] = replace(FIRST, engine_id="c9")
            history.answers[0] = answer(history.generations[0], "c1", 1.5)
        case "another version's answer":
            history.generations[3] = replace(BETTER, version="cheap:1")
            history.bills[2] = BillRecorded("c3", 10.0)
        case "an answer of nothing":
            history.answers[0] = replace(history.answers[0], text="")
            history.bills[0] = BillRecorded("c1", 0.0)
        case "an answer of two generations":
            history.answers[2] = replace(history.answers[2], text=POOR.token(0) + BETTER.token(1))
        case "a broken answer of two generations":
            mixed = POOR.token(0) + BETTER.token(1)
            history.answers[2] = ChatAnswer(3.5, "c3", ChatEnd.BROKEN, mixed)
        case "two answers":
            history.answers.append(history.answers[0])
        case "a second bill":
            history.bills.append(history.bills[0])
        case "a lost bill":
            del history.bills[0]
        case "a lost bill that only its host had":
            del history.bills[0]
            history.kept_alone.add("c1")
        case "a bill of another usage":
            history.bills[0] = BillRecorded("c1", 6.0)
        case "a cascade's first answer not billed":
            history.bills[2] = BillRecorded("c3", 500.0)
        case "a bill of what never ran":
            history.bills.append(BillRecorded("c4", 3.0))
        case "a bill of what never ran, by a peer":
            history.bills.append(BillRecorded("c4", 3.0))
            history.finished_by_peers.add("c4")
        case "a refusal of what began":
            history.began.append(Began(4.1, "c4", 4, "cheap:1"))
        case "a message that failed":
            history.failed.append("FirstToken 'c1'")
        case _:
            raise AssertionError(f"no such fault: {fault}")


@then('the violations of the chats are "{rules}"')
def step_violations(context, rules):
    found = ", ".join(violation.rule for violation in check_chats(context.chats))
    assert (found or "none") == rules, check_chats(context.chats)


@when("the schedules of chats {seeds} are run")
def step_run(context, seeds):
    context.results = [run_chats(int(seed)) for seed in seeds.split(",")]


@then("no rule of chats is broken")
def step_no_rule(context):
    broken = [(r.seed, v) for r in context.results for v in r.violations]
    assert not broken, broken


@when("the schedules of chats {one:d}, {two:d} and {three:d} are run twice")
def step_run_twice(context, one, two, three):
    context.pairs = [(run_chats(seed), run_chats(seed)) for seed in (one, two, three)]


@then("both runs of each have the same history of chats")
def step_same_history(context):
    for first, second in context.pairs:
        assert first.history == second.history, first.seed
        assert first.injected == second.injected, first.seed
