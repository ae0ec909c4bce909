"""Where a request would go now and why, by the decisions of the host, without sending it."""

import dataclasses
from typing import Annotated

import msgspec

from poplarrun.dispatch import Dispatcher, SendDecision, explain_no_endpoint, refuse_held_off
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.placement import EndpointEstimate, EndpointState, find_exclusion
from poplarrun.platform import InvalidDocument, validate
from poplarrun.rollouts import VersionChoice
from poplarrun.routing import InFlightRequest, PromptPart, Request, Service

# Path at the ports for readiness checks and metrics.
WHERE_PATH = "/where"
MILLISECONDS_PER_S = 1000.0
# Steps of the search for the confidence below which a larger model is asked, to 0.001.
CONFIDENCE_STEPS = 1000

Count = Annotated[int, msgspec.Meta(ge=0, le=100_000_000)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=1000)]


class PlannedPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A part of the prompt, and its length in tokens."""

    key: Text
    tokens: Count


class PlannedRequest(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A request that is not sent.

    Attributes
    ----------
    host, path : str
        Domain and path, by which its route is found.
    model : str, optional
        The model that it names; "*" allows the sizes of its route.
    id : str
        Decides in place of a session, where one service or version is picked by hash.
    """

    host: Text
    path: Annotated[str, msgspec.Meta(pattern=r"^/", max_length=4000)]
    api_key: Text | None = None
    model: Text | None = None
    session: Text | None = None
    id: Text = "where"
    parts: Annotated[tuple[PlannedPart, ...], msgspec.Meta(max_length=1000)] = ()
    prompt_tokens: Count = 0
    max_tokens: Count = 0
    body_bytes: Count = 0
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=3_600_000)] = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that is compared with others; times in seconds.

    Attributes
    ----------
    expected_s : float
        Expected time to the first event, or to the answer of a plain service.
    cached_tokens : int
        Prompt tokens that it is assumed to have cached, whose prefill takes ``saved_s``.
    total_s : float
        The expected time and all penalties.
    """

    endpoint: str
    zone: str
    version: str
    expected_s: float
    queue_s: float
    load: float
    cached_tokens: int
    saved_s: float
    other_zone_s: float
    failed_zone_s: float
    relay_s: float
    total_s: float
    is_chosen: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Excluded:
    """An endpoint of the service that is not compared, and why."""

    endpoint: str
    zone: str
    version: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Escalation:
    """What it takes for the largest model to be asked after the first answer.

    Attributes
    ----------
    below_confidence : float, optional
        Confidence of the first answer below which it is asked; None if it is not asked at all.
    endpoint, expected_s, queue_s
        Where it would be asked now.
    obstacle : str
        Why it is not asked, whatever the confidence; empty if it may be.
    """

    model: str
    below_confidence: float | None = None
    endpoint: str = ""
    expected_s: float = 0.0
    queue_s: float = 0.0
    obstacle: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Where a request would go, or what would refuse it.

    Attributes
    ----------
    refused_by : str
        The error kind; empty if the request would be sent.
    detail : str
        Why it would be refused.
    version_reason : str
        Why the endpoint's version would be chosen.
    model : str
        The model that answers first; empty if the request names one, or the service has none.
    asked_zone : str
        Another zone, a host of which would be asked for a better endpoint before the send; empty
        for none.
    """

    refused_by: str = ""
    detail: str = ""
    retry_after_s: float | None = None
    route: str = ""
    account: str = ""
    service: str = ""
    target_s: float = 0.0
    endpoint: str = ""
    version_reason: str = ""
    model: str = ""
    candidates: tuple[Candidate, ...] = ()
    excluded: tuple[Excluded, ...] = ()
    escalation: Escalation | None = None
    asked_zone: str = ""


def answer_where(
    dispatcher: Dispatcher, body: bytes, refusal: Refusal | None, now: float
) -> tuple[int, bytes]:
    """Return status and body of the answer to a planned request.

    Parameters
    ----------
    refusal : Refusal, optional
        Why the host takes no request at all now.
    """
    try:
        planned = validate(PlannedRequest, msgspec.json.decode(body))
    except msgspec.DecodeError as error:
        return 400, msgspec.json.encode({"error": f"document: {error}"})
    except InvalidDocument as error:
        return 400, msgspec.json.encode({"error": str(error)})
    explanation = _explain_refusal(refusal) if refusal else explain(dispatcher, planned, now)
    return 200, msgspec.json.encode(explanation)


