"""Exchange of the crashes of endpoints, and of the parts of prompts that cause them."""

import math
from collections.abc import Iterable

import msgspec

from poplarrun.crashes import Crash, CrashWatch, EndpointStart, Quarantine
from poplarrun.gateway._crash_probe import log_crash
from poplarrun.logging import events, write_event
from poplarrun.peers import BegunPart, Digest, EndpointCrash, QuarantinedParts
from poplarrun.placement import Placement

# Entries of each kind in one digest; further ones follow in the next digests.
MAX_CRASHES_PER_DIGEST = 16
MAX_BEGUN_PER_DIGEST = 200
MAX_QUARANTINED_PER_DIGEST = 64
# For this long digests tell what is new of a crash, in seconds.
NEWS_TTL_S = 6.0
MAX_PART_LENGTH = 64
MAX_PARTS_PER_MESSAGE = 64
# Where this host learned of a quarantine if it found it itself.
OWN_EVIDENCE = "own evidence"


class CrashExchange:
    """Fills digests with what this host knows of crashes, and applies what other hosts know.

    Requests with the same part come at any host. What one host sees of their crashes is too little.
    """

    def __init__(self, watch: CrashWatch, placement: Placement) -> None:
        self._watch = watch
        self._placement = placement
        self._next_index = 0
        self._has_new_quarantines = False
        self._told_at = -math.inf
        self._told_cleared: frozenset[str] = frozenset()
        self._known: dict[frozenset[str], Quarantine] = {}

    def update(self, now: float) -> None:
        """Draw the conclusions from what is known by now."""
        self._watch.update(now)
        self._note_quarantines(now, OWN_EVIDENCE)

    def _note_quarantines(self, now: float, source: str) -> None:
        """Log what has changed, and let it be told at once."""
        active = {each.parts: each for each in self._watch.quarantines.active(now)}
        for parts in active.keys() - self._known.keys():
            count = self._watch.evidence.count_crashes(parts)
            write_event(events.PartsQuarantined(sorted(parts), count, source))
            self._has_new_quarantines = True
        for parts, known in self._known.items():
            if parts not in active:
                reason = "began" if known.is_active(now) else "lapsed"
                write_event(events.PartsReleased(sorted(parts), reason))
                self._has_new_quarantines = True
        self._known = active

    def add_news(self, digest: Digest, now: float) -> Digest:
        """Return a digest with what was learned of crashes since the last call."""
        told_at, self._told_at = self._told_at, now
        crashes = _describe_crashes(self._watch.evidence.changed_since(told_at), now)
        known = self.begun_parts(now)
        begun = [each for each in known if each.part not in self._told_cleared]
        self._told_cleared = frozenset(each.part for each in known)
        if crashes or begun:
            digest = msgspec.structs.replace(
                digest, crashes=crashes[:MAX_CRASHES_PER_DIGEST], begun_parts=begun
            )
        if self._has_new_quarantines:
            self._has_new_quarantines = False
            digest = msgspec.structs.replace(digest, quarantined=self.quarantined(now))
        return digest

    def crashes(self, now: float) -> list[EndpointCrash]:
        """Return the crashes that a digest carries."""
        known = list(self._watch.evidence.changed_since(now - NEWS_TTL_S))
        if len(known) > MAX_CRASHES_PER_DIGEST:
            start = self._next_index % len(known)
            self._next_index = start + MAX_CRASHES_PER_DIGEST
            known = [*known[start:], *known[:start]][:MAX_CRASHES_PER_DIGEST]
        return _describe_crashes(known, now)

    def begun_parts(self, now: float) -> list[BegunPart]:
        """Return what this host knows to clear suspected parts."""
        begun = self._watch.begun
        found = self._watch.evidence.cleared_since(now - NEWS_TTL_S)
        return [
            BegunPart(part, now - begun.begun_at(part)) for part in found[-MAX_BEGUN_PER_DIGEST:]
        ]

    def quarantined(self, now: float) -> list[QuarantinedParts]:
        """Return the parts that crash endpoints."""
        active = self._watch.quarantines.active(now)[:MAX_QUARANTINED_PER_DIGEST]
        return [QuarantinedParts(sorted(each.parts), now - each.at) for each in active]

    def apply_digest(self, digest: Digest, now: float) -> None:
        """Apply what another host knows."""
        for begun in digest.begun_parts[:MAX_BEGUN_PER_DIGEST]:
            if _is_valid([begun.part], begun.age_s):
                self._watch.apply_begun([begun.part], now - begun.age_s, now)
        for crash in digest.crashes[:MAX_CRASHES_PER_DIGEST]:
            if _is_valid(crash.parts, crash.age_s):
                start = EndpointStart(crash.instance_id, crash.started_ms)
                report = self._watch.apply_crash(start, now - crash.age_s, crash.parts, now)
                endpoint = self._placement.recall(crash.instance_id)
                if report is not None and endpoint is not None:
                    log_crash(self._watch, report, endpoint.record.service, now)
        for each in digest.quarantined[:MAX_QUARANTINED_PER_DIGEST]:
            if not each.parts or not _is_valid(each.parts, each.age_s):
                continue
            if self._watch.quarantines.add(each.parts, now - each.age_s, now) is not None:
                self._note_quarantines(now, digest.address)


def _describe_crashes(
    crashes: Iterable[tuple[EndpointStart, Crash]], now: float
) -> list[EndpointCrash]:
    return [
        EndpointCrash(start.instance_id, start.started_ms, now - crash.at, sorted(crash.parts))
        for start, crash in crashes
    ]


def _is_valid(parts: list[str], age_s: float) -> bool:
    if not math.isfinite(age_s) or age_s < 0.0 or len(parts) > MAX_PARTS_PER_MESSAGE:
        return False
    return all(len(part) <= MAX_PART_LENGTH for part in parts)
