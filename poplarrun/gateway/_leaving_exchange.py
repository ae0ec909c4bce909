"""Exchange of the endpoints that say in their answers that they are leaving."""

import msgspec

from poplarrun.logging import events, write_event
from poplarrun.peers import Digest, LeavingStart
from poplarrun.placement import LeavingEndpoint, Placement

# Leaving endpoints in one digest; further ones follow in the next digests.
MAX_LEAVING_PER_DIGEST = 40
# For this long digests tell of endpoints that are not listed, in seconds: much shorter than hosts
# remember them, so that they don't remind each other for ever.
UNLISTED_NEWS_TTL_S = 10.0


class LeavingExchange:
    """Fills digests with leaving endpoints, and applies those of other hosts.

    A host may get no answer of an endpoint that leaves until its callers are served there too late,
    and one that starts may read a list that is older.
    """

    def __init__(self, placement: Placement) -> None:
        self._placement = placement
        self._next_index = 0
        self._told: frozenset[LeavingEndpoint] = frozenset()

    def announced(self, now: float) -> list[LeavingStart]:
        """Return the leaving endpoints that a digest carries: those whose records don't say so."""
        known = [each for each in self._placement.leaving.known() if self._is_news(each, now)]
        if len(known) > MAX_LEAVING_PER_DIGEST:
            start = self._next_index % len(known)
            self._next_index = start + MAX_LEAVING_PER_DIGEST
            known = [*known[start:], *known[:start]][:MAX_LEAVING_PER_DIGEST]
        return [LeavingStart(each.instance_id, each.started_ms) for each in known]

    def _is_news(self, leaving: LeavingEndpoint, now: float) -> bool:
        endpoint = self._placement.find(leaving.instance_id)
        if endpoint is None:
            return now - leaving.learned_at < UNLISTED_NEWS_TTL_S
        return not endpoint.record.is_leaving

    def add_news(self, digest: Digest, now: float) -> Digest:
        """Return a digest with the endpoints that are known to leave since the last call."""
        known = frozenset(self._placement.leaving.known())
        news = [each for each in known - self._told if self._is_news(each, now)]
        self._told = known
        if not news:
            return digest
        leaving = [LeavingStart(each.instance_id, each.started_ms) for each in news]
        return msgspec.structs.replace(digest, leaving=leaving[:MAX_LEAVING_PER_DIGEST])

    def apply_digest(self, digest: Digest, now: float) -> None:
        """Apply the leaving endpoints that another host knows."""
        for each in digest.leaving:
            if self._placement.leaving.record(each.instance_id, each.started_ms, now):
                write_event(events.LeavingAnnounced(each.instance_id, digest.address))
