"""One endpoint as this host sees it: its load, health and cached prompt prefixes."""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from poplarrun.placement._endpoint_directory import EndpointRecord
from poplarrun.placement._hold_offs import NO_HOLD_OFF, HoldOff, extend_hold_off
from poplarrun.placement._prefixes import KnownPrefixes
from poplarrun.rendezvous import hash_name
from poplarrun.routing import PromptPart, WarmUpLimit

# Time for which a failed endpoint gets no requests, in seconds; it doubles with each
# further failure. Most crashed endpoints are removed from the list within a few seconds.
INITIAL_BACKOFF_DELAY_S = 0.5
MAX_BACKOFF_DELAY_S = 4.0
# Time for which an endpoint that reported to be overloaded gets no requests, in seconds.
OVERLOADED_DELAY_S = 0.15
# Number of prompt parts remembered for each endpoint, and for how long, in seconds.
MAX_PROMPT_PARTS = 4000
PROMPT_PART_TTL_S = 45.0
# Weight of a new measurement in the moving average of an endpoint's slowdown.
SLOWDOWN_WEIGHT = 0.2
MAX_SLOWDOWN = 30.0
MIN_SLOWDOWN = 0.6
# An endpoint that was not reached is listed for about this long if it is down. After that, other
# hosts have reached it.
UNREACHED_TTL_S = 6.0
# Longest time that one notice of a host can make an endpoint look busy, in seconds.
MAX_DRAIN_S = 5.0
# Rejections of an endpoint that are remembered.
MAX_REJECTIONS = 100
# Longest time over which the sends to an endpoint are counted, in seconds.
MAX_SEND_WINDOW_S = 10.0
# Time in seconds without a measurement in which the excess of the slowdown over 1 halves: an
# endpoint without recent measurements is assumed to be as fast as the others again.
SLOWDOWN_HALF_LIFE_S = 8.0


