"""The version of each chat request: asked of the versions part, and told how it went."""

from dataclasses import dataclass

from poplarrun.contracts import ClientAccount, Version, VersionId, WorkClass
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.router._context import RouterContext
from poplarrun.router._messages import BeginChat, EndChat, Explanation
from poplarrun.versions import (
    AnswerObservation,
    CellKey,
    ChoiceRequest,
    ChosenVersion,
    ConfidenceJudge,
    Escalation,
    Judge,
    JudgedAnswer,
    NoVersionAffordable,
    NoVersionAllowed,
    NoVersionMeetsTargets,
    SampledAnswer,
)

SESSION = "session"
# Broken streams at so many endpoints are the version's fault, not theirs.
ENDPOINTS_OF_A_FAULT = 2


@dataclass
class VersionPick:
    """The version of one request.

    Attributes
    ----------
    version : Version
        What must generate the answer.
    sampled : bool
        Whether the answer is to be rated.
    why : str
        Counter label of the choice.
    first_token_s : float, optional
        Time to the first token, once it came.
    broken_at : set of str
        Endpoints at which attempts broke.
    escalation : Escalation, optional
        The second step of a cascade, while this is the first.
    is_second : bool
        Whether this is the second step.
    """

    version: Version
    sampled: bool
    why: str
    first_token_s: float | None = None
    broken_at: set[str] | None = None
    escalation: Escalation | None = None
    is_second: bool = False

    def note_broken(self, endpoint: str) -> None:
        """Remember that an attempt broke at an endpoint."""
        self.broken_at = (self.broken_at or set()) | {endpoint}

    def is_failed(self, end: EndChat) -> bool:
        """Tell whether the version itself failed.

        An engine that dies breaks all its streams, whatever their version; were
        they counted, a dead engine would withdraw good versions.
        """
        is_empty = end.is_complete and end.usage.output_tokens == 0
        return is_empty or len(self.broken_at or ()) >= ENDPOINTS_OF_A_FAULT


