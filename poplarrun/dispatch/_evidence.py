"""What the answers to requests tell of versions on trial."""

from weakref import WeakKeyDictionary

from poplarrun.dispatch._failures import Attempt
from poplarrun.placement import EndpointState
from poplarrun.rollouts import FULL_LOAD, MIN_PROOF_LOAD, UNDER_LOAD, AnswerTimes, Rollouts
from poplarrun.routing import InFlightRequest

# Number of events after which the pace of an unfinished answer is known well enough.
MIN_EVIDENCE_EVENTS = 6
# An endpoint whose latest response is this much later than at its previous interruption did not
# crash then, in seconds. What had arrived before a crash may be read a little after it.
MIN_SURVIVAL_S = 0.5


class EvidenceRecorder:
    """Counts each attempt once as evidence of its endpoint's version, also before it ends."""

    def __init__(self, rollouts: Rollouts) -> None:
        self._rollouts = rollouts
        self._open_attempts: dict[Attempt, InFlightRequest] = {}
        # The latest response of each endpoint when it last broke off an answer.
        self._responded_at: WeakKeyDictionary[EndpointState, float] = WeakKeyDictionary()

    def record_sent(self, work: InFlightRequest, attempt: Attempt) -> None:
        """Record that an attempt has begun."""
        self._open_attempts[attempt] = work

    def record_begun(self, work: InFlightRequest, attempt: Attempt) -> None:
        """Record that an endpoint has begun to answer, and its load at that moment."""
        endpoint = attempt.estimate.endpoint
        version = endpoint.record.version
        self._rollouts.statistics.record_load(work.service, version, endpoint.load)

    def record_closed(self, attempt: Attempt) -> None:
        """Record that an attempt has ended, in whatever way."""
        self._open_attempts.pop(attempt, None)

    def record_open(self, now: float) -> None:
        """Count unfinished answers as evidence once their pace is known or they are far too slow.

        The answers that finish first are the fast ones. If only finished answers counted, a
        version that takes eight times as long would look good until it had served many more
        requests than a trial allows.
        """
        for attempt, work in list(self._open_attempts.items()):
            if attempt.is_counted:
                continue
            kind = _evidence_kind(work, attempt)
            latencies = attempt.compute_times(now, is_ended=False)
            is_slow = self._rollouts.statistics.is_slow(work.service, kind, latencies)
            if is_slow or attempt.event_count >= MIN_EVIDENCE_EVENTS:
                self.record_answer(work, attempt, False, latencies)

    def record_answer(
        self, work: InFlightRequest, attempt: Attempt, is_failure: bool, latencies: AnswerTimes
    ) -> None:
        """Count an answer, or the failure of one that was counted as slow.

        Parameters
        ----------
        latencies : AnswerTimes
            Times of the answer, without those that are not known.
        """
        record = attempt.estimate.endpoint.record
        version = record.version
        key = (work.service, version, _evidence_kind(work, attempt))
        rollout = self._rollouts.find(work.service)
        is_target = rollout is not None and version == rollout.order.target
        is_trial = is_target and rollout is not None and rollout.is_in_progress
        # Endpoints are told apart once there is no old version to compare with.
        endpoint = record.instance_id if is_target and not is_trial else ""
        if attempt.is_counted:
            if is_failure:
                self._rollouts.statistics.record_failure_of_slow_answer(key, endpoint)
            return
        attempt.is_counted = True
        if attempt.is_under_load:
            latencies = AnswerTimes()
        self._rollouts.statistics.record_answer(key, is_failure, latencies, is_trial, endpoint)

    def record_copy(self, service: str, version: str, load: float, is_failure: bool) -> None:
        """Count the answer to a copy that loads an endpoint, by the load when it was sent.

        Parameters
        ----------
        load : float
            Requests per slot.
        """
        key = (service, version, _loaded_kind(load))
        self._rollouts.statistics.record_answer(key, is_failure, AnswerTimes(), True)

    def record_broken(self, work: InFlightRequest, attempt: Attempt) -> None:
        """Count an answer that broke off.

        A crash breaks off many answers and counts once. An endpoint that went on responding after
        the answer that it broke off before had not crashed, so the next one counts by itself if it
        had begun. One that had not may have been turned away as a connection too many.
        """
        endpoint = attempt.estimate.endpoint
        has_survived = self._has_survived(endpoint)
        self._responded_at[endpoint] = endpoint.last_response_at
        if has_survived and attempt.first_event_at is not None:
            self.record_answer(work, attempt, True, AnswerTimes())
            return
        record = endpoint.record
        key = (work.service, record.version, _evidence_kind(work, attempt))
        self._rollouts.statistics.record_interruption(key, record.instance_id, attempt.is_counted)
        attempt.is_counted = True

    def _has_survived(self, endpoint: EndpointState) -> bool:
        """Tell whether an endpoint went on responding after it last broke off an answer."""
        previous = self._responded_at.get(endpoint)
        return previous is not None and endpoint.last_response_at - previous > MIN_SURVIVAL_S


def _evidence_kind(work: InFlightRequest, attempt: Attempt) -> str:
    if attempt.is_under_load:
        return _loaded_kind(attempt.estimate.load)
    return f"{work.route.name}/{attempt.size or ''}"


def _loaded_kind(load: float) -> str:
    return FULL_LOAD if load >= MIN_PROOF_LOAD else UNDER_LOAD
