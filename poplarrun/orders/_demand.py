"""Demand for versions at one host."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from poplarrun.contracts import VersionId
from poplarrun.orders._summaries import (
    MIN_ENCODED_REQUESTS,
    DemandSummary,
    VersionDemand,
    hash_version,
)

# Time constant of the mean demand: shorter bursts are absorbed by the queue and don't cause loads.
MEAN_WINDOW_S = 10.0
# Time for which a refused request is assumed to have occupied a batch slot.
MISSED_REQUEST_TIME_S = 5.0
# A version is kept for its sessions while they are idle for up to this long; after that, the
# session's next request loads it again.
SESSION_TTL_S = 600.0


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """One open request."""

    version: VersionId
    importance: int
    is_in_session: bool
    engine: str = ""


@dataclass
class _VersionActivity:
    concurrent_requests: float = 0.0
    missed_requests: int = 0
    importance: int = 0
    last_session_at: float = -math.inf


@dataclass
class DemandCounter:
    """Measures the demand of this host's requests; each round samples the open ones."""

    _activity: dict[VersionId, _VersionActivity] = field(default_factory=dict)
    _round_at: float | None = None

    def record_missed(self, version: VersionId, importance: int, in_session: bool) -> None:
        """Count a request whose version no engine has loaded."""
        activity = self._activity.setdefault(version, _VersionActivity())
        activity.missed_requests += 1
        activity.importance = max(activity.importance, importance)
        if in_session:
            activity.last_session_at = math.inf

    def close_round(self, open_requests: Iterable[OpenRequest], now: float) -> None:
        """Update the means with the sample of a round."""
        elapsed_s = now - self._round_at if self._round_at is not None else MEAN_WINDOW_S
        self._round_at = now
        counts: dict[VersionId, int] = {}
        for work in open_requests:
            activity = self._activity.setdefault(work.version, _VersionActivity())
            counts[work.version] = counts.get(work.version, 0) + 1
            activity.importance = max(activity.importance, work.importance)
            if work.is_in_session:
                activity.last_session_at = now
        weight = 1.0 - math.exp(-elapsed_s / MEAN_WINDOW_S)
        for version, activity in list(self._activity.items()):
            missed_requests = (
                activity.missed_requests * MISSED_REQUEST_TIME_S / max(elapsed_s, 1e-3)
            )
            activity.concurrent_requests += weight * (
                counts.get(version, 0) + missed_requests - activity.concurrent_requests
            )
            activity.missed_requests = 0
            activity.last_session_at = (
                now if activity.last_session_at == math.inf else activity.last_session_at
            )
            is_kept = now - activity.last_session_at <= SESSION_TTL_S
            if activity.concurrent_requests < MIN_ENCODED_REQUESTS and not is_kept:
                del self._activity[version]

    def summarize(self, now: float) -> DemandSummary:
        """Return this host's demand; the other fields of the summary stay empty."""
        return DemandSummary(
            {
                hash_version(version): VersionDemand(
                    activity.concurrent_requests,
                    activity.importance,
                    now - activity.last_session_at <= SESSION_TTL_S,
                )
                for version, activity in self._activity.items()
            }
        )
