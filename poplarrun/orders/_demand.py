"""The demand for versions that one host sees."""

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

# Mean over about so long: shorter bursts are for the queue, not for the weight store.
MEAN_WINDOW_S = 10.0
# A refused request would have held a place for about so long.
MISSED_REQUEST_TIME_S = 5.0
# A session that was silent for longer loads its version again when it goes on.
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
    missed: int = 0
    importance: int = 0
    last_session_at: float = -math.inf


@dataclass
class DemandCounter:
    """Counts what this host's requests ask for; a round is one sample of the open ones."""

    _activity: dict[VersionId, _VersionActivity] = field(default_factory=dict)
    _round_at: float | None = None

    def record_missed(self, version: VersionId, importance: int, in_session: bool) -> None:
        """Count a request whose version no engine holds."""
        seen = self._activity.setdefault(version, _VersionActivity())
        seen.missed += 1
        seen.importance = max(seen.importance, importance)
        if in_session:
            seen.last_session_at = math.inf

    def close_round(self, open_requests: Iterable[OpenRequest], now: float) -> None:
        """Take the sample in."""
        passed_s = now - self._round_at if self._round_at is not None else MEAN_WINDOW_S
        self._round_at = now
        counts: dict[VersionId, int] = {}
        for work in open_requests:
            seen = self._activity.setdefault(work.version, _VersionActivity())
            counts[work.version] = counts.get(work.version, 0) + 1
            seen.importance = max(seen.importance, work.importance)
            if work.is_in_session:
                seen.last_session_at = now
        weight = 1.0 - math.exp(-passed_s / MEAN_WINDOW_S)
        for version, seen in list(self._activity.items()):
            missed = seen.missed * MISSED_REQUEST_TIME_S / max(passed_s, 1e-3)
            seen.concurrent_requests += weight * (
                counts.get(version, 0) + missed - seen.concurrent_requests
            )
            seen.missed = 0
            seen.last_session_at = now if seen.last_session_at == math.inf else seen.last_session_at
            is_kept = now - seen.last_session_at <= SESSION_TTL_S
            if seen.concurrent_requests < MIN_ENCODED_REQUESTS and not is_kept:
                del self._activity[version]

    def summarize(self, now: float) -> DemandSummary:
        """Return this host's demand; the rest of the summary is empty."""
        return DemandSummary(
            {
                hash_version(version): VersionDemand(
                    seen.concurrent_requests,
                    seen.importance,
                    now - seen.last_session_at <= SESSION_TTL_S,
                )
                for version, seen in self._activity.items()
            }
        )
