"""Exchange of the requests under which endpoints have ended."""

import math

import msgspec

from poplarrun.crashes import MAX_KEPT_ENDS, EndedRequest, RequestEnd, RequestEnds
from poplarrun.logging import events, write_event
from poplarrun.peers import AnsweredRequest, Digest, EndUnderRequest, RequestWithEnds

# Requests in one digest: what is new first, then those that are refused, in turn.
MAX_REQUESTS_PER_DIGEST = 64
MAX_ANSWERED_PER_DIGEST = 64
# For this long digests tell what is new of a request, in seconds.
NEWS_TTL_S = 6.0
MILLISECONDS_PER_S = 1000.0


class RequestEndExchange:
    """Fills digests with the ends of endpoints under requests, and applies what others know.

    A caller repeats a request at any host, so that one host sees few of the ends under it. A host
    that starts, or was cut off, learns of the requests that are refused from later digests.
    """

    def __init__(self, requests: RequestEnds) -> None:
        self._requests = requests
        self._next_index = 0
        self._told_at = -math.inf

    def add_news(self, digest: Digest, now: float) -> Digest:
        """Return a digest with what was learned of requests since the last call."""
        told_at, self._told_at = self._told_at, now
        changed = list(self._requests.changed_since(told_at))
        answered = self._requests.cleared_since(told_at)
        if not changed and not answered:
            return digest
        return msgspec.structs.replace(
            digest,
            requests_with_ends=_describe_requests(_select_first(changed, now), now),
            answered_requests=_describe_answered(answered, now),
        )

    def requests_with_ends(self, now: float) -> list[RequestWithEnds]:
        """Return the requests with ends that a digest carries."""
        news = _select_first(list(self._requests.changed_since(now - NEWS_TTL_S)), now)
        refused = self._requests.refused(now)
        start = self._next_index % len(refused) if refused else 0
        others = [each for each in (*refused[start:], *refused[:start]) if each not in news]
        others = others[: MAX_REQUESTS_PER_DIGEST - len(news)]
        self._next_index = start + len(others)
        return _describe_requests([*news, *others], now)

    def answered_requests(self, now: float) -> list[AnsweredRequest]:
        """Return the requests that were answered whole after an end under them."""
        return _describe_answered(self._requests.cleared_since(now - NEWS_TTL_S), now)

    def apply_digest(self, digest: Digest, now: float) -> None:
        """Apply what another host knows."""
        for answered in digest.answered_requests[:MAX_ANSWERED_PER_DIGEST]:
            if answered.age_ms >= 0:
                at = now - answered.age_ms / MILLISECONDS_PER_S
                self._requests.record_answered(answered.fingerprint, at, now)
        for request in digest.requests_with_ends[:MAX_REQUESTS_PER_DIGEST]:
            if request.answered_ms is not None and request.answered_ms >= 0:
                at = now - request.answered_ms / MILLISECONDS_PER_S
                self._requests.record_answered(request.fingerprint, at, now)
            was_refused = self._requests.find_refused(request.fingerprint, now) is not None
            for end in request.ends[:MAX_KEPT_ENDS]:
                if end.age_ms >= 0 and end.held_ms >= 0:
                    ended_at = now - end.age_ms / MILLISECONDS_PER_S
                    sent_at = ended_at - end.held_ms / MILLISECONDS_PER_S
                    known = RequestEnd(end.end_id, sent_at, ended_at, digest.address)
                    self._requests.record(request.fingerprint, known, now)
            refused = self._requests.find_refused(request.fingerprint, now)
            if refused is not None and not was_refused:
                write_event(events.RequestQuarantined(refused.describe(now), digest.address))


def _select_first(changed: list[EndedRequest], now: float) -> list[EndedRequest]:
    """Return as many requests as a digest takes, those with the most ends first."""
    if len(changed) <= MAX_REQUESTS_PER_DIGEST:
        return changed
    changed.sort(key=lambda each: (-each.count(now), -each.changed_at))
    return changed[:MAX_REQUESTS_PER_DIGEST]


def _describe_requests(requests: list[EndedRequest], now: float) -> list[RequestWithEnds]:
    return [
        RequestWithEnds(
            each.fingerprint,
            [
                EndUnderRequest(
                    end.end_id,
                    _to_milliseconds(now - end.ended_at),
                    _to_milliseconds(end.ended_at - end.sent_at),
                )
                for end in each.list_ends(now)
            ],
            None if each.answered_at == -math.inf else _to_milliseconds(now - each.answered_at),
        )
        for each in requests
    ]


def _describe_answered(answered: list[tuple[int, float]], now: float) -> list[AnsweredRequest]:
    return [
        AnsweredRequest(fingerprint, _to_milliseconds(now - at))
        for fingerprint, at in answered[-MAX_ANSWERED_PER_DIGEST:]
    ]


def _to_milliseconds(seconds: float) -> int:
    return max(0, round(MILLISECONDS_PER_S * seconds))
