"""Selects the model version of each chat request, and reports the outcome."""

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

SESSION_REASON = "session"
# Number of endpoints with broken streams from which the version is considered faulty and
# not the endpoints.
MIN_FAILED_ENDPOINTS = 2


@dataclass
class SelectedVersion:
    """The version that was selected for one request.

    Attributes
    ----------
    version : Version
        The version that must generate the answer.
    is_sampled : bool
        Whether the answer is to be rated.
    reason : str
        Metric label of the choice.
    first_token_s : float, optional
        Time to the first token; None before it arrived.
    failed_endpoints : set of str, optional
        Endpoints at which attempts failed.
    escalation : Escalation, optional
        The second step of a cascade, if this is the first.
    is_second_step : bool
        Whether this is the second step of a cascade.
    """

    version: Version
    is_sampled: bool
    reason: str
    first_token_s: float | None = None
    failed_endpoints: set[str] | None = None
    escalation: Escalation | None = None
    is_second_step: bool = False

    def record_failed_endpoint(self, endpoint: str) -> None:
        """Record that an attempt failed at an endpoint."""
        self.failed_endpoints = (self.failed_endpoints or set()) | {endpoint}

    def has_version_failed(self, end: EndChat) -> bool:
        """Return whether the version itself failed.

        An engine that dies breaks all its streams, whatever their version. If these were
        counted, a dead engine would cause the withdrawal of good versions.
        """
        is_empty = end.is_complete and end.usage.output_tokens == 0
        return is_empty or len(self.failed_endpoints or ()) >= MIN_FAILED_ENDPOINTS


class ChatVersions:
    """Selects the versions of chat requests; used on the event loop only."""

    def __init__(self, context: RouterContext, judge: Judge | None = None) -> None:
        self._context = context
        self._judge = judge or ConfidenceJudge()

    def choose(
        self,
        request: BeginChat,
        account: ClientAccount,
        work_class: WorkClass,
        explanation: Explanation,
        now: float,
    ) -> SelectedVersion | Refusal:
        """Return the version for a new request."""
        if request.pinned_version is not None:
            explanation.considered.append(f"the session keeps {request.pinned_version}")
            return self._select_pinned(request.pinned_version, account, work_class, now)
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
                version=version, reason=reason, considered=considered, escalation=escalation
            ):
                explanation.considered = considered
                explanation.considered.append(f"chosen: {version.id}, {reason}")
                self._context.metrics.count_event(f"choice_{reason.replace('-', '_')}")
                selected = self._make_selected(version, work_class, reason, now)
                selected.escalation = escalation
                return selected
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

    def choose_alternative(
        self,
        request: BeginChat,
        account: ClientAccount,
        work_class: WorkClass,
        without: VersionId,
        now: float,
    ) -> SelectedVersion | None:
        """Return another version for a request that a version has no capacity for.

        A session keeps its version, even if it starts with this request, because other hosts
        derive it from the same configuration.
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
        return self._make_selected(choice.version, work_class, choice.reason, now)

    def record_end(
        self, selected: SelectedVersion, work_class: WorkClass, end: EndChat, duration_s: float
    ) -> None:
        """Report the outcome of an answer to the version estimates."""
        failed = selected.has_version_failed(end)
        if not end.is_complete and not failed:
            return
        tokens = end.usage.output_tokens
        late, score = _is_late(selected, work_class, tokens, duration_s), self._score_answer(end)
        observation = AnswerObservation(failed, late, tokens, duration_s, score)
        versions = self._context.versions
        key = CellKey(work_class.name, selected.version.id)
        versions.record_answer(key.as_second_step if selected.is_second_step else key, observation)
        if end.text is not None:
            step = "2" if selected.is_second_step else "1"
            sample_id = f"{end.request_id}.{step}"
            sample = SampledAnswer(sample_id, key, end.text, score, selected.is_second_step)
            versions.enqueue_sample(sample)

    def escalate(
        self,
        selected: SelectedVersion,
        account: ClientAccount,
        work_class: WorkClass,
        end: EndChat,
        now: float,
    ) -> SelectedVersion | None:
        """Return the second step of a cascade; None if the first answer is accepted.

        The second version is checked like that of a new request. If it may no longer be used,
        the caller gets the first answer.
        """
        if selected.escalation is None:
            return None
        second_version = selected.escalation.version
        score = self._score_answer(end)
        is_accepted = score is None or score >= selected.escalation.min_score
        allowed = self._context.may_use(account.name, second_version.id)
        if (
            is_accepted
            or not allowed
            or self._context.configuration.is_withdrawn(second_version.id)
        ):
            return None
        self._context.metrics.count_event("cascade_escalated")
        key = CellKey(work_class.name, second_version.id).as_second_step
        sampled = self._context.versions.should_rate(key, "cascade", now)
        return SelectedVersion(second_version, sampled, "cascade", is_second_step=True)

    def _score_answer(self, end: EndChat) -> float | None:
        return self._judge.score(JudgedAnswer(end.request_id, end.usage.confidence))

    def _select_pinned(
        self, pinned_version: VersionId, account: ClientAccount, work_class: WorkClass, now: float
    ) -> SelectedVersion | Refusal:
        configuration = self._context.configuration
        if configuration.is_withdrawn(pinned_version):
            message = f"the session's version {pinned_version} was withdrawn; start a new session"
            return self._context.refuse(ErrorKind.SESSION_VERSION_WITHDRAWN, message)
        if not account.allows_version(pinned_version):
            message = f"client account {account.name} may no longer use {pinned_version}"
            return self._context.refuse(ErrorKind.VERSION_NOT_ALLOWED, message)
        return self._make_selected(
            configuration.document.versions[pinned_version], work_class, SESSION_REASON, now
        )

    def _make_selected(
        self, version: Version, work_class: WorkClass, reason: str, now: float
    ) -> SelectedVersion:
        key = CellKey(work_class.name, version.id)
        sampled = self._context.versions.should_rate(key, reason, now)
        return SelectedVersion(version, sampled, reason)


def _is_late(
    selected: SelectedVersion, work_class: WorkClass, tokens: int, duration_s: float
) -> bool:
    targets = work_class.targets
    first_token_s = duration_s if selected.first_token_s is None else selected.first_token_s
    token_interval_s = (duration_s - first_token_s) / max(1, tokens - 1)
    return (
        first_token_s > targets.first_token_s
        or duration_s > targets.whole_s
        or token_interval_s > targets.between_tokens_s
    )
