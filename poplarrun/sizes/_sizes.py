"""The choice among models of unlike cost and quality.

Quality is told by nobody; a model's confidence in its answer is the only sign of it.
"""

from poplarrun.routing import Work


class SizePolicy:
    """Chooses the model of each send."""

    def first(self, work: Work) -> str | None:
        """Return the model that a new request goes to; None where the caller names one."""
        sizes = work.route.sizes
        if not sizes or work.request.model != "*":
            return None
        return sizes[-1]

    def larger(self, work: Work, confidence: float | None) -> str | None:
        """Return the larger model to ask instead, or None to keep the answer."""
        return None
