"""A bounded queue: by importance, and fair between client accounts within one."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks to start.

    Attributes
    ----------
    importance : int
        Of its class; 9 is the highest.
    cost : float
        Its work, as a multiple of a usual request.
    start_by : float
        Latest time of a start that still meets its class's latency.
    """

    request_id: str
    account: str
    importance: int
    cost: float
    start_by: float


@dataclass
class _Lane:
    """Tickets of one client account at one importance."""

    tickets: deque[Ticket] = field(default_factory=deque)
    start_tag: float = 0.0
    finish_tag: float = 0.0


@dataclass
class _Level:
    """Start-time fair queueing between the accounts of one importance."""

    lanes: dict[str, _Lane] = field(default_factory=dict)
    virtual_time: float = 0.0
    size: int = 0

    def push(self, ticket: Ticket) -> None:
        lane = self.lanes.setdefault(ticket.account, _Lane())
        if not lane.tickets:
            # An account that was idle starts level with the others: it
            # neither saves up turns nor pays for past ones.
            lane.start_tag = max(self.virtual_time, lane.finish_tag)
        lane.tickets.append(ticket)
        self.size += 1

    def next_lane(self) -> _Lane:
        waiting = [lane for lane in self.lanes.values() if lane.tickets]
        return min(waiting, key=lambda lane: lane.start_tag)

    def peek(self) -> Ticket:
        return self.next_lane().tickets[0]

    def pop(self) -> Ticket:
        lane = self.next_lane()
        ticket = lane.tickets.popleft()
        self.virtual_time = lane.start_tag
        lane.finish_tag = lane.start_tag + ticket.cost
        lane.start_tag = lane.finish_tag
        self.size -= 1
        self._forget_idle()
        return ticket

    def remove(self, ticket: Ticket) -> None:
        lane = self.lanes.get(ticket.account)
        if lane is not None and ticket in lane.tickets:
            lane.tickets.remove(ticket)
            self.size -= 1

    def longest(self) -> Ticket:
        """Return the newest ticket of the account with the most."""
        lane = max(self.lanes.values(), key=lambda lane: len(lane.tickets))
        return lane.tickets[-1]

    def _forget_idle(self) -> None:
        for name, lane in list(self.lanes.items()):
            if not lane.tickets and lane.finish_tag <= self.virtual_time:
                del self.lanes[name]


class FairQueue:
    """Tickets that wait.

    Parameters
    ----------
    max_size : int
        Most tickets that wait at once.
    """

    def __init__(self, max_size: int) -> None:
        self.max_size = max_size
        self._levels: dict[int, _Level] = {}

    def __len__(self) -> int:
        return sum(level.size for level in self._levels.values())

    def count_ahead(self, importance: int) -> int:
        """Return how many tickets a new one of this importance would wait for."""
        return sum(level.size for at, level in self._levels.items() if at >= importance)

    def push(self, ticket: Ticket) -> None:
        """Add a ticket; the caller makes room first."""
        self._levels.setdefault(ticket.importance, _Level()).push(ticket)

    def make_room(self, importance: int) -> Ticket | None:
        """Drop the least important ticket that is below an importance, and return it."""
        lowest = min((at for at, level in self._levels.items() if level.size), default=importance)
        if lowest >= importance:
            return None
        dropped = self._levels[lowest].longest()
        self._levels[lowest].remove(dropped)
        return dropped

    def peek(self) -> Ticket:
        """Return the ticket that starts next; the queue isn't empty."""
        highest = max(at for at, level in self._levels.items() if level.size)
        return self._levels[highest].peek()

    def pop(self) -> Ticket:
        """Take the ticket that starts next; the queue isn't empty."""
        highest = max(at for at, level in self._levels.items() if level.size)
        return self._levels[highest].pop()

    def remove(self, ticket: Ticket) -> None:
        """Take a ticket out, if it still waits."""
        level = self._levels.get(ticket.importance)
        if level is not None:
            level.remove(ticket)

    def remove_expired(self, now: float) -> list[Ticket]:
        """Take out the tickets that can't start in time any more."""
        expired = [
            ticket
            for level in self._levels.values()
            for lane in level.lanes.values()
            for ticket in lane.tickets
            if ticket.start_by < now
        ]
        for ticket in expired:
            self.remove(ticket)
        return expired
