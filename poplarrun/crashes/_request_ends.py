"""Requests under which endpoints have ended, over all repeats of a request and all hosts."""

import math
import zlib
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from poplarrun.crashes._evidence import CRASH_TTL_S, SAME_MOMENT_S, EndpointStart

# Ends of endpoints under a request from which it is refused.
MAX_ENDS_PER_REQUEST = 3
# Ends that are remembered of one request, and requests that are remembered.
MAX_KEPT_ENDS = 8
MAX_ENDED_REQUESTS = 4096
MAX_ANSWERED_REQUESTS = 4096
# For how long a whole answer makes it unlikely that the request is the cause of an end, in seconds.
ANSWERED_TTL_S = 60.0
# Error of the times that other hosts tell, in seconds: what their messages took.
MESSAGE_DELAY_S = 0.02


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """The end of an endpoint that was working on a request.

    Attributes
    ----------
    end_id : int
        Identifies the start of the endpoint, on all hosts.
    sent_at, ended_at : float
        When the endpoint got the request, and when it ended.
    source : str
        Peer that told this host; empty if its own attempt was there.
    request_id : str
        Id of this host's attempt; empty for another host's.
    """

    end_id: int
    sent_at: float
    ended_at: float
    source: str = ""
    request_id: str = ""


@dataclass(slots=True)
class EndedRequest:
    """A request, and the ends of endpoints under it since it was last answered whole.

    Attributes
    ----------
    changed_at : float
        When this host last learned of a further end.
    answered_at : float
        When the request was last answered whole, at any host; -inf if that isn't known.
    """

    fingerprint: int
    ends: dict[int, RequestEnd] = field(default_factory=dict)
    changed_at: float = -math.inf
    answered_at: float = -math.inf

    def list_ends(self, now: float) -> list[RequestEnd]:
        """Return the ends that still count, in time order."""
        ends = [each for each in self.ends.values() if now - each.ended_at <= CRASH_TTL_S]
        return sorted(ends, key=lambda each: each.ended_at)

    def count(self, now: float) -> int:
        """Return how many ends one after the other the request was there for.

        Ends at the same moment count once if the attempts were under way at the same time, or if
        the request was answered lately: what ends a zone ends many endpoints, a request that is in
        demand may be at each, and its second sends follow the outage.
        """
        count, last_end = 0, -math.inf
        for end in self.list_ends(now):
            was_answered = end.ended_at - self.answered_at <= ANSWERED_TTL_S
            is_sent_after = end.sent_at >= last_end - MESSAGE_DELAY_S
            is_later = end.ended_at - last_end > SAME_MOMENT_S
            if is_later or (is_sent_after and not was_answered):
                count, last_end = count + 1, end.ended_at
        return count

    def known_from(self) -> list[str]:
        """Return this host's attempts and the peers that told of the ends."""
        return [each.request_id or each.source for each in self.ends.values()]

    def describe(self, now: float) -> str:
        """Return for the log what is known of the request."""
        ends = self.list_ends(now)
        first_s = now - ends[0].ended_at if ends else 0.0
        sources = ", ".join(self.known_from())
        return (
            f"request {self.fingerprint:016x}: {len(ends)} ends, the first {first_s:.1f} s ago, "
            f"known from {sources}"
        )


