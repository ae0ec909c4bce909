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
class ConfigView:
    """The newest configuration that this host has, and when it was the newest for sure.

    Attributes
    ----------
    revocation_limit_s : float, optional
        Time after which a key that was taken away may not be honoured; None where
        the operators ask for none.
    confirmed_at : float
        When nothing newer existed for sure, in seconds of the clock that counts
        suspension.
    """

    revocation_limit_s: float | None = None
    catalogue: Catalogue | None = None
    confirmed_at: float = -math.inf

    def apply_catalogue(self, catalogue: Catalogue) -> bool:
        """Take in a configuration; False when it isn't newer than the one in force.

        Versions only rise: a late record or a peer that lags can't bring back keys
        and routes that were taken away.
        """
        if self.catalogue is not None and catalogue.version <= self.catalogue.version:
            return False
        self.catalogue = catalogue
        return True

    def confirm(self, confirmed_at: float) -> None:
        """Note that what this host has was the newest at a time."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def age_s(self, now: float) -> float:
        """Return how old the belief is."""
        return now - self.confirmed_at

    def can_trust_keys(self, now: float) -> bool:
        """Tell whether keys can be trusted still to hold."""
        if self.revocation_limit_s is None:
            return True
        return self.age_s(now) < KEY_AGE_PART * self.revocation_limit_s

    def can_deny(self, now: float) -> bool:
        """Tell whether what isn't known can be said not to exist."""
        return self.age_s(now) < DENIAL_AGE_S
