"""Chooses among models of different cost and quality.

There is no feedback on whether an answer is good. A model's confidence in its own answer
is the only evidence, so the smallest model answers first, and a larger one is asked if the
confidence is low, before the caller has received anything.
"""

import enum
import math
from dataclasses import dataclass

from poplarrun.placement import EndpointEstimate
from poplarrun.routing import InFlightRequest, Request, Service
from poplarrun.sizes._urgency import PrefillByPriority

# The confidence at which an answer is good with a probability of one half, and the change
# of confidence that changes the odds by a factor of e. The step is small: answers well
# below the midpoint are nearly all poor, and those well above it nearly all good.
MIDPOINT_CONFIDENCE = 0.5
ODDS_STEP = 0.06
# Probability that the largest model answers well.
LARGEST_MODEL_QUALITY = 0.97
# Worth of a late and of a poor answer, as a fraction of one that is good and in time.
LATE_WORTH_FRACTION = 0.3
POOR_WORTH_FRACTION = 0.05
# Price of the most expensive model for the mean request of a route, as a fraction of the
# worth of a good answer. Operators configure prices and not what an answer is worth to
# them; they would not offer a model whose price came near that.
PRICE_TO_WORTH_FRACTION = 0.15
# Price of a prompt token, as a multiple of the price of a generated one.
PROMPT_PRICE_FACTOR = 0.25
# A request is worth more the longer it is. Its length is counted in prompt tokens, with
# this many for each generated token, and this fraction of the worth is independent of it.
GENERATED_LENGTH_FACTOR = 10.0
FIXED_WORTH_FRACTION = 0.3
# Weight of a new request in the moving averages of its route.
MEAN_WEIGHT = 0.05
# Minimum gain for an escalation, and what full queues add to it: each answer of a larger
# model delays the requests that wait behind it.
MIN_GAIN = 0.08
QUEUE_GAIN_FACTOR = 1.0
# The same for services with a small cache per token: what full queues add for a request that delays
# no more urgent one, and what they add beyond that if all prefill time goes to more urgent ones.
# Virtual time, 81 hosts, 45 engines, two customers with bursts, three seeds: worth 0.808 and
# 0.737 with these values, 0.800 and 0.742 with a factor of 1 and the own target for all.
LEAST_QUEUE_GAIN_FACTOR = 0.5
URGENT_QUEUE_GAIN_FACTOR = 3.0
# Prefill time in seconds from which a request delays the others fully. A short prompt delays
# nobody, so its larger model is not withheld.
FULL_DELAY_PREFILL_S = 0.5
# Fraction of the target latency that an expected time may take: expected times are means,
# and half of the answers take longer.
EXPECTED_TIME_FRACTION = 0.8


def good_answer_probability(confidence: float) -> float:
    """Return the probability that an answer of this confidence is good, both 0 to 1."""
    return 1.0 / (1.0 + math.exp((MIDPOINT_CONFIDENCE - confidence) / ODDS_STEP))


def _request_price(request: Request) -> float:
    """Return the price of a request, in units of a generated token's price."""
    return PROMPT_PRICE_FACTOR * max(1, request.prompt_tokens) + request.expected_tokens


def _request_length(request: Request) -> float:
    """Return the length of a request, in prompt tokens."""
    return max(1, request.prompt_tokens) + GENERATED_LENGTH_FACTOR * request.expected_tokens


@dataclass(slots=True)
class MeanRequest:
    """Moving averages over the requests of a route.

    Attributes
    ----------
    price, length : float
        Mean price, in units of a generated token's price, and mean length, in prompt tokens.
    count : float
        Number of requests so far.
    """

    price: float
    length: float
    count: float = 1.0

    def update(self, request: Request) -> None:
        """Add a request to the averages; the first few have equal weights."""
        self.count += 1.0
        weight = max(MEAN_WEIGHT, 1.0 / self.count)
        self.price += weight * (_request_price(request) - self.price)
        self.length += weight * (_request_length(request) - self.length)


class KeepReason(enum.Enum):
    """Why an answer is kept and no larger model asked.

    ``NOT_ALLOWED`` stands for a request that has no larger model or may not be sent again.
    """

    NOT_ALLOWED = "not_allowed"
    CONFIDENT = "confident"
    BUDGET = "budget"
    NO_ENDPOINT = "no_endpoint"
    LATE = "late"
    QUEUE = "queue"

    @property
    def is_low_confidence(self) -> bool:
        """Whether the larger model would have been asked on an idle engine."""
        return self not in (KeepReason.NOT_ALLOWED, KeepReason.CONFIDENT)


@dataclass(frozen=True, slots=True)
class SizeDecision:
    """Whether the largest model is asked in place of an answer, and what decided it.

    Attributes
    ----------
    kept : KeepReason, optional
        Why the answer is kept; None if the largest model is asked.
    gain : float
        Expected gain, as a fraction of the worth of a good answer in time.
    queue : float
        What the queue at the endpoint adds to the minimum gain.
    """

    kept: KeepReason | None
    gain: float = 0.0
    queue: float = 0.0

    @property
    def is_asked(self) -> bool:
        """Whether the largest model is asked."""
        return self.kept is None


