"""How fast a pool of endpoints works, learnt from a host's own requests."""

from dataclasses import dataclass

MEAN_DECAY = 0.95
SLOPE_DECAY = 0.99
FEW_SAMPLES = 10.0
MOST_ABOVE_LINE = 1.25


@dataclass
class PoolSpeed:
    """How long work takes in a pool, learned from this host's own requests.

    Attributes
    ----------
    mean_request_s : float
        Mean time of one request at an endpoint, in seconds.
    prefill_s_per_token : float
        Time that an uncached prompt token adds before the first token.
    base_first_token_s : float
        Time to the first token of a prompt that is cached.
    """

    mean_request_s: float = 1.0
    prefill_s_per_token: float = 0.0
    base_first_token_s: float = 0.0
    _weight: float = 0.0
    _tokens: float = 0.0
    _seconds: float = 0.0
    _products: float = 0.0
    _squares: float = 0.0

    def record_request_time(self, seconds: float) -> None:
        """Take in the time of one request."""
        self.mean_request_s += (1.0 - MEAN_DECAY) * (seconds - self.mean_request_s)

    def record_first_token(self, uncached_tokens: int, seconds: float) -> None:
        """Take in the time to a first token; the slope over many is the prefill time."""
        # Some of the time may have been spent in a queue that nobody knew of: a
        # sample far above the line counts as little above it, so that an
        # overload isn't taken for slow prefills, which would refuse all work.
        if self._weight > FEW_SAMPLES:
            seconds = min(seconds, MOST_ABOVE_LINE * self.estimate_first_token_s(uncached_tokens))
        keep = SLOPE_DECAY
        self._weight = keep * self._weight + 1.0
        self._tokens = keep * self._tokens + uncached_tokens
        self._seconds = keep * self._seconds + seconds
        self._products = keep * self._products + uncached_tokens * seconds
        self._squares = keep * self._squares + uncached_tokens**2
        spread = self._weight * self._squares - self._tokens**2
        if spread > 1.0:
            slope = (self._weight * self._products - self._tokens * self._seconds) / spread
            self.prefill_s_per_token = max(0.0, slope)
        rest_s = (self._seconds - self.prefill_s_per_token * self._tokens) / self._weight
        self.base_first_token_s = max(0.0, rest_s)

    def estimate_first_token_s(self, uncached_tokens: int) -> float:
        """Return the time to the first token at an endpoint without a queue."""
        return self.base_first_token_s + uncached_tokens * self.prefill_s_per_token
