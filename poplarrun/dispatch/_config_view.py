"""The configuration that this host uses, and how recently it was known to be current."""

import math
from dataclasses import dataclass

from poplarrun.routing import Catalogue

# Fraction of the revocation limit, within which every host must refuse a revoked key.
# A host whose configuration is older than that refuses requests with a key, because it
# can't know whether the key is still valid. The rest of the limit covers the transfer
# of a request to its endpoint and clock drift.
KEY_AGE_FRACTION = 0.8
# Age in seconds up to which a configuration can prove that a route or key doesn't exist.
# An older one may merely lack a recent addition.
MAX_DENIAL_AGE_S = 2.0


@dataclass
class ConfigView:
    """The newest configuration that this host has, and when it was last confirmed.

    Attributes
    ----------
    revocation_limit_s : float, optional
        Seconds after its revocation from which a key must be refused; None if the
        operators set no limit.
    confirmed_at : float
        Latest time at which no newer version existed, in seconds of a clock that also
        advances while the machine is suspended.
    """

    revocation_limit_s: float | None = None
    catalogue: Catalogue | None = None
    confirmed_at: float = -math.inf

    def apply_catalogue(self, catalogue: Catalogue) -> bool:
        """Apply a configuration; return False if it isn't newer than the current one.

        The version never decreases, so that a late record or a lagging peer can't
        restore keys and routes that were removed.
        """
        if self.catalogue is not None and catalogue.version <= self.catalogue.version:
            return False
        self.catalogue = catalogue
        return True

    def confirm(self, confirmed_at: float) -> None:
        """Record a time at which this host's configuration was the newest."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def age_s(self, now: float) -> float:
        """Return the seconds since the configuration was last confirmed."""
        return now - self.confirmed_at

    def can_trust_keys(self, now: float) -> bool:
        """Return whether the configuration is recent enough to accept its keys."""
        if self.revocation_limit_s is None:
            return True
        return self.age_s(now) < KEY_AGE_FRACTION * self.revocation_limit_s

    def can_deny(self, now: float) -> bool:
        """Return whether an unknown route or key can be reported as nonexistent."""
        return self.age_s(now) < MAX_DENIAL_AGE_S
