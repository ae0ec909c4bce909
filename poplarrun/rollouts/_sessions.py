"""Sessions that are pinned to the old version until a roll-out shifts."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

# Recent sessions that are remembered, and sessions that are pinned in each roll-out.
MAX_SESSIONS = 20_000


@dataclass(frozen=True, slots=True)
class SessionKey:
    """A session of one service.

    Attributes
    ----------
    session_hash : int
        Hash of the session's id, the same on all hosts.
    """

    service: str
    session_hash: int


@dataclass(frozen=True, slots=True)
class PinnedSession:
    """A session that stays on the old version until the roll-out of an order shifts.

    Attributes
    ----------
    order_offset : int
        Offset of the order in the store's log.
    """

    key: SessionKey
    order_offset: int


@dataclass
class SessionPins:
    """The recent and the pinned sessions that this host knows of.

    A session that used the old version is pinned there. Pins that this host sets are queued
    for ``drain_unpublished``, because the session's next request may reach any host.
    """

    _busy_until: OrderedDict[SessionKey, float] = field(default_factory=OrderedDict)
    _pinned: dict[tuple[str, int], OrderedDict[int, None]] = field(default_factory=dict)
    _unpublished: list[PinnedSession] = field(default_factory=list)

    def record_send(self, key: SessionKey, deadline_at: float) -> None:
        """Record a request that may be running until its caller gives up."""
        self._busy_until[key] = max(self._busy_until.get(key, 0.0), deadline_at)
        self._busy_until.move_to_end(key)
        if len(self._busy_until) > MAX_SESSIONS:
            self._busy_until.popitem(last=False)

    def record_end(self, key: SessionKey, deadline_at: float, now: float) -> None:
        """Record the end of a request; another one may still be running."""
        if self._busy_until.get(key, 0.0) <= deadline_at:
            self._busy_until[key] = now

    def pin(self, session: PinnedSession) -> None:
        """Pin a session, and queue it for publication to other hosts."""
        if not self.is_pinned(session):
            self.apply_pin(session)
            self._unpublished.append(session)

    def publish_again(self, session: PinnedSession) -> None:
        """Queue a pin for publication that was published before, for owners that lack it."""
        self._unpublished.append(session)

    def pinned_hashes(self, service: str, offset: int) -> list[int]:
        """Return the hashes of the sessions that are known to be pinned for an order."""
        return list(self._pinned.get((service, offset), ()))

    def recent(self, since: float) -> list[tuple[SessionKey, float]]:
        """Return the sessions that had a request running after a time, and until when."""
        return [(key, until) for key, until in self._busy_until.items() if until > since]

    def pin_recent(
        self, service: str, offset: int, since: float, is_in_trial: Callable[[int], bool]
    ) -> None:
        """Pin the sessions that had a request running after a time.

        Parameters
        ----------
        is_in_trial : callable
            Tells whether a session with a given hash takes part in the trial.
        """
        for key, _ in self.recent(since):
            if key.service == service and is_in_trial(key.session_hash):
                self.pin(PinnedSession(key, offset))

    def apply_pin(self, session: PinnedSession) -> None:
        """Apply a pin that another host published."""
        hashes = self._pinned.setdefault((session.key.service, session.order_offset), OrderedDict())
        hashes[session.key.session_hash] = None
        if len(hashes) > MAX_SESSIONS:
            hashes.popitem(last=False)

    def is_pinned(self, session: PinnedSession) -> bool:
        """Tell whether a session is known to be pinned."""
        return session.key.session_hash in self._pinned.get(
            (session.key.service, session.order_offset), ()
        )

    def forget(self, service: str, before: int) -> None:
        """Delete the pins of a service's earlier orders."""
        for order in [key for key in self._pinned if key[0] == service and key[1] < before]:
            del self._pinned[order]

    def drain_unpublished(self) -> list[PinnedSession]:
        """Return the pins to publish to other hosts, each once."""
        unpublished, self._unpublished = self._unpublished, []
        return unpublished
