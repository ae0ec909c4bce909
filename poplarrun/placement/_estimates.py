"""What this host expects of a request at an endpoint."""

from dataclasses import dataclass

from poplarrun.placement._endpoint_state import EndpointState


@dataclass(slots=True)
class EndpointEstimate:
    """The expected latency of a request at an endpoint.

    It is not changed after it is made. It isn't frozen, because some fifty are made for each
    choice, and making a frozen one takes three times as long.

    Attributes
    ----------
    prefill_s : float
        Time to prefill the part of the prompt that the endpoint hasn't cached.
    first_event_s : float
        Time to the first event, or to the answer of a plain service.
    uncached_tokens : int
        Prompt tokens that the endpoint hasn't cached.
    queue_s : float
        Prefill time of the prompts that are known to wait there.
    load : float
        Requests per slot of the endpoint.
    """

    endpoint: EndpointState
    prefill_s: float
    first_event_s: float
    uncached_tokens: int
    queue_s: float = 0.0
    load: float = 0.0

    @property
    def drain_s(self) -> float:
        """Time until the endpoint will have read this prompt and those before it."""
        return self.queue_s + self.prefill_s
