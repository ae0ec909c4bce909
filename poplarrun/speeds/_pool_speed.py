"""Estimates the latency of a pool of endpoints by regression over this host's requests."""

from dataclasses import dataclass

# Weight that the earlier measurements keep with each new one, in the moving average of
# request times and in the regression of the time to the first token.
MEAN_DECAY = 0.95
SLOPE_DECAY = 0.99
# Total weight of the samples from which new ones are clipped, and the greatest ratio of a
# clipped sample to its estimate.
MIN_SAMPLE_WEIGHT = 10.0
MAX_OUTLIER_RATIO = 1.25


@dataclass
class PoolSpeed:
    """Latency estimates of a pool, from this host's own requests.

    Attributes
    ----------
    mean_request_s : float
        Mean time of one request at an endpoint, in seconds.
    prefill_s_per_token : float
        Time that each uncached prompt token adds before the first token, in seconds.
    base_first_token_s : float
        Time to the first token of a completely cached prompt, in seconds.
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
        """Add the time of one request to the moving average."""
        self.mean_request_s += (1.0 - MEAN_DECAY) * (seconds - self.mean_request_s)

    def record_first_token(self, uncached_tokens: int, seconds: float) -> None:
        """Add a time to the first token to the regression, whose slope is the prefill time."""
        # Part of the time may have been spent in an unknown queue. A sample far above the
        # regression line is clipped, so that an overload doesn't look like slow prefills,
        # which would lead to the refusal of all requests.
        if self._weight > MIN_SAMPLE_WEIGHT:
            seconds = min(seconds, MAX_OUTLIER_RATIO * self.estimate_first_token_s(uncached_tokens))
        decay = SLOPE_DECAY
        self._weight = decay * self._weight + 1.0
        self._tokens = decay * self._tokens + uncached_tokens
        self._seconds = decay * self._seconds + seconds
        self._products = decay * self._products + uncached_tokens * seconds
        self._squares = decay * self._squares + uncached_tokens**2
        determinant = self._weight * self._squares - self._tokens**2
        if determinant > 1.0:
            slope = (self._weight * self._products - self._tokens * self._seconds) / determinant
            self.prefill_s_per_token = max(0.0, slope)
        intercept_s = (self._seconds - self.prefill_s_per_token * self._tokens) / self._weight
        self.base_first_token_s = max(0.0, intercept_s)

    def estimate_first_token_s(self, uncached_tokens: int) -> float:
        """Return the expected time to the first token at an endpoint without a queue."""
        return self.base_first_token_s + uncached_tokens * self.prefill_s_per_token
