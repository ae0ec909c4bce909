from dataclasses import replace

from behave import given, then, when

from standins.histories import (
    AttemptGranted,
    ChatAnswer,
    ChatEnd,
    ChatHistory,
    ChatInvoke,
    ConfigurationApplied,
    Generation,
    GenerationStarted,
    RecordedBill,
    SessionDisruption,
    VersionPolicy,
    VersionWithdrawn,
    check_chats,
    run_chats,
)

ALL = frozenset({"cheap:1", "mid:1", "dear:1"})
POLICY = VersionPolicy(ALL, {"shop": ALL})
FIRST = Generation(0, "c1", "cheap:1", 2)
SECOND = Generation(1, "c2", "cheap:1", 3)
CASCADE_FIRST = Generation(2, "c3", "cheap:1", 2)
CASCADE_SECOND = Generation(3, "c3.2", "dear:1", 2)


def answer(generation, request_id, at_s):
    return ChatAnswer(at_s, request_id, ChatEnd.COMPLETE, generation.text, generation.version)


@given("a valid history of chats")
def step_good(context):
    context.chats = ChatHistory(
        invokes=[
            ChatInvoke(1.0, "c1", "shop", "a1", "s"),
            ChatInvoke(2.0, "c2", "shop", "b1", "s", "cheap:1"),
            ChatInvoke(3.0, "c3", "shop", "a1"),
            ChatInvoke(4.0, "c4", "shop", "a1"),
        ],
        configurations_applied=[
            ConfigurationApplied(0.0, "a1", 0, POLICY),
            ConfigurationApplied(0.0, "b1", 0, POLICY),
        ],
        attempts_granted=[
            AttemptGranted(1.0, "c1", "a1", "cheap:1", 2),
            AttemptGranted(2.0, "c2", "b1", "cheap:1", 2),
            AttemptGranted(3.0, "c3", "a1", "cheap:1", 2),
            AttemptGranted(3.2, "c3", "a1", "dear:1", 2),
        ],
        generation_starts=[
            GenerationStarted(1.0, "c1", 0, "cheap:1"),
            GenerationStarted(2.0, "c2", 1, "cheap:1"),
            GenerationStarted(3.0, "c3", 2, "cheap:1"),
            GenerationStarted(3.2, "c3", 3, "dear:1"),
        ],
        accepted={0: POLICY},
        generations={g.number: g for g in (FIRST, SECOND, CASCADE_FIRST, CASCADE_SECOND)},
        answers=[
            answer(FIRST, "c1", 1.5),
            answer(SECOND, "c2", 2.5),
            answer(CASCADE_SECOND, "c3", 3.5),
            ChatAnswer(4.0, "c4", ChatEnd.NOT_RUN, reason="no_endpoint"),
        ],
        bills=[RecordedBill("c1", 5.0), RecordedBill("c2", 6.0), RecordedBill("c3", 505.0)],
    )


def move_session(history):
    """Make the session's second request run, and be billed, on another version."""
    history.invokes[1] = replace(history.invokes[1], pinned="")
    moved = history.generations[1] = replace(SECOND, version="mid:1")
    history.answers[1] = answer(moved, "c2", 2.5)
    history.bills[1] = RecordedBill("c2", 60.0)


def withdraw(history, at_s):
    history.version_withdrawals.append(VersionWithdrawn(at_s, "dear:1", 100.0))
    history.attempts_granted.append(AttemptGranted(at_s + 6.0, "c3", "a1", "dear:1", 2))