class SizePolicy:
    """Chooses the model of each send; keeps the mean request of each route.

    For services with a small cache per token it also keeps how much prefill time goes to requests
    of each priority.
    """

    def __init__(self) -> None:
        self._mean_requests: dict[str, MeanRequest] = {}
        self._prefills: dict[str, PrefillByPriority] = {}

    def record_request(self, work: InFlightRequest) -> None:
        """Update the mean length and price of the requests of a route."""
        request = work.request
        mean_request = self._mean_requests.get(work.route.name)
        if mean_request is None:
            self._mean_requests[work.route.name] = MeanRequest(
                _request_price(request), _request_length(request)
            )
        else:
            mean_request.update(request)

    def first_size(self, work: InFlightRequest) -> str | None:
        """Return the model for a new request; None if the caller named one."""
        sizes = work.route.sizes
        if not sizes or work.request.model != "*":
            return None
        return sizes[0]

    def escalation_size(self, work: InFlightRequest) -> str | None:
        """Return the model to ask after a doubtful answer; None if there is no larger one."""
        sizes = work.route.sizes
        if not sizes or work.model_size is None or work.model_size == sizes[-1]:
            return None
        return sizes[-1]

    def record_send(
        self, work: InFlightRequest, prefill_s: float, service: Service, now: float
    ) -> None:
        """Record the prefill time of a send, of any model."""
        if not service.has_light_cache:
            return
        prefills = self._prefills.setdefault(service.name, PrefillByPriority())
        prefills.record_send(work.priority, prefill_s, now)

    def is_doubtful(self, work: InFlightRequest, confidence: float, service: Service) -> bool:
        """Return whether the largest model would be asked if an idle engine answered in time."""
        return self._compute_gain(work, confidence, service, False) > MIN_GAIN

    def decide(
        self,
        work: InFlightRequest,
        confidence: float,
        estimate: EndpointEstimate,
        service: Service,
        urgent_target_s: float,
        now: float,
    ) -> SizeDecision:
        """Decide whether the largest model's answer is worth more than it costs.

        Parameters
        ----------
        confidence : float
            Confidence of the current answer, 0 to 1.
        estimate : EndpointEstimate
            The endpoint that would run the largest model.
        urgent_target_s : float
            Target latency of the most urgent route of the service.
        """
        target_at = work.arrived_at + work.route.latency.target_s
        is_late = now + estimate.first_event_s / EXPECTED_TIME_FRACTION > target_at
        gain = self._compute_gain(work, confidence, service, is_late)
        queue = self._weigh_queue(work, estimate, service, urgent_target_s)
        if gain > MIN_GAIN + queue:
            return SizeDecision(None, gain, queue)
        gain_in_time = self._compute_gain(work, confidence, service, False)
        if gain_in_time <= MIN_GAIN:
            kept = KeepReason.CONFIDENT
        else:
            kept = KeepReason.LATE if gain_in_time > MIN_GAIN + queue else KeepReason.QUEUE
        return SizeDecision(kept, gain, queue)

    def _compute_gain(
        self, work: InFlightRequest, confidence: float, service: Service, is_late: bool
    ) -> float:
        """Return what the largest model's answer is worth more than the current one."""
        good_probability = good_answer_probability(confidence)
        current_worth = good_probability + (1.0 - good_probability) * POOR_WORTH_FRACTION
        escalated_worth = LARGEST_MODEL_QUALITY * (LATE_WORTH_FRACTION if is_late else 1.0)
        return escalated_worth - current_worth - self._relative_cost(work, service)

    def _weigh_queue(
        self,
        work: InFlightRequest,
        estimate: EndpointEstimate,
        service: Service,
        urgent_target_s: float,
    ) -> float:
        """Return what the queue at the endpoint adds to the minimum gain."""
        if not service.has_light_cache:
            queue_fraction = min(1.0, estimate.queue_s / work.route.latency.target_s)
            return QUEUE_GAIN_FACTOR * queue_fraction
        prefills = self._prefills.get(service.name)
        urgent_share = 0.0 if prefills is None else prefills.share_above(work.priority)
        delay_fraction = min(1.0, estimate.prefill_s / FULL_DELAY_PREFILL_S)
        factor = LEAST_QUEUE_GAIN_FACTOR + URGENT_QUEUE_GAIN_FACTOR * urgent_share * delay_fraction
        return factor * min(1.0, estimate.queue_s / urgent_target_s)

    def _relative_cost(self, work: InFlightRequest, service: Service) -> float:
        """Return the largest model's cost as a fraction of the worth of a good answer."""
        prices = {size.name: size.cost for size in service.sizes}
        max_price = max(prices.values(), default=0.0)
        if max_price <= 0.0:
            return 0.0
        model_price_fraction = prices.get(work.route.sizes[-1], 0.0) / max_price
        return PRICE_TO_WORTH_FRACTION * model_price_fraction * self._relative_price(work)

    def _relative_price(self, work: InFlightRequest) -> float:
        """Return a request's price relative to its worth; 1 for the mean request of its route."""
        request = work.request
        mean_request = self._mean_requests.get(work.route.name)
        if mean_request is None:
            return _request_price(request) / (PROMPT_PRICE_FACTOR * max(1, request.prompt_tokens))
        relative_worth = (
            FIXED_WORTH_FRACTION
            + (1.0 - FIXED_WORTH_FRACTION) * _request_length(request) / mean_request.length
        )
        return _request_price(request) / mean_request.price / relative_worth
