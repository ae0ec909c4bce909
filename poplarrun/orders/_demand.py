"""The demand for versions that one host sees."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from poplarrun.contracts import VersionId
from poplarrun.orders._summaries import (
    LEAST_PLACES,
    DemandSummary,
    VersionDemand,
    hash_version,
)

# Mean over about so long: shorter bursts are for the queue, not for the weight store.
MEAN_S = 10.0
# A refused request would have held a place for about so long.
MISSED_PLACE_S = 5.0
# A session that was silent for longer loads its version again when it goes on.
SESSION_KEPT_S = 600.0


@dataclass(frozen=True, slots=True)
class OpenWork:
    """One open request."""

    version: VersionId
    importance: int
    in_session: bool
    engine: str = ""


@dataclass
class _Seen:
    places: float = 0.0
    missed: int = 0
    importance: int = 0
    session_at: float = -math.inf


@dataclass
class DemandCounter:
    """Counts what this host's requests ask for; a round is one sample of the open ones."""

    _seen: dict[VersionId, _Seen] = field(default_factory=dict)
    _round_at: float | None = None

    def note_missed(self, version: VersionId, importance: int, in_session: bool) -> None:
        """Count a request whose version no engine holds."""
        seen = self._seen.setdefault(version, _Seen())
        seen.missed += 1
        seen.importance = max(seen.importance, importance)
        if in_session:
            seen.session_at = math.inf

    def close_round(self, open_work: Iterable[OpenWork], now: float) -> None:
        """Take the sample in."""
        passed_s = now - self._round_at if self._round_at is not None else MEAN_S
        self._round_at = now
        counts: dict[VersionId, int] = {}
        for work in open_work:
            seen = self._seen.setdefault(work.version, _Seen())
            counts[work.version] = counts.get(work.version, 0) + 1
            seen.importance = max(seen.importance, work.importance)
            if work.in_session:
                seen.session_at = now
        weight = 1.0 - math.exp(-passed_s / MEAN_S)
        for version, seen in list(self._seen.items()):
            missed = seen.missed * MISSED_PLACE_S / max(passed_s, 1e-3)
            seen.places += weight * (counts.get(version, 0) + missed - seen.places)
            seen.missed = 0
            seen.session_at = now if seen.session_at == math.inf else seen.session_at
            is_kept = now - seen.session_at <= SESSION_KEPT_S
            if seen.places < LEAST_PLACES and not is_kept:
                del self._seen[version]

    def summarize(self, now: float) -> DemandSummary:
        """Return this host's demand; the rest of the summary is empty."""
        return DemandSummary(
            {
                hash_version(version): VersionDemand(
                    seen.places, seen.importance, now - seen.session_at <= SESSION_KEPT_S
                )
                for version, seen in self._seen.items()
            }
        )
