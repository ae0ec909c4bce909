"""One endpoint as this host sees it: load, health and the prompts that it remembers."""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from poplarrun.placement._endpoint_directory import EndpointRecord
from poplarrun.rendezvous import hash_name
from poplarrun.routing import PromptPart

# A failed endpoint gets nothing for this time, doubled with each further failure,
# in seconds: most crashed ones are listed as gone within a few seconds.
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 4.0
# An endpoint that says it is full is passed over for a moment, in seconds.
FULL_PAUSE_S = 0.15
# Prompt parts that are remembered for each endpoint, and for how long, in seconds.
KEPT_PARTS = 4000
PART_KEPT_S = 45.0
# Weight of a new time among those before, in the mean of how slow an endpoint is.
SLOWNESS_WEIGHT = 0.2
MOST_SLOWNESS = 30.0
LEAST_SLOWNESS = 0.6
# Without news an endpoint is taken for as fast as the others again, in seconds.
SLOWNESS_HALF_S = 8.0


@dataclass(eq=False)
class EndpointState:
    """An endpoint.

    Attributes
    ----------
    in_flight : int
        Requests of this host that run there.
    peer_in_flight : float
        Requests of the other hosts, by their last word.
    pending_prefill_s : float
        Time that the prompts of this host that are still being read there take.
    peer_pending_prefill_s : float
        The same of the other hosts.
    slowdown : float
        How many times longer than expected its first events take.
    last_response_at : float
        When something of an answer last came.
    """

    record: EndpointRecord
    in_flight: int = 0
    peer_in_flight: float = 0.0
    pending_prefill_s: float = 0.0
    peer_pending_prefill_s: float = 0.0
    slowdown: float = 1.0
    slowdown_at: float = -math.inf
    failures: int = 0
    paused_until: float = -math.inf
    last_response_at: float = -math.inf
    _parts: OrderedDict[tuple[str, str], float] = field(default_factory=OrderedDict)

    def __post_init__(self) -> None:
        self.salt = hash_name(self.record.instance_id)

    @property
    def load(self) -> float:
        """Requests for each of its places."""
        return (self.in_flight + self.peer_in_flight) / self.record.slots

    @property
    def queue_s(self) -> float:
        """Time until the prompts that wait there are read."""
        return self.pending_prefill_s + self.peer_pending_prefill_s

    def current_slowdown(self, now: float) -> float:
        """Return how slow it is, which is believed less with time."""
        faded: float = 0.5 ** (max(0.0, now - self.slowdown_at) / SLOWNESS_HALF_S)
        return 1.0 + (self.slowdown - 1.0) * faded

    def record_first_event(self, expected_s: float, taken_s: float, now: float) -> None:
        """Take in the time to a first event."""
        ratio = min(MOST_SLOWNESS, max(LEAST_SLOWNESS, taken_s / max(0.02, expected_s)))
        before = self.current_slowdown(now)
        self.slowdown = before + SLOWNESS_WEIGHT * (ratio - before)
        self.slowdown_at = now

    def record_success(self) -> None:
        """Take in a whole answer."""
        self.failures = 0
        self.paused_until = -math.inf

    def is_paused(self, now: float) -> bool:
        """Tell whether it is passed over at a time."""
        return now < self.paused_until

    def record_failure(self, now: float) -> None:
        """Pass it over for a while; failures within one pause count once."""
        if self.is_paused(now):
            return
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2.0 ** min(self.failures, 6))
        self.failures += 1
        self.paused_until = now + pause_s

    def record_overloaded(self, now: float) -> None:
        """Pass it over for a moment."""
        self.paused_until = max(self.paused_until, now + FULL_PAUSE_S)

    def record_prompt(self, size: str, parts: tuple[PromptPart, ...], now: float) -> None:
        """Note that it has read a prompt."""
        for part in parts:
            key = (size, part.key)
            self._parts[key] = now
            self._parts.move_to_end(key)
        while len(self._parts) > KEPT_PARTS:
            self._parts.popitem(last=False)

    def count_cached_tokens(self, size: str, parts: tuple[PromptPart, ...], now: float) -> int:
        """Return how many tokens of a prompt's beginning it has read before."""
        known = 0
        for part in parts:
            read_at = self._parts.get((size, part.key))
            if read_at is None or now - read_at > PART_KEPT_S:
                break
            known += part.tokens
        return known