class RequestEnds:
    """The requests under which endpoints have ended; the least recently used are evicted first.

    A whole answer to a request shows that endpoints bear it, so that only later ends count. An
    answer that has only begun doesn't.
    """

    def __init__(self) -> None:
        self._requests: OrderedDict[int, EndedRequest] = OrderedDict()
        self._refused: set[int] = set()
        self._answered: OrderedDict[int, float] = OrderedDict()
        self._cleared: OrderedDict[int, float] = OrderedDict()

    def record(self, fingerprint: int, end: RequestEnd, now: float) -> bool:
        """Record an end under a request; return whether it is new and counts."""
        if now - end.ended_at > CRASH_TTL_S:
            return False
        if end.ended_at <= self._answered.get(fingerprint, -math.inf):
            self._clear(fingerprint, now)
            return False
        request = self._requests.setdefault(fingerprint, EndedRequest(fingerprint))
        request.answered_at = self._answered.get(fingerprint, -math.inf)
        self._requests.move_to_end(fingerprint)
        known = request.ends.get(end.end_id)
        if known is not None:
            return False
        request.ends[end.end_id] = end
        if len(request.ends) > MAX_KEPT_ENDS:
            oldest = min(request.ends.values(), key=lambda each: each.ended_at)
            del request.ends[oldest.end_id]
        request.changed_at = now
        if len(request.ends) >= MAX_ENDS_PER_REQUEST:
            self._refused.add(fingerprint)
        while len(self._requests) > MAX_ENDED_REQUESTS:
            evicted, _ = self._requests.popitem(last=False)
            self._refused.discard(evicted)
        return True

    def record_answered(self, fingerprint: int, at: float, now: float) -> bool:
        """Record a whole answer to a request; return whether it clears the request of an end."""
        self._answered[fingerprint] = max(at, self._answered.get(fingerprint, -math.inf))
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MAX_ANSWERED_REQUESTS:
            self._answered.popitem(last=False)
        request = self._requests.get(fingerprint)
        if request is None:
            return False
        request.answered_at = self._answered[fingerprint]
        cleared = [end_id for end_id, end in request.ends.items() if end.ended_at <= at]
        for end_id in cleared:
            del request.ends[end_id]
        if len(request.ends) < MAX_ENDS_PER_REQUEST:
            self._refused.discard(fingerprint)
        if not request.ends:
            del self._requests[fingerprint]
        if cleared:
            self._clear(fingerprint, now)
        return bool(cleared)

    def _clear(self, fingerprint: int, now: float) -> None:
        """Have other hosts told that a request was answered whole after an end under it."""
        self._cleared[fingerprint] = now
        self._cleared.move_to_end(fingerprint)
        if len(self._cleared) > MAX_ANSWERED_REQUESTS:
            self._cleared.popitem(last=False)

    def count(self, fingerprint: int, now: float) -> int:
        """Return how many ends one after the other a request was there for."""
        request = self._requests.get(fingerprint)
        return 0 if request is None else request.count(now)

    def find(self, fingerprint: int) -> EndedRequest | None:
        """Return what is known of a request; None if no endpoint has ended under it."""
        return self._requests.get(fingerprint)

    def find_refused(self, fingerprint: int, now: float) -> EndedRequest | None:
        """Return what is known of a request that is refused; None if it may be sent."""
        if fingerprint not in self._refused:
            return None
        request = self._requests[fingerprint]
        if request.count(now) < MAX_ENDS_PER_REQUEST:
            return None
        self._requests.move_to_end(fingerprint)
        return request

    def changed_since(self, at: float) -> Iterator[EndedRequest]:
        """Yield the requests of which this host has learned something since a time."""
        return (each for each in self._requests.values() if each.changed_at >= at)

    def refused(self, now: float) -> list[EndedRequest]:
        """Return the requests that are refused."""
        found = [self._requests[fingerprint] for fingerprint in sorted(self._refused)]
        return [each for each in found if each.count(now) >= MAX_ENDS_PER_REQUEST]

    def cleared_since(self, at: float) -> list[tuple[int, float]]:
        """Return the requests that have turned out to be borne, and when they were answered."""
        return [
            (fingerprint, self._answered[fingerprint])
            for fingerprint, cleared_at in self._cleared.items()
            if cleared_at >= at and fingerprint in self._answered
        ]


def identify_end(start: EndpointStart) -> int:
    """Return the id of the end of an endpoint's start, the same on all hosts."""
    return zlib.crc32(f"{start.instance_id}/{start.started_ms}".encode())
