"""Which sessions stay on the version from before a roll-out."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

# Sessions that are remembered, and that are held in each roll-out.
KEPT_SESSIONS = 20_000


@dataclass(frozen=True, slots=True)
class SessionKey:
    """A session of one service.

    Attributes
    ----------
    number : int
        Hash of its id, the same on all hosts.
    """

    service: str
    session_hash: int


@dataclass(frozen=True, slots=True)
class PinnedSession:
    """A session that stays on the old version until the roll-out of an order shifts.

    Attributes
    ----------
    offset : int
        Place of the order in the store's log.
    """

    key: SessionKey
    order_offset: int


@dataclass
class SessionPins:
    """The sessions that this host knows of.

    A session that ran on the old version is held there. What this host finds out itself is
    kept until ``take_untold`` passes it on, as the next request may reach any host.
    """

    _busy_until: OrderedDict[SessionKey, float] = field(default_factory=OrderedDict)
    _held: dict[tuple[str, int], OrderedDict[int, None]] = field(default_factory=dict)
    _untold: list[PinnedSession] = field(default_factory=list)

    def record_send(self, key: SessionKey, give_up_at: float) -> None:
        """Note a request that may be under way until its caller gives up."""
        self._busy_until[key] = max(self._busy_until.get(key, 0.0), give_up_at)
        self._busy_until.move_to_end(key)
        if len(self._busy_until) > KEPT_SESSIONS:
            self._busy_until.popitem(last=False)

    def record_end(self, key: SessionKey, give_up_at: float, now: float) -> None:
        """Note the end of a request; another one may still be under way."""
        if self._busy_until.get(key, 0.0) <= give_up_at:
            self._busy_until[key] = now

    def pin(self, held: PinnedSession) -> None:
        """Hold a session, and remember to tell others of it."""
        if not self.is_pinned(held):
            self.apply_pin(held)
            self._untold.append(held)

    def pin_recent(
        self, service: str, offset: int, since: float, is_tried: Callable[[int], bool]
    ) -> None:
        """Hold the sessions that had a request under way after a time.

        Parameters
        ----------
        is_tried : callable
            Tells of a session's number whether the trial may take it.
        """
        for key, busy_until in self._busy_until.items():
            if key.service == service and busy_until > since and is_tried(key.session_hash):
                self.pin(PinnedSession(key, offset))

    def apply_pin(self, held: PinnedSession) -> None:
        """Take in a held session that another host told of."""
        numbers = self._held.setdefault((held.key.service, held.order_offset), OrderedDict())
        numbers[held.key.session_hash] = None
        if len(numbers) > KEPT_SESSIONS:
            numbers.popitem(last=False)

    def is_pinned(self, held: PinnedSession) -> bool:
        """Tell whether a session is known to be held."""
        return held.key.session_hash in self._held.get((held.key.service, held.order_offset), ())

    def forget(self, service: str, before: int) -> None:
        """Forget the sessions held for a service's earlier orders."""
        for known in [key for key in self._held if key[0] == service and key[1] < before]:
            del self._held[known]

    def drain_unpublished(self) -> list[PinnedSession]:
        """Return the sessions to tell other hosts of, each once."""
        untold, self._untold = self._untold, []
        return untold
