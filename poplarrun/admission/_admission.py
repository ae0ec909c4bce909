"""Decides whether a request starts, waits in the queue, or is refused."""

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field

from poplarrun.admission._concurrency import AimdLimit
from poplarrun.admission._queue import FairQueue, Ticket
from poplarrun.errors import ErrorKind

# Load of an endpoint, in requests per slot, up to which it gets more requests. Requests
# queued at an endpoint can't be ordered by importance and fairness any more.
MAX_LOAD = 1.0
# Fraction of the slots that is reserved for more important requests while some arrive.
RESERVED_FRACTION = 0.05
# Length of the window over which arrival and start rates are measured, in seconds.
RATE_WINDOW_S = 2.0
# Limits of the delay after which a refused caller should retry, in seconds.
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 30.0
# Least fraction of the start rate that the wait estimate assumes to be left by the more
# important classes, since their current rate won't last.
MIN_REMAINING_START_FRACTION = 0.02


@dataclass(frozen=True, slots=True)
class CandidateLoad:
    """Load of the candidate endpoint and of its pool, in requests per slot.

    Attributes
    ----------
    endpoint : float
        Load of the endpoint, including half of the request.
    pool : float
        Mean load of all endpoints that the request could be sent to.
    """

    endpoint: float
    pool: float


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request starts now."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits in the queue for an estimated time."""

    wait_s: float


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused; the caller gets the reason and the time of a retry."""

    kind: ErrorKind
    reason: str
    retry_after_s: float


Verdict = Admitted | Queued | Refused


@dataclass
class _Rate:
    """Rate of events over a sliding window."""

    timestamps: deque[float] = field(default_factory=deque)

    def record(self, now: float) -> None:
        self.timestamps.append(now)

    def per_s(self, now: float) -> float:
        while self.timestamps and self.timestamps[0] < now - RATE_WINDOW_S:
            self.timestamps.popleft()
        return len(self.timestamps) / RATE_WINDOW_S


class Admission:
    """Admission to the endpoints of one version, at one host.

    Parameters
    ----------
    max_queued : int
        Maximum number of queued requests.

    Attributes
    ----------
    in_flight : int
        Requests of this host at the version's endpoints.
    evicted : list of Ticket
        Requests that were evicted from the queue and are not refused yet.
    """

    def __init__(self, max_queued: int) -> None:
        self.queue = FairQueue(max_queued)
        self.limit = AimdLimit()
        self.in_flight = 0
        self.evicted: list[Ticket] = []
        self._starts = _Rate()
        self._arrivals: dict[int, _Rate] = {}

    def offer(self, ticket: Ticket, load: CandidateLoad, now: float) -> Verdict:
        """Decide on a new request.

        Parameters
        ----------
        ticket : Ticket
            The request.
        load : CandidateLoad
            Load of the best endpoint found, and of its pool.
        now : float
            The current time.
        """
        self._arrivals.setdefault(ticket.importance, _Rate()).record(now)
        queued_ahead = self.queue.count_ahead(ticket.importance)
        if queued_ahead == 0 and self.has_room(load, ticket.importance, now):
            self._starts.record(now)
            return Admitted()
        wait_s = self._estimate_wait_s(queued_ahead, ticket.importance, now)
        if now + wait_s > ticket.start_by:
            excess_wait_s = now + wait_s - ticket.start_by
            return Refused(
                ErrorKind.DEADLINE_UNREACHABLE,
                f"it would wait {wait_s:.1f} s, {excess_wait_s:.1f} s too long for its class",
                _clamp_retry_delay_s(excess_wait_s),
            )
        if len(self.queue) >= self.queue.max_size:
            evicted = self.queue.make_room(ticket.importance)
            if evicted is None:
                return Refused(
                    ErrorKind.QUEUE_FULL,
                    f"{self.queue.max_size} requests of this or more importance wait",
                    _clamp_retry_delay_s(wait_s),
                )
            self.evicted.append(evicted)
        self.queue.push(ticket)
        return Queued(wait_s)

    def has_room(self, load: CandidateLoad, importance: int, now: float) -> bool:
        """Return whether a request may start at an endpoint that would have this load."""
        if not self.can_accept(load, importance, now):
            return False
        return self.limit.has_room(self.in_flight, load.pool) or self._has_endpoint_priority(
            importance, now
        )

    def can_accept(self, load: CandidateLoad, importance: int, now: float) -> bool:
        """Return whether a request may take a slot that has just become free."""
        reserved = RESERVED_FRACTION if self._higher_priority_rate(importance, now) > 0.0 else 0.0
        return load.endpoint <= MAX_LOAD - reserved

    def estimate_backlog_s(self, now: float) -> float:
        """Return the time until all queued requests have started, at the current rate."""
        return len(self.queue) / max(self._starts.per_s(now), 1.0 / RATE_WINDOW_S)

    def record_wait(self, wait_s: float, now: float, pool_load: float) -> None:
        """Record how long a request waited at its endpoint before it started."""
        self.limit.record_wait(wait_s, self.in_flight, now, pool_load)

    def start_next(self, now: float) -> Ticket:
        """Remove and return the queued request that starts now."""
        self._starts.record(now)
        return self.queue.pop()

    def refuse_expired(self, now: float) -> list[tuple[Ticket, Refused]]:
        """Refuse the queued requests that can't start in time, and those that were evicted."""
        refusals = []
        for ticket in self.queue.remove_expired(now):
            reason = "no endpoint became free in time for its class"
            wait_s = self._estimate_wait_s(
                self.queue.count_ahead(ticket.importance), ticket.importance, now
            )
            refused = Refused(ErrorKind.DEADLINE_UNREACHABLE, reason, _clamp_retry_delay_s(wait_s))
            refusals.append((ticket, refused))
        for ticket in self.evicted:
            wait_s = self._estimate_wait_s(len(self.queue), ticket.importance, now)
            reason = "more important work took its place in the queue"
            refused = Refused(ErrorKind.QUEUE_FULL, reason, _clamp_retry_delay_s(wait_s))
            refusals.append((ticket, refused))
        self.evicted.clear()
        return refusals

    def _has_endpoint_priority(self, importance: int, now: float) -> bool:
        """Return whether the endpoints serve this importance before all other requests.

        The concurrency limit is then meant for the less important requests. If it applied to
        urgent ones, they would wait here for slots that the endpoints give to them first.
        """
        lower_priority_rate = sum(
            rate.per_s(now) for at, rate in self._arrivals.items() if at < importance
        )
        return lower_priority_rate > 0.0 and self._higher_priority_rate(importance, now) == 0.0

    def _higher_priority_rate(self, importance: int, now: float) -> float:
        return sum(rate.per_s(now) for at, rate in self._arrivals.items() if at > importance)

    def _estimate_wait_s(self, queued_ahead: int, importance: int, now: float) -> float:
        """Return the expected wait behind a number of queued requests, in seconds.

        More important requests that arrive later start first, so that only the remaining
        part of the start rate counts.
        """
        starts_per_s = max(self._starts.per_s(now), 1.0 / RATE_WINDOW_S)
        higher_priority_rate = self._higher_priority_rate(importance, now)
        return (queued_ahead + 1) / max(
            starts_per_s - higher_priority_rate, starts_per_s * MIN_REMAINING_START_FRACTION
        )


class Admissions:
    """Admission control of one host, with one queue for each version.

    Parameters
    ----------
    max_queued : int
        Maximum number of queued requests for each version.
    """

    def __init__(self, max_queued: int) -> None:
        self._max_queued = max_queued
        self._by_version: dict[Hashable, Admission] = {}

    def for_version(self, version: Hashable) -> Admission:
        """Return the admission control of a version."""
        admission = self._by_version.get(version)
        if admission is None:
            admission = self._by_version[version] = Admission(self._max_queued)
        return admission

    def list_active(self) -> list[tuple[Hashable, Admission]]:
        """Return the versions with queued requests, or with evicted ones to be refused."""
        return [(v, a) for v, a in self._by_version.items() if len(a.queue) or a.evicted]


def _clamp_retry_delay_s(seconds: float) -> float:
    return min(MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, seconds))