class ChatVersions:
    """Picks versions; called on the loop only."""

    def __init__(self, context: RouterContext, judge: Judge | None = None) -> None:
        self._context = context
        self._judge = judge or ConfidenceJudge()

    def pick(
        self,
        request: BeginChat,
        account: ClientAccount,
        work_class: WorkClass,
        explanation: Explanation,
        now: float,
    ) -> VersionPick | Refusal:
        """Return the version of a new request."""
        if request.pinned_version is not None:
            explanation.considered.append(f"the session keeps {request.pinned_version}")
            return self._pick_pinned(request.pinned_version, account, work_class, now)
        choice = self._context.versions.choose(
            ChoiceRequest(
                account,
                work_class,
                request.prompt_tokens,
                request.max_tokens,
                opens_session=request.session is not None,
                remaining_spend=self._context.spend_left(account),
            )
        )
        match choice:
            case ChosenVersion(
                version=version, reason=why, considered=considered, escalation=escalation
            ):
                explanation.considered = considered
                explanation.considered.append(f"chosen: {version.id}, {why}")
                self._context.metrics.count_event(f"choice_{why.replace('-', '_')}")
                pick = self._make_pick(version, work_class, why, now)
                pick.escalation = escalation
                return pick
            case NoVersionAllowed():
                message = f"client account {account.name} has no offered version"
                return self._context.refuse(ErrorKind.VERSION_NOT_ALLOWED, message, "model")
            case NoVersionAffordable(considered=considered):
                explanation.considered = considered
                message = f"client account {account.name} can't pay for this request today"
                return self._context.refuse(ErrorKind.SPEND_EXHAUSTED, message)
            case NoVersionMeetsTargets(considered=considered):
                explanation.considered = considered
                message = f"no allowed version meets the targets of class {work_class.name}"
                return self._context.refuse(ErrorKind.TARGET_UNREACHABLE, message, "model")

    def pick_other(
        self,
        request: BeginChat,
        account: ClientAccount,
        work_class: WorkClass,
        without: VersionId,
        now: float,
    ) -> VersionPick | None:
        """Return a version for a request that another has no room for.

        A session, also one that opens now, never moves: other hosts derive its
        version from the same configuration.
        """
        if request.session is not None or request.pinned_version is not None:
            return None
        choice = self._context.versions.choose(
            ChoiceRequest(
                account,
                work_class,
                request.prompt_tokens,
                request.max_tokens,
                excluded_versions=frozenset({without}),
            )
        )
        if not isinstance(choice, ChosenVersion):
            return None
        return self._make_pick(choice.version, work_class, choice.reason, now)

    def note_end(
        self, pick: VersionPick, work_class: WorkClass, end: EndChat, took_s: float
    ) -> None:
        """Tell the versions part how an answer ended."""
        failed = pick.is_failed(end)
        if not end.is_complete and not failed:
            return
        tokens = end.usage.output_tokens
        late, score = _is_late(pick, work_class, tokens, took_s), self._score(end)
        seen = AnswerObservation(failed, late, tokens, took_s, score)
        versions = self._context.versions
        key = CellKey(work_class.name, pick.version.id)
        versions.record_answer(key.as_second_step if pick.is_second else key, seen)
        if end.text is not None:
            step = "2" if pick.is_second else "1"
            sample_id = f"{end.request_id}.{step}"
            sample = SampledAnswer(sample_id, key, end.text, score, pick.is_second)
            versions.enqueue_sample(sample)

    def escalate(
        self,
        pick: VersionPick,
        account: ClientAccount,
        work_class: WorkClass,
        end: EndChat,
        now: float,
    ) -> VersionPick | None:
        """Return the second step of a cascade; None when the first answer is accepted.

        The second version is checked like any other before new work: where it
        may not be used any more, the caller gets the first answer.
        """
        if pick.escalation is None:
            return None
        second = pick.escalation.version
        score = self._score(end)
        is_accepted = score is None or score >= pick.escalation.min_score
        allowed = self._context.may_use(account.name, second.id)
        if is_accepted or not allowed or self._context.configuration.is_withdrawn(second.id):
            return None
        self._context.metrics.count_event("cascade_escalated")
        key = CellKey(work_class.name, second.id).as_second_step
        sampled = self._context.versions.should_rate(key, "cascade", now)
        return VersionPick(second, sampled, "cascade", is_second=True)

    def _score(self, end: EndChat) -> float | None:
        return self._judge.score(JudgedAnswer(end.request_id, end.usage.confidence))

    def _pick_pinned(
        self, pinned: VersionId, account: ClientAccount, work_class: WorkClass, now: float
    ) -> VersionPick | Refusal:
        configuration = self._context.configuration
        if configuration.is_withdrawn(pinned):
            message = f"the session's version {pinned} was withdrawn; start a new session"
            return self._context.refuse(ErrorKind.SESSION_VERSION_WITHDRAWN, message)
        if not account.allows_version(pinned):
            message = f"client account {account.name} may no longer use {pinned}"
            return self._context.refuse(ErrorKind.VERSION_NOT_ALLOWED, message)
        return self._make_pick(configuration.document.versions[pinned], work_class, SESSION, now)

    def _make_pick(
        self, version: Version, work_class: WorkClass, why: str, now: float
    ) -> VersionPick:
        key = CellKey(work_class.name, version.id)
        sampled = self._context.versions.should_rate(key, why, now)
        return VersionPick(version, sampled, why)


def _is_late(pick: VersionPick, work_class: WorkClass, tokens: int, took_s: float) -> bool:
    targets = work_class.targets
    first_token_s = took_s if pick.first_token_s is None else pick.first_token_s
    between_s = (took_s - first_token_s) / max(1, tokens - 1)
    return (
        first_token_s > targets.first_token_s
        or took_s > targets.whole_s
        or between_s > targets.between_tokens_s
    )
