"""What this host believes of the configuration, and how old that belief may be."""

import math
from dataclasses import dataclass

from poplarrun.routing import Catalogue

# Share of the time in which a key must be refused everywhere after it was taken
# away. A host whose knowledge is older refuses keyed requests: it can't know
# whether their keys still hold. The rest of the time covers the way of a request
# to its endpoint and the drift of clocks.
KEY_AGE_PART = 0.8
# Older knowledge doesn't deny that a route or key exists, in seconds: it may just
# not have heard of it.
DENIAL_AGE_S = 2.0


@dataclass
class Knowledge:
    """The newest configuration that this host has, and when it was the newest for sure.

    Attributes
    ----------
    key_bound_s : float, optional
        Time after which a key that was taken away may not be honoured; None where
        the operators ask for none.
    true_at : float
        When nothing newer existed for sure, in seconds of the clock that counts
        suspension.
    """

    key_bound_s: float | None = None
    catalogue: Catalogue | None = None
    true_at: float = -math.inf

    def take(self, catalogue: Catalogue) -> bool:
        """Take in a configuration; False when it isn't newer than the one in force.

        Versions only rise: a late record or a peer that lags can't bring back keys
        and routes that were taken away.
        """
        if self.catalogue is not None and catalogue.version <= self.catalogue.version:
            return False
        self.catalogue = catalogue
        return True

    def confirm(self, true_at: float) -> None:
        """Note that what this host has was the newest at a time."""
        self.true_at = max(self.true_at, true_at)

    def age_s(self, now: float) -> float:
        """Return how old the belief is."""
        return now - self.true_at

    def may_use_keys(self, now: float) -> bool:
        """Tell whether keys can be trusted still to hold."""
        if self.key_bound_s is None:
            return True
        return self.age_s(now) < KEY_AGE_PART * self.key_bound_s

    def may_deny(self, now: float) -> bool:
        """Tell whether what isn't known can be said not to exist."""
        return self.age_s(now) < DENIAL_AGE_S