@when("the chats are modified with {fault}")
def step_modify(context, fault):
    history = context.chats
    match fault:
        case "nothing":
            pass
        case "a version that the account lost":
            restricted = VersionPolicy(ALL, {"shop": ALL - {"dear:1"}})
            history.accepted[1] = restricted
            history.configurations_applied.append(ConfigurationApplied(3.1, "a1", 1, restricted))
            history.attempts_granted[3] = replace(history.attempts_granted[3], applied_count=3)
        case "an attempt before any configuration":
            history.attempts_granted[0] = replace(history.attempts_granted[0], host="c1")
        case "a version withdrawn at this host":
            gone = VersionPolicy(ALL - {"dear:1"}, POLICY.allowed)
            history.accepted[1] = gone
            history.configurations_applied.append(ConfigurationApplied(3.1, "a1", 1, gone))
            history.attempts_granted[3] = replace(history.attempts_granted[3], applied_count=3)
        case "a withdrawal that a host did not apply":
            history.accepted[1] = VersionPolicy(ALL - {"dear:1"}, POLICY.allowed)
            history.configurations_applied.append(ConfigurationApplied(3.1, "a1", 1, POLICY))
        case "a late withdrawal":
            withdraw(history, 10.0)
        case "a late withdrawal, host out of reach":
            withdraw(history, 10.0)
            history.out_of_reach["a1"] = [(12.0, 14.0)]
        case "a session that moves":
            move_session(history)
        case "a session that moves, an owner silent":
            move_session(history)
            history.session_disruptions.append(SessionDisruption(2.0, "shop/s", "silent"))
        case "a session that moves, silent later":
            move_session(history)
            history.session_disruptions.append(SessionDisruption(2.0, "shop/another", "silent"))
            history.session_disruptions.append(SessionDisruption(2.6, "shop/s", "silent"))
        case "a pinned version not used":
            history.invokes[1] = replace(history.invokes[1], pinned="dear:1")
        case "a truncated answer":
            history.answers[0] = replace(history.answers[0], text=FIRST.token(0))
        case "another request's answer":
            history.generations[0] = replace(FIRST, engine_id="c9")
            history.answers[0] = answer(history.generations[0], "c1", 1.5)
        case "another version's answer":
            history.generations[3] = replace(CASCADE_SECOND, version="cheap:1")
            history.bills[2] = RecordedBill("c3", 10.0)
        case "an answer of nothing":
            history.answers[0] = replace(history.answers[0], text="")
            history.bills[0] = RecordedBill("c1", 0.0)
        case "an answer of two generations":
            history.answers[2] = replace(
                history.answers[2], text=CASCADE_FIRST.token(0) + CASCADE_SECOND.token(1)
            )
        case "a broken answer of two generations":
            mixed = CASCADE_FIRST.token(0) + CASCADE_SECOND.token(1)
            history.answers[2] = ChatAnswer(3.5, "c3", ChatEnd.BROKEN, mixed)
        case "two answers":
            history.answers.append(history.answers[0])
        case "a second bill":
            history.bills.append(history.bills[0])
        case "a lost bill":
            del history.bills[0]
        case "a lost bill that only its host had":
            del history.bills[0]
            history.unreplicated_bills.add("c1")
        case "a bill of another usage":
            history.bills[0] = RecordedBill("c1", 6.0)
        case "a cascade's first answer not billed":
            history.bills[2] = RecordedBill("c3", 500.0)
        case "a bill of what never ran":
            history.bills.append(RecordedBill("c4", 3.0))
        case "a bill of what never ran, by a peer":
            history.bills.append(RecordedBill("c4", 3.0))
            history.bills_adopted_by_peers.add("c4")
        case "a refusal of what began":
            history.generation_starts.append(GenerationStarted(4.1, "c4", 4, "cheap:1"))
        case "a message that failed":
            history.failed_messages.append("FirstToken 'c1'")
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
    violations = [(r.seed, v) for r in context.results for v in r.violations]
    assert not violations, violations


@when("the schedules of chats {one:d}, {two:d} and {three:d} are run twice")
def step_run_twice(context, one, two, three):
    context.pairs = [(run_chats(seed), run_chats(seed)) for seed in (one, two, three)]


@then("both runs of each have the same history of chats")
def step_same_history(context):
    for first, second in context.pairs:
        assert first.history == second.history, first.seed
        assert first.injected == second.injected, first.seed
