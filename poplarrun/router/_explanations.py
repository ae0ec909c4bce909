"""Stores the routing explanations of recent requests."""

from collections import OrderedDict

from poplarrun.router._messages import Explanation

MAX_EXPLANATIONS = 2000


class Explanations:
    """The most recent explanations; the oldest are evicted first."""

    def __init__(self) -> None:
        self._explanations: OrderedDict[str, Explanation] = OrderedDict()

    def open(self, request_id: str, account: str, subject: str, offset: int) -> Explanation:
        """Create the explanation of a request."""
        explanation = Explanation(request_id, account, subject, offset)
        self._explanations[request_id] = explanation
        while len(self._explanations) > MAX_EXPLANATIONS:
            self._explanations.popitem(last=False)
        return explanation

    def find(self, request_id: str) -> Explanation | None:
        """Return a request's explanation; None if it isn't stored any more."""
        return self._explanations.get(request_id)