def explain(dispatcher: Dispatcher, planned: PlannedRequest, now: float) -> Explanation:
    """Return where a request would go now; nothing of it is remembered."""
    catalogue = dispatcher.config_view.catalogue
    if catalogue is not None and planned.body_bytes > catalogue.limits.body_bytes:
        return _explain_refusal(Refusal(ErrorKind.BODY_TOO_LARGE, "body: is too large"))
    work = dispatcher.look_up(_to_request(planned), now)
    if isinstance(work, Refusal):
        return _explain_refusal(work)
    explanation = Explanation(
        route=work.route.name,
        account="" if work.account is None else work.account.name,
        service=work.service,
        target_s=work.route.latency.target_s,
    )
    service = None if catalogue is None else catalogue.services.get(work.service)
    if service is None:
        refusal = Refusal(ErrorKind.NO_ENDPOINT, "the service is not configured")
        return _refuse(explanation, refusal)
    return _Explainer(dispatcher, work, service, now).explain(explanation)


class _Explainer:
    """Explains one request whose route and service are known."""

    def __init__(
        self, dispatcher: Dispatcher, work: InFlightRequest, service: Service, now: float
    ) -> None:
        self._dispatcher = dispatcher
        self._placement = dispatcher.placement
        self._work = work
        self._service = service
        self._now = now
        self._excluded: list[Excluded] = []

    def explain(self, explanation: Explanation) -> Explanation:
        work, now = self._work, self._now
        usable = self._find_usable()
        refusal = self._dispatcher.recheck(work, now)
        if refusal is None and not usable:
            # The host's own refusal would also note the shortage, and borrow shares for it.
            refusal = refuse_held_off(self._placement, work, now) or Refusal(
                ErrorKind.NO_ENDPOINT, explain_no_endpoint(self._placement, self._service.name)
            )
        explanation = dataclasses.replace(explanation, excluded=tuple(self._excluded))
        if refusal is not None:
            return _refuse(explanation, refusal)
        with self._placement.keep_random_state():
            decision = self._dispatcher.choose_endpoint(work, now)
            if isinstance(decision, Refusal):
                return _refuse(explanation, decision)
            candidates = self._compare(usable, decision)
            alternative = decision.alternative_zone
            return dataclasses.replace(
                explanation,
                endpoint=decision.estimate.endpoint.record.instance_id,
                version_reason=decision.reason.value,
                model=decision.size or "",
                candidates=candidates,
                excluded=tuple(self._excluded),
                escalation=self._explain_escalation(decision),
                asked_zone=alternative.zone if alternative is not None else "",
            )

    def _find_usable(self) -> list[EndpointState]:
        """Return the endpoints that may get the request, of the versions that may answer it."""
        versions = self._dispatcher.find_versions(self._work, self._now)
        allowed = []
        for endpoint in self._placement.endpoints(self._service.name):
            reason = find_exclusion(self._placement, endpoint, self._service, self._now)
            if reason is None and endpoint.record.version == versions.excluded:
                reason = f"version: {versions.reason.value}"
            if reason is None:
                allowed.append(endpoint)
            else:
                self._exclude(endpoint, reason)
        return self._prefer_versions(allowed, versions)

    def _prefer_versions(
        self, endpoints: list[EndpointState], versions: VersionChoice
    ) -> list[EndpointState]:
        """Leave out endpoints of other versions, and paused ones, where others are left."""
        if versions.allowed is not None:
            allowed = versions.allowed
            of_version = [each for each in endpoints if each.record.version in allowed]
            endpoints = self._narrow(endpoints, of_version, f"version: {versions.reason.value}")
        available = [endpoint for endpoint in endpoints if endpoint.is_available(self._now)]
        return self._narrow(endpoints, available, "paused after failures, or others don't reach it")

    def _narrow(
        self, endpoints: list[EndpointState], preferred: list[EndpointState], reason: str
    ) -> list[EndpointState]:
        if not preferred:
            return endpoints
        for endpoint in endpoints:
            if endpoint not in preferred:
                self._exclude(endpoint, reason)
        return preferred

    def _exclude(self, endpoint: EndpointState, reason: str) -> None:
        record = endpoint.record
        excluded = Excluded(record.instance_id, record.zone, record.version, reason)
        self._excluded.append(excluded)

    def _compare(
        self, endpoints: list[EndpointState], decision: SendDecision
    ) -> tuple[Candidate, ...]:
        estimates = self._placement.list_estimates(
            endpoints, self._work, self._service, self._now, decision.size or ""
        )
        chosen = decision.estimate.endpoint
        candidates = [self._describe(each, chosen, decision.size or "") for each in estimates]
        return tuple(sorted(candidates, key=lambda each: (not each.is_chosen, each.total_s)))

    def _describe(self, estimate: EndpointEstimate, chosen: EndpointState, size: str) -> Candidate:
        work, endpoint, now = self._work, estimate.endpoint, self._now
        record = endpoint.record
        penalties = self._placement.find_penalties(endpoint, work, now)
        cached_tokens, saved_s = 0, 0.0
        if self._service.cache_tokens:
            parts = work.request.prompt_parts
            tokens = max(work.request.prompt_tokens, sum(part.tokens for part in parts))
            cached_tokens = max(0, tokens - estimate.uncached_tokens)
            speed = self._placement.speed(work.service, size)
            saved_s = cached_tokens * speed.prefill_s_per_token * endpoint.current_slowdown(now)
        return Candidate(
            record.instance_id,
            record.zone,
            record.version,
            estimate.first_event_s,
            estimate.queue_s,
            endpoint.load,
            cached_tokens,
            saved_s,
            penalties.other_zone_s,
            penalties.failed_zone_s,
            penalties.relay_s,
            estimate.first_event_s + penalties.total_s,
            endpoint is chosen,
        )

    def _explain_escalation(self, decision: SendDecision) -> Escalation | None:
        """Return what the largest model needs, as if the first answer began when expected."""
        dispatcher, work = self._dispatcher, self._work
        work.model_size = decision.size
        largest = dispatcher.sizes.escalation_size(work)
        if largest is None:
            return None
        if not work.route.can_repeat:
            return Escalation(largest, obstacle="a stream that may not be resumed runs once")
        if not work.can_run_again:
            return Escalation(largest, obstacle="the route allows one attempt")
        if dispatcher.crash_guard.is_suspect(work, self._now):
            return Escalation(
                largest, obstacle="an endpoint crashed that held a part of the prompt"
            )
        if not dispatcher.can_spend_on_escalation(work, self._now):
            return Escalation(largest, obstacle="the budget of second sends is used up")
        versions = frozenset((decision.estimate.endpoint.record.version,))
        estimate = self._placement.choose(
            work, self._service, self._now, largest, versions, include_tried=True
        )
        if estimate is None:
            return Escalation(largest, obstacle="no endpoint of the same version may get it")
        at = self._now + decision.estimate.first_event_s
        confidence = self._find_confidence(estimate, at)
        return Escalation(
            largest,
            confidence,
            estimate.endpoint.record.instance_id,
            estimate.first_event_s,
            estimate.queue_s,
            "" if confidence is not None else "its answer is not worth its cost, delay and queue",
        )

    def _find_confidence(self, estimate: EndpointEstimate, at: float) -> float | None:
        """Return the confidence below which the largest model is asked; None if it never is."""
        urgent_target_s = self._dispatcher.find_urgent_target_s(self._work)

        def is_asked(step: int) -> bool:
            confidence = step / CONFIDENCE_STEPS
            return self._dispatcher.sizes.decide(
                self._work, confidence, estimate, self._service, urgent_target_s, at
            ).is_asked

        if not is_asked(0):
            return None
        low, high = 0, CONFIDENCE_STEPS + 1
        while high - low > 1:
            middle = (low + high) // 2
            low, high = (middle, high) if is_asked(middle) else (low, middle)
        return high / CONFIDENCE_STEPS


def _to_request(planned: PlannedRequest) -> Request:
    return Request(
        id=planned.id,
        method=b"POST",
        target=planned.path.encode("latin-1", "replace"),
        host=planned.host.lower(),
        headers=(),
        body=bytes(planned.body_bytes),
        time_left_s=planned.deadline_ms / MILLISECONDS_PER_S,
        api_key=planned.api_key,
        prompt_parts=tuple(PromptPart(part.key, part.tokens) for part in planned.parts),
        prompt_tokens=planned.prompt_tokens,
        max_tokens=planned.max_tokens,
        model=planned.model,
        session_id=planned.session,
    )


def _explain_refusal(refusal: Refusal) -> Explanation:
    return _refuse(Explanation(), refusal)


def _refuse(explanation: Explanation, refusal: Refusal) -> Explanation:
    detail = f"{refusal.message} ({refusal.detail})" if refusal.detail else refusal.message
    return dataclasses.replace(
        explanation,
        refused_by=refusal.kind.value,
        detail=detail,
        retry_after_s=refusal.retry_after_s,
    )