@dataclass(eq=False)
class EndpointState:
    """An endpoint's latest record and what this host observed of it.

    Attributes
    ----------
    in_flight : int
        Requests of this host that run there.
    peer_in_flight : float
        Requests of the other hosts that run there, as last reported.
    pending_prefill_s : float
        Prefill time of this host's prompts without a first event yet, in seconds.
    peer_pending_prefill_s : float
        The same for the other hosts, as last reported.
    drained_at : float
        When the prompts that wait there will have been read, as the hosts of the zone expect.
    slowdown : float
        Ratio of the measured to the expected time to the first event.
    last_response_at : float
        When a part of an answer last arrived.
    unreached_at : float
        When this host's last attempt got neither a connection nor an answer; -inf if it got one.
    is_unreached_by_others : bool
        Whether the hosts of a zone that should reach it report that they don't.
    warm_at : float
        When it is warm according to its record.
    returned_at : float
        When it was last reached again, or its zone was taken back from an evacuation. It may have
        restarted meanwhile, and its record says so seconds later.
    rate_limit_per_s : float, optional
        Requests a second that it takes from all hosts together, by its latest answers.
    rate_limit_at : float
        As of when that is known.
    has_named_limit : bool
        Whether it is known to have named a limit since its start.
    room_at_rejection : int
        Requests that this host had there when it last rejected one as not run.
    hold_off : HoldOff
        Its latest demand that this host stay away.
    relay_hold_off : HoldOff
        The latest demand that a peer had got and for which it relayed no connection. It holds for
        connections through any peer.
    taken_since_hold_off : int
        Requests sent after the latest demand had ended that it did not reject.
    prefixes : KnownPrefixes
        Beginnings of prompts that other hosts sent there.
    """

    record: EndpointRecord
    in_flight: int = 0
    peer_in_flight: float = 0.0
    pending_prefill_s: float = 0.0
    peer_pending_prefill_s: float = 0.0
    drained_at: float = -math.inf
    slowdown: float = 1.0
    slowdown_at: float = -math.inf
    failures: int = 0
    paused_until: float = -math.inf
    last_response_at: float = -math.inf
    unreached_at: float = -math.inf
    is_unreached_by_others: bool = False
    warm_at: float = -math.inf
    returned_at: float = -math.inf
    rate_limit_per_s: float | None = None
    rate_limit_at: float = -math.inf
    has_named_limit: bool = False
    room_at_rejection: int = 0
    hold_off: HoldOff = NO_HOLD_OFF
    relay_hold_off: HoldOff = NO_HOLD_OFF
    taken_since_hold_off: int = 0
    _send_times: deque[float] = field(default_factory=deque)
    _rejection_times: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_REJECTIONS))
    _prompt_parts: OrderedDict[tuple[str, str], float] = field(default_factory=OrderedDict)
    prefixes: KnownPrefixes = field(
        default_factory=lambda: KnownPrefixes(MAX_PROMPT_PARTS, PROMPT_PART_TTL_S)
    )

    def __post_init__(self) -> None:
        self.salt = hash_name(self.record.instance_id)

    @property
    def load(self) -> float:
        """Requests per slot."""
        return (self.in_flight + self.peer_in_flight) / self.record.slots

    def queue_s(self, now: float) -> float:
        """Return the prefill time of the prompts that wait there, in seconds.

        Reports of what waits are some tenths of a second old; what hosts say when they send is
        newer, and lacks what hosts of other zones send.
        """
        reported_s = self.pending_prefill_s + self.peer_pending_prefill_s
        return max(reported_s, self.drained_at - now)

    def record_drain(self, drain_s: float, now: float) -> None:
        """Record that the prompts that wait there take that long to be read."""
        self.drained_at = max(self.drained_at, now + min(MAX_DRAIN_S, drain_s))

    def update_warm_up(self, now: float) -> None:
        """Apply the warm-up time of a record that has just arrived."""
        if self.record.warm_up_s > 0.0:
            self.warm_at = max(self.warm_at, now + self.record.warm_up_s)

    def may_be_warming_up(self, limit: WarmUpLimit, now: float) -> bool:
        """Return whether it may be warming up, so that its rate is limited."""
        if self.is_unreached_by_others or now - self.unreached_at < UNREACHED_TTL_S:
            return True
        return now < max(self.warm_at, self.returned_at + limit.duration_s)

    def record_rate_limit(self, rate_per_s: float | None, sent_at: float, now: float) -> bool:
        """Record the rate limit that an answer names, or that it names none; True if it changes.

        Parameters
        ----------
        sent_at : float
            When the request was sent. An answer without a limit to a request that was sent before
            the limit was named may be older than the limit.
        """
        if rate_per_s is None:
            return self.apply_rate_limit(None, sent_at)
        return self.apply_rate_limit(rate_per_s, now)

    def apply_rate_limit(self, rate_per_s: float | None, as_of: float) -> bool:
        """Apply the rate limit as of a time, unless a later one is known; True if it changes."""
        self.has_named_limit = self.has_named_limit or rate_per_s is not None
        if as_of <= self.rate_limit_at:
            return False
        is_change = rate_per_s != self.rate_limit_per_s
        self.rate_limit_per_s = rate_per_s
        self.rate_limit_at = as_of
        return is_change

    def record_send(self, now: float) -> None:
        """Record a request that is sent there."""
        self._send_times.append(now)
        self._drop_old_sends(now)

    def count_sends(self, now: float, window_s: float) -> int:
        """Return the number of requests that this host sent there in the last ``window_s``."""
        count = 0
        for sent_at in reversed(self._send_times):
            if now - sent_at > window_s:
                break
            count += 1
        return count

    def _drop_old_sends(self, now: float) -> None:
        while self._send_times and now - self._send_times[0] > MAX_SEND_WINDOW_S:
            self._send_times.popleft()

    def record_unreached(self, now: float) -> None:
        """Record that an attempt got neither a connection nor an answer."""
        self.unreached_at = now

    def record_reached(self, now: float) -> None:
        """Record that a part of an answer arrived."""
        self.last_response_at = now
        if self.unreached_at > -math.inf:
            self.unreached_at = -math.inf
            self.returned_at = now

    def retract_unreached(self) -> None:
        """Forget that it was not reached: this host's link to it failed, not the endpoint."""
        self.unreached_at = -math.inf
        self.failures = 0
        self.paused_until = -math.inf

    def update_unreached_by_others(self, is_unreached: bool, now: float) -> None:
        """Apply what the other hosts report."""
        if self.is_unreached_by_others and not is_unreached:
            self.returned_at = now
        self.is_unreached_by_others = is_unreached

    def current_slowdown(self, now: float) -> float:
        """Return the slowdown, which decays towards 1 with the age of the last measurement."""
        if self.slowdown == 1.0:
            return 1.0
        decay: float = 0.5 ** (max(0.0, now - self.slowdown_at) / SLOWDOWN_HALF_LIFE_S)
        return 1.0 + (self.slowdown - 1.0) * decay

    def record_first_event(self, expected_s: float, first_event_s: float, now: float) -> None:
        """Record the time to a first event."""
        ratio = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, first_event_s / max(0.02, expected_s)))
        previous = self.current_slowdown(now)
        self.slowdown = previous + SLOWDOWN_WEIGHT * (ratio - previous)
        self.slowdown_at = now

    def record_success(self) -> None:
        """Record a complete answer, which ends any backoff."""
        self.failures = 0
        self.paused_until = -math.inf

    def is_paused(self, now: float) -> bool:
        """Return whether the endpoint should get no requests at a time."""
        return now < self.paused_until

    def is_available(self, now: float) -> bool:
        """Return whether it should get requests while others can take them."""
        return not self.is_paused(now) and not self.is_unreached_by_others

    def record_failure(self, now: float) -> None:
        """Start an exponential backoff; failures during a backoff don't extend it."""
        if self.is_paused(now):
            return
        delay_s = min(MAX_BACKOFF_DELAY_S, INITIAL_BACKOFF_DELAY_S * 2.0 ** min(self.failures, 6))
        self.failures += 1
        self.paused_until = now + delay_s

    def record_rejected(self, now: float) -> None:
        """Record that it rejected a request, which doesn't count as one in flight any more."""
        self._rejection_times.append(now)
        self.room_at_rejection = self.in_flight

    @property
    def rejected_at(self) -> float:
        """When it last rejected a request of this host as not run; -inf if it never did."""
        return self._rejection_times[-1] if self._rejection_times else -math.inf

    def count_rejections(self, now: float, window_s: float) -> int:
        """Return how many requests of this host it rejected in the last ``window_s``."""
        return sum(now - at <= window_s for at in self._rejection_times)

    def record_overloaded(self, now: float) -> None:
        """Send no requests for a moment, because the endpoint reported to be overloaded."""
        self.paused_until = max(self.paused_until, now + OVERLOADED_DELAY_S)

    def record_hold_off(self, seconds: float, now: float) -> None:
        """Record that it wants no request from this host for some time."""
        self.hold_off = extend_hold_off(self.hold_off, seconds, now)
        self.taken_since_hold_off = 0

    def record_relay_hold_off(self, seconds: float, now: float) -> None:
        """Record that a peer must send it nothing for some time."""
        self.relay_hold_off = extend_hold_off(self.relay_hold_off, seconds, now)

    def record_taken(self, sent_at: float) -> None:
        """Record that it has begun to answer a request."""
        if sent_at >= self.hold_off.until:
            self.taken_since_hold_off += 1

    def record_prompt(self, size: str, parts: tuple[PromptPart, ...], now: float) -> None:
        """Record that the endpoint has a prompt in its cache."""
        for part in parts:
            key = (size, part.key)
            self._prompt_parts[key] = now
            self._prompt_parts.move_to_end(key)
        while len(self._prompt_parts) > MAX_PROMPT_PARTS:
            self._prompt_parts.popitem(last=False)

    def forget_prompts(self) -> None:
        """Forget which prompts it has cached."""
        self._prompt_parts.clear()
        self.prefixes.clear()

    def count_cached_tokens(
        self,
        size: str,
        parts: tuple[PromptPart, ...],
        now: float,
        prefixes: tuple[tuple[int, int], ...] = (),
    ) -> int:
        """Return the length in tokens of the prompt's prefix that the endpoint has cached.

        Parameters
        ----------
        prefixes : tuple of (int, int)
            Fingerprints and lengths of its beginnings, to compare with what other hosts sent.
        """
        cached_tokens = 0
        for part in parts:
            read_at = self._prompt_parts.get((size, part.key))
            if read_at is None or now - read_at > PROMPT_PART_TTL_S:
                break
            cached_tokens += part.tokens
        return (
            max(cached_tokens, self.prefixes.count_tokens(prefixes, now))
            if prefixes
            else cached_tokens
        )
