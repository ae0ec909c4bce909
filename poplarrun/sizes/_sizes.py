"""The choice among models of unlike cost and quality.

Nobody tells whether an answer is good. A model's confidence in its own answer is the
only sign, so the smallest model answers first and a larger one is asked where the
answer is doubtful, while the caller has seen none of it.
"""

import math
from dataclasses import dataclass

from poplarrun.placement import Seat
from poplarrun.routing import Service, Work

# The confidence with which an answer is as often good as poor, and the steps from there
# in which the odds change by a factor of e. The smallest and the largest model of 435
# requests differ in confidence as if it were a steep function of how hard the request is
# for the model, 0.1 off as a rule: answers below 0.4 are nearly all poor, those above 0.6
# nearly all good.
EVEN_CONFIDENCE = 0.5
ODDS_STEP = 0.06
# Probability that the largest model answers well.
LARGEST_QUALITY = 0.97
# What an answer is worth, as a share of one that is good and in time: when it is
# late, and when it is poor.
LATE_WORTH = 0.3
POOR_WORTH = 0.05
# What a good answer in time is worth in the operators' cost units, for 1,000 prompt
# tokens: the mean over long and short prompts, by which the costs of models are
# made comparable with what a better answer gains.
WORTH_PER_1000_TOKENS = 0.2
PROMPT_COST_PART = 0.25
# Least gain for which a larger model is asked, and what full queues add to it: each
# large answer delays those that wait behind it.
LEAST_GAIN = 0.08
QUEUE_GAIN = 0.3
# Of the time that is in time, the part that an expected time may take: expectations
# are means, and half of the answers take longer.
TIME_PART = 0.8


def chance_good(confidence: float) -> float:
    """Return the probability that an answer of a confidence is good, both 0 to 1."""
    return 1.0 / (1.0 + math.exp((EVEN_CONFIDENCE - confidence) / ODDS_STEP))


@dataclass(frozen=True, slots=True)
class SizePolicy:
    """Chooses the model of each send."""

    def first(self, work: Work) -> str | None:
        """Return the model that a new request goes to; None where the caller names one."""
        sizes = work.route.sizes
        if not sizes or work.request.model != "*":
            return None
        return sizes[0]

    def largest(self, work: Work) -> str | None:
        """Return the model to ask after a doubtful answer; None where there is none."""
        sizes = work.route.sizes
        if not sizes or work.size is None or work.size == sizes[-1]:
            return None
        return sizes[-1]

    def is_worth_more(
        self, work: Work, confidence: float, seat: Seat, service: Service, now: float
    ) -> bool:
        """Tell whether the largest model's answer gains more than it costs.

        Parameters
        ----------
        confidence : float
            That of the answer at hand, 0 to 1.
        seat : Seat
            Where the largest model would be asked.
        """
        good = chance_good(confidence)
        at_hand = good + (1.0 - good) * POOR_WORTH
        in_time = work.arrived_at + work.route.pace.target_s
        is_late = now + seat.first_s / TIME_PART > in_time
        larger = LARGEST_QUALITY * (LATE_WORTH if is_late else 1.0)
        gain = larger - at_hand - self._cost(work, service)
        queue_part = min(1.0, seat.member.queue_s / work.route.pace.target_s)
        return gain > LEAST_GAIN + QUEUE_GAIN * queue_part

    def _cost(self, work: Work, service: Service) -> float:
        """Return the largest model's cost as a share of what a good answer is worth."""
        prompt = max(1, work.request.prompt_tokens)
        tokens = PROMPT_COST_PART * prompt + work.request.expected_tokens
        costs = {size.name: size.cost for size in service.sizes}
        cost = costs.get(work.route.sizes[-1], 0.0) * tokens / 1000.0
        return cost / (WORTH_PER_1000_TOKENS * prompt / 1000.0)
