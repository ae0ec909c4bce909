"""What is kept of the way that each request went."""

from collections import OrderedDict

from poplarrun.router._messages import Explanation

KEPT_EXPLANATIONS = 2000


class Explanations:
    """The newest explanations; the oldest go first."""

    def __init__(self) -> None:
        self._kept: OrderedDict[str, Explanation] = OrderedDict()

    def open(self, request_id: str, account: str, subject: str, offset: int) -> Explanation:
        """Begin the explanation of a request."""
        explanation = Explanation(request_id, account, subject, offset)
        self._kept[request_id] = explanation
        while len(self._kept) > KEPT_EXPLANATIONS:
            self._kept.popitem(last=False)
        return explanation

    def find(self, request_id: str) -> Explanation | None:
        """Return a request's explanation, while it is kept."""
        return self._kept.get(request_id)
