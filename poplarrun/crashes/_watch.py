"""What each endpoint is working on, and what that says of its crashes."""

from collections import OrderedDict, deque
from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass, field

from poplarrun.crashes._begun import BegunParts
from poplarrun.crashes._evidence import CrashEvidence, EndpointStart
from poplarrun.crashes._quarantine import Quarantine, Quarantines
from poplarrun.crashes._request_ends import RequestEnd, RequestEnds, identify_end

# A request that broke off, or was given up, this long before its endpoint was found to have ended
# was there at the crash, in seconds.
LEFT_TTL_S = 5.0
MAX_LEFT_ENDPOINTS = 256
MAX_LEFT_REQUESTS = 64
# Parts of one prompt that are looked at. The suspects of a crash are bounded as well.
MAX_PARTS = 32


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request as it was sent to an endpoint.

    Attributes
    ----------
    id : str
        The caller's id of this attempt.
    fingerprint : int
        The same for each repeat of the request.
    sent_at : float
        When it was sent, in seconds.
    """

    id: str
    fingerprint: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class HeldRequest:
    """A request that an endpoint was working on when its process ended.

    Attributes
    ----------
    ended_at : float
        When its connection broke, or the end of the process was found.
    """

    request: SentRequest
    ended_at: float
    is_begun: bool


@dataclass(slots=True)
class _Send:
    """A send to an endpoint that has not been answered whole.

    Attributes
    ----------
    left_at : float, optional
        When its connection broke, or this host closed it; None while it is open.
    is_broken : bool
        Whether the connection broke.
    """

    start: EndpointStart
    parts: tuple[str, ...]
    request: SentRequest | None
    is_begun: bool = False
    left_at: float | None = None
    is_broken: bool = False

    def was_left_lately(self, now: float) -> bool:
        """Return whether the endpoint may still have been at work on the request."""
        return self.left_at is not None and now - self.left_at <= LEFT_TTL_S


@dataclass(frozen=True, slots=True)
class CrashReport:
    """What this host knows of a crash.

    Attributes
    ----------
    requests, begun : int
        Requests of this host that the endpoint held, and those that it had begun to answer.
    suspects : list of str
        Parts of the others on which no answer has begun lately.
    held : list of HeldRequest
        Requests that it was working on, those included that this host had given up.
    """

    start: EndpointStart
    requests: int
    begun: int
    suspects: list[str]
    held: list[HeldRequest]


def leaves_never(_: EndpointStart) -> bool:
    """Return that no endpoint leaves; for hosts without a list of endpoints."""
    return False


@dataclass
class CrashWatch:
    """The requests of this host at endpoints, and the evidence of all hosts.

    Attributes
    ----------
    is_leaving : callable
        Whether a start of an endpoint is about to end in order, which no request is the cause of.
    """

    begun: BegunParts = field(default_factory=BegunParts)
    _open: dict[Hashable, _Send] = field(default_factory=dict)
    _by_start: dict[EndpointStart, set[Hashable]] = field(default_factory=dict)
    _left: OrderedDict[EndpointStart, deque[_Send]] = field(default_factory=OrderedDict)
    requests: RequestEnds = field(default_factory=RequestEnds)
    is_leaving: Callable[[EndpointStart], bool] = leaves_never

    def __post_init__(self) -> None:
        self.evidence = CrashEvidence(self.begun)
        self.quarantines = Quarantines(self.begun)

    def record_sent(
        self,
        send: Hashable,
        start: EndpointStart,
        prompt: Sequence[str],
        request: SentRequest | None = None,
    ) -> None:
        """Record that a request was sent.

        Parameters
        ----------
        send : hashable
            Identifies this send.
        prompt : sequence of str
            All parts of its prompt. The last one is the request's own and no cause.
        """
        self._open[send] = _Send(start, tuple(prompt[:-1][:MAX_PARTS]), request)
        self._by_start.setdefault(start, set()).add(send)

    def record_begun(self, send: Hashable, now: float) -> None:
        """Record that the endpoint has begun to answer."""
        opened = self._open.get(send)
        if opened is not None and not opened.is_begun:
            opened.is_begun = True
            self.apply_begun(opened.parts, now, now)

    def apply_begun(self, parts: Sequence[str], at: float, now: float) -> None:
        """Apply that an answer began on a prompt with these parts, here or at another host."""
        self.begun.record(parts, at)
        self.evidence.clear(parts, now)

    def record_closed(self, send: Hashable, is_broken: bool, now: float) -> None:
        """Record the end of a send, and whether its connection broke."""
        closed = self._pop_open(send)
        if closed is not None and is_broken:
            closed.is_broken = True
            self._keep_left(closed, now)

    def record_given_up(self, send: Hashable, now: float) -> None:
        """Record that this host closed a send at which the endpoint may still be at work."""
        closed = self._pop_open(send)
        if closed is not None:
            self._keep_left(closed, now)

    def _pop_open(self, send: Hashable) -> _Send | None:
        opened = self._open.pop(send, None)
        if opened is not None:
            sends = self._by_start[opened.start]
            sends.discard(send)
            if not sends:
                del self._by_start[opened.start]
        return opened

    def _keep_left(self, closed: _Send, now: float) -> None:
        closed.left_at = now
        self._left.setdefault(closed.start, deque(maxlen=MAX_LEFT_REQUESTS)).append(closed)
        self._left.move_to_end(closed.start)
        while len(self._left) > MAX_LEFT_ENDPOINTS:
            self._left.popitem(last=False)

    def holds_any(self, start: EndpointStart, now: float) -> bool:
        """Return whether an endpoint may be at work on requests of this host."""
        left = self._left.get(start, ())
        return start in self._by_start or any(each.was_left_lately(now) for each in left)

    def has_unbegun(self, start: EndpointStart) -> bool:
        """Return whether an endpoint holds requests of this host that it has not begun."""
        return any(not self._open[send].is_begun for send in self._by_start.get(start, ()))

    def record_ended(self, start: EndpointStart, now: float) -> CrashReport | None:
        """Record that the process of an endpoint has ended; return what is new of it here."""
        left = [each for each in self._left.pop(start, ()) if each.was_left_lately(now)]
        open_sends = [self._open[send] for send in self._by_start.get(start, ())]
        sends = [*(each for each in left if each.is_broken), *open_sends]
        suspects = dict.fromkeys(
            part
            for send in sends
            if not send.is_begun
            for part in send.parts
            if not self.begun.is_cleared(part, now)
        )
        is_news = self.evidence.record(start, now, suspects, now)
        held = self._record_held(start, [*left, *open_sends], now)
        if not is_news and not held:
            return None
        begun_count = sum(send.is_begun for send in sends)
        self._requarantine(list(suspects), now)
        return CrashReport(start, len(sends), begun_count, list(suspects), held)

    def _record_held(
        self, start: EndpointStart, sends: Sequence[_Send], now: float
    ) -> list[HeldRequest]:
        """Record an end under the requests of some sends; return those of which it is new."""
        if self.is_leaving(start):
            return []
        found = []
        for send in sends:
            if send.request is None:
                continue
            request, ended_at = send.request, now if send.left_at is None else send.left_at
            end = RequestEnd(identify_end(start), request.sent_at, ended_at, "", request.id)
            if self.requests.record(request.fingerprint, end, now):
                found.append(HeldRequest(request, ended_at, send.is_begun))
        return found

    def apply_crash(
        self, start: EndpointStart, at: float, parts: Sequence[str], now: float
    ) -> CrashReport | None:
        """Apply what another host knows of a crash; return what this one adds."""
        self.evidence.record(start, at, parts, now)
        self._requarantine(parts, at)
        if self.holds_any(start, now):
            return self.record_ended(start, now)
        return None

    def _requarantine(self, suspects: Sequence[str], now: float) -> None:
        """Refuse anew what has crashed an endpoint after its quarantine."""
        present = frozenset(suspects)
        for lapsed in self.quarantines.lapsed(now):
            if lapsed.parts <= present:
                self.quarantines.add(lapsed.parts, now, now)

    def update(self, now: float) -> list[Quarantine]:
        """Draw the conclusions from the evidence; return what is refused from now on."""
        self.evidence.expire(now)
        for each in self.quarantines.clear():
            cleared = [part for part in each.parts if self.begun.is_cleared(part, each.at)]
            self.evidence.record_cleared(cleared, now)
        self.quarantines.expire(now)
        active = [each.parts for each in self.quarantines.active(now)]
        found = []
        for group in self.evidence.find_culprits(active, now):
            added = self.quarantines.add(group, now, now)
            if added is not None:
                found.append(added)
        return found

    def find_quarantine(self, prompt: Sequence[str], now: float) -> Quarantine | None:
        """Return the quarantine for which a request with this prompt is refused."""
        return self.quarantines.find(prompt[:-1], now)

    def is_cleared(self, prompt: Sequence[str], now: float) -> bool:
        """Return whether a request with this prompt can't crash an endpoint."""
        return all(self.begun.is_cleared(part, now) for part in prompt[:-1])

    def is_suspect(self, prompt: Sequence[str], now: float) -> bool:
        """Return whether a request with this prompt may have crashed an endpoint."""
        if not self.evidence.suspects():
            return False
        active = [each.parts for each in self.quarantines.active(now)]
        return self.evidence.is_suspect(prompt[:-1], active, now)
