"""Chooses among models of different cost and quality.

There is no feedback on whether an answer is good. A model's confidence in its own answer
is the only evidence, so the smallest model answers first, and a larger one is asked if the
confidence is low, before the caller has received anything.
"""

import math
from dataclasses import dataclass

from poplarrun.placement import EndpointEstimate
from poplarrun.routing import InFlightRequest, Request, Service

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


class SizePolicy:
    """Chooses the model of each send; keeps the mean request of each route."""

    def __init__(self) -> None:
        self._mean_requests: dict[str, MeanRequest] = {}

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

    def should_escalate(
        self,
        work: InFlightRequest,
        confidence: float,
        estimate: EndpointEstimate,
        service: Service,
        now: float,
    ) -> bool:
        """Return whether the largest model's answer is worth more than it costs.

        Parameters
        ----------
        confidence : float
            Confidence of the current answer, 0 to 1.
        estimate : EndpointEstimate
            The endpoint that would run the largest model.
        """
        good_probability = good_answer_probability(confidence)
        current_worth = good_probability + (1.0 - good_probability) * POOR_WORTH_FRACTION
        target_at = work.arrived_at + work.route.latency.target_s
        is_late = now + estimate.first_event_s / EXPECTED_TIME_FRACTION > target_at
        escalated_worth = LARGEST_MODEL_QUALITY * (LATE_WORTH_FRACTION if is_late else 1.0)
        gain = escalated_worth - current_worth - self._relative_cost(work, service)
        queue_fraction = min(1.0, estimate.queue_s / work.route.latency.target_s)
        return gain > MIN_GAIN + QUEUE_GAIN_FACTOR * queue_fraction

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
