"""The choice among models of unlike cost and quality.

Nobody tells whether an answer is good. A model's confidence in its own answer is the
only sign, so the smallest model answers first and a larger one is asked where the
answer is doubtful, while the caller has seen none of it.
"""

import math
from dataclasses import dataclass

from poplarrun.placement import EndpointEstimate
from poplarrun.routing import InFlightRequest, Request, Service

# The confidence with which an answer is as often good as poor, and the steps from there
# in which the odds change by a factor of e: confidence is a steep sign, so answers well
# below the middle are nearly all poor and those well above it nearly all good.
MIDPOINT_CONFIDENCE = 0.5
ODDS_STEP = 0.06
# Probability that the largest model answers well.
LARGEST_QUALITY = 0.97
# What an answer is worth, as a share of one that is good and in time: when it is
# late, and when it is poor.
LATE_WORTH = 0.3
POOR_WORTH = 0.05
# Part of what a good answer is worth that the dearest model takes for a usual request of
# its route. Operators tell prices and not what an answer is worth to them; a model whose
# price came near that would not be offered.
PRICE_PART = 0.15
# Price of a prompt token, as a part of that of a generated one.
PROMPT_PRICE = 0.25
# A request is worth more the longer it is, counted in prompt tokens: a generated token
# counts for so many, and so much of the worth doesn't depend on the length.
GENERATED_LENGTH = 10.0
FIXED_WORTH = 0.3
# Part that a new request takes in the means of its route.
MEAN_WEIGHT = 0.05
# Least gain for which a larger model is asked, and what full queues add to it: each
# large answer delays those that wait behind it.
LEAST_GAIN = 0.08
QUEUE_GAIN = 0.3
# Of the time that is in time, the part that an expected time may take: expectations
# are means, and half of the answers take longer.
TIME_PART = 0.8


def chance_good(confidence: float) -> float:
    """Return the probability that an answer of a confidence is good, both 0 to 1."""
    return 1.0 / (1.0 + math.exp((MIDPOINT_CONFIDENCE - confidence) / ODDS_STEP))


def _price(request: Request) -> float:
    """Return what a request costs, in generated tokens."""
    return PROMPT_PRICE * max(1, request.prompt_tokens) + request.expected_tokens


def _length(request: Request) -> float:
    """Return how long a request is, in prompt tokens."""
    return max(1, request.prompt_tokens) + GENERATED_LENGTH * request.expected_tokens


@dataclass(slots=True)
class UsualRequest:
    """Means over the requests of a route, against which one of them is weighed.

    Attributes
    ----------
    price, length : float
        Mean price, in generated tokens, and mean length, in prompt tokens.
    """

    price: float
    length: float
    weight: float = 1.0

    def note(self, request: Request) -> None:
        """Take in a request; the first few count alike."""
        self.weight += 1.0
        part = max(MEAN_WEIGHT, 1.0 / self.weight)
        self.price += part * (_price(request) - self.price)
        self.length += part * (_length(request) - self.length)


class SizePolicy:
    """Chooses the model of each send; knows the usual request of each route."""

    def __init__(self) -> None:
        self._usual: dict[str, UsualRequest] = {}

    def record_request(self, work: InFlightRequest) -> None:
        """Learn how long and dear the requests of a route are."""
        request = work.request
        usual = self._usual.get(work.route.name)
        if usual is None:
            self._usual[work.route.name] = UsualRequest(_price(request), _length(request))
        else:
            usual.note(request)

    def first_size(self, work: InFlightRequest) -> str | None:
        """Return the model that a new request goes to; None where the caller names one."""
        sizes = work.route.sizes
        if not sizes or work.request.model != "*":
            return None
        return sizes[0]

    def escalation_size(self, work: InFlightRequest) -> str | None:
        """Return the model to ask after a doubtful answer; None where there is none."""
        sizes = work.route.sizes
        if not sizes or work.model_size is None or work.model_size == sizes[-1]:
            return None
        return sizes[-1]

    def should_escalate(
        self,
        work: InFlightRequest,
        confidence: float,
        seat: EndpointEstimate,
        service: Service,
        now: float,
    ) -> bool:
        """Tell whether the largest model's answer gains more than it costs.

        Parameters
        ----------
        confidence : float
            That of the answer at hand, 0 to 1.
        seat : EndpointEstimate
            Where the largest model would be asked.
        """
        good = chance_good(confidence)
        at_hand = good + (1.0 - good) * POOR_WORTH
        in_time = work.arrived_at + work.route.latency.target_s
        is_late = now + seat.first_event_s / TIME_PART > in_time
        larger = LARGEST_QUALITY * (LATE_WORTH if is_late else 1.0)
        gain = larger - at_hand - self._cost(work, service)
        queue_part = min(1.0, seat.endpoint.queue_s / work.route.latency.target_s)
        return gain > LEAST_GAIN + QUEUE_GAIN * queue_part

    def _cost(self, work: InFlightRequest, service: Service) -> float:
        """Return the largest model's cost as a share of what a good answer is worth."""
        prices = {size.name: size.cost for size in service.sizes}
        dearest = max(prices.values(), default=0.0)
        if dearest <= 0.0:
            return 0.0
        model_part = prices.get(work.route.sizes[-1], 0.0) / dearest
        return PRICE_PART * model_part * self._price_to_worth(work)

    def _price_to_worth(self, work: InFlightRequest) -> float:
        """Return how dear a request is for its worth, 1 for the usual one of its route."""
        request = work.request
        usual = self._usual.get(work.route.name)
        if usual is None:
            return _price(request) / (PROMPT_PRICE * max(1, request.prompt_tokens))
        worth = FIXED_WORTH + (1.0 - FIXED_WORTH) * _length(request) / usual.length
        return _price(request) / usual.price / worth
