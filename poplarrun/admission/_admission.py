"""The decision whether a request starts, waits in the queue, or is refused."""

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field

from poplarrun.admission._concurrency import AimdLimit
from poplarrun.admission._queue import FairQueue, Ticket
from poplarrun.errors import ErrorKind

# Load of an endpoint, in requests for each place, up to which it gets more. What
# waited there would be out of reach of importance and fairness.
FULL_LOAD = 1.0
# Share of the places kept free for more important work while some of it comes.
RESERVED_SHARE = 0.05
RATE_WINDOW_S = 2.0
SHORTEST_RETRY_S = 0.2
LONGEST_RETRY_S = 30.0
# Share of the starts that the more important classes never take in the forecast:
# their present rate is not for ever.
LEAST_LEFT_SHARE = 0.02


@dataclass(frozen=True, slots=True)
class CandidateLoad:
    """Load of the place that a request would get, in requests for each place.

    Attributes
    ----------
    endpoint : float
        Of the endpoint, with half of the request.
    pool : float
        Mean of all endpoints that it could have got.
    """

    endpoint: float
    pool: float


@dataclass(frozen=True, slots=True)
class Admitted:
    """It starts now."""


@dataclass(frozen=True, slots=True)
class Queued:
    """It waits in the queue."""

    wait_s: float


@dataclass(frozen=True, slots=True)
class Refused:
    """It never starts; the caller hears why, and when to come back."""

    kind: ErrorKind
    reason: str
    retry_after_s: float


Verdict = Admitted | Queued | Refused


@dataclass
class _Rate:
    """Events a second over the last seconds."""

    times: deque[float] = field(default_factory=deque)

    def note(self, now: float) -> None:
        self.times.append(now)

    def per_s(self, now: float) -> float:
        while self.times and self.times[0] < now - RATE_WINDOW_S:
            self.times.popleft()
        return len(self.times) / RATE_WINDOW_S


class Admission:
    """Admission to the endpoints of one version, at one host.

    Parameters
    ----------
    max_queued : int
        Most requests that wait at once.

    Attributes
    ----------
    in_flight : int
        Requests of this host at the version's endpoints.
    """

    def __init__(self, max_queued: int) -> None:
        self.queue = FairQueue(max_queued)
        self.limit = AimdLimit()
        self.in_flight = 0
        self.dropped: list[Ticket] = []
        self._starts = _Rate()
        self._arrivals: dict[int, _Rate] = {}

    def offer(self, ticket: Ticket, load: CandidateLoad, now: float) -> Verdict:
        """Decide on a new request.

        Parameters
        ----------
        ticket : Ticket
            The request.
        load : CandidateLoad
            Load of the best endpoint found, and of all.
        now : float
            The time.
        """
        self._arrivals.setdefault(ticket.importance, _Rate()).note(now)
        ahead = self.queue.count_ahead(ticket.importance)
        if ahead == 0 and self.has_room(load, ticket.importance, now):
            self._starts.note(now)
            return Admitted()
        wait_s = self._forecast_wait(ahead, ticket.importance, now)
        if now + wait_s > ticket.start_by:
            late_s = now + wait_s - ticket.start_by
            return Refused(
                ErrorKind.DEADLINE_UNREACHABLE,
                f"it would wait {wait_s:.1f} s, {late_s:.1f} s too long for its class",
                _bound_retry(late_s),
            )
        if len(self.queue) >= self.queue.max_size:
            dropped = self.queue.make_room(ticket.importance)
            if dropped is None:
                return Refused(
                    ErrorKind.QUEUE_FULL,
                    f"{self.queue.max_size} requests of this or more importance wait",
                    _bound_retry(wait_s),
                )
            self.dropped.append(dropped)
        self.queue.push(ticket)
        return Queued(wait_s)

    def has_room(self, load: CandidateLoad, importance: int, now: float) -> bool:
        """Tell whether an endpoint that would have this load may be given more."""
        if not self.can_accept(load, importance, now):
            return False
        return self.limit.has_room(self.in_flight, load.pool) or self._goes_first(importance, now)

    def can_accept(self, load: CandidateLoad, importance: int, now: float) -> bool:
        """Tell whether a place that became free may be used again."""
        reserved = RESERVED_SHARE if self._higher_per_s(importance, now) > 0.0 else 0.0
        return load.endpoint <= FULL_LOAD - reserved

    def estimate_backlog_s(self, now: float) -> float:
        """Return how long those that wait need to start, at the present rate."""
        return len(self.queue) / max(self._starts.per_s(now), 1.0 / RATE_WINDOW_S)

    def record_wait(self, wait_s: float, now: float, pool_load: float) -> None:
        """Take in how long a request waited at its endpoint before it began."""
        self.limit.record_wait(wait_s, self.in_flight, now, pool_load)

    def start_next(self, now: float) -> Ticket:
        """Take the waiting request that starts now."""
        self._starts.note(now)
        return self.queue.pop()

    def refuse_expired(self, now: float) -> list[tuple[Ticket, Refused]]:
        """Refuse those that can't start in time, and those that made room for others."""
        given_up = []
        for ticket in self.queue.remove_expired(now):
            reason = "no endpoint became free in time for its class"
            wait_s = self._forecast_wait(
                self.queue.count_ahead(ticket.importance), ticket.importance, now
            )
            refused = Refused(ErrorKind.DEADLINE_UNREACHABLE, reason, _bound_retry(wait_s))
            given_up.append((ticket, refused))
        for ticket in self.dropped:
            wait_s = self._forecast_wait(len(self.queue), ticket.importance, now)
            reason = "more important work took its place in the queue"
            refused = Refused(ErrorKind.QUEUE_FULL, reason, _bound_retry(wait_s))
            given_up.append((ticket, refused))
        self.dropped.clear()
        return given_up

    def _goes_first(self, importance: int, now: float) -> bool:
        """Tell whether work of this importance passes all other work at the endpoints.

        What the limit holds back is then the less important work: held by it, the
        urgent would wait for places that the endpoints give to it first anyway.
        """
        lower = sum(rate.per_s(now) for at, rate in self._arrivals.items() if at < importance)
        return lower > 0.0 and self._higher_per_s(importance, now) == 0.0

    def _higher_per_s(self, importance: int, now: float) -> float:
        return sum(rate.per_s(now) for at, rate in self._arrivals.items() if at > importance)

    def _forecast_wait(self, ahead: int, importance: int, now: float) -> float:
        """Return the expected wait behind so many others.

        More important requests that come later go first, too: only the starts
        that they leave count.
        """
        starts = max(self._starts.per_s(now), 1.0 / RATE_WINDOW_S)
        higher = self._higher_per_s(importance, now)
        return (ahead + 1) / max(starts - higher, starts * LEAST_LEFT_SHARE)


class Admissions:
    """Admission to everything, one queue a version.

    Parameters
    ----------
    max_queued : int
        Most requests that wait for one version.
    """

    def __init__(self, max_queued: int) -> None:
        self._bound = max_queued
        self._by_work: dict[Hashable, Admission] = {}

    def for_version(self, work: Hashable) -> Admission:
        """Return the admission to a version."""
        admission = self._by_work.get(work)
        if admission is None:
            admission = self._by_work[work] = Admission(self._bound)
        return admission

    def list_active(self) -> list[tuple[Hashable, Admission]]:
        """Return those with requests that wait, or that have yet to hear of their end."""
        return [(w, a) for w, a in self._by_work.items() if len(a.queue) or a.dropped]


def _bound_retry(seconds: float) -> float:
    return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, seconds))
