"""A bounded queue, ordered by importance and fair between client accounts within each."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Ticket:
    """What admission has to know of a request.

    Attributes
    ----------
    importance : int
        Importance of its class; 9 is the highest.
    cost : float
        Expected amount of work, as a multiple of a typical request's.
    start_by : float
        Latest time of a start that still meets the latency target of its class.
    """

    request_id: str
    account: str
    importance: int
    cost: float
    start_by: float


@dataclass
class _AccountQueue:
    """Queued tickets of one client account at one importance."""

    tickets: deque[Ticket] = field(default_factory=deque)
    start_tag: float = 0.0
    finish_tag: float = 0.0


@dataclass
class _ImportanceLevel:
    """Start-time fair queueing between the accounts of one importance."""

    account_queues: dict[str, _AccountQueue] = field(default_factory=dict)
    virtual_time: float = 0.0
    size: int = 0

    def push(self, ticket: Ticket) -> None:
        account_queue = self.account_queues.setdefault(ticket.account, _AccountQueue())
        if not account_queue.tickets:
            # An account that was idle starts at the current virtual time: it gets no
            # credit for its idle time and no penalty for earlier requests.
            account_queue.start_tag = max(self.virtual_time, account_queue.finish_tag)
        account_queue.tickets.append(ticket)
        self.size += 1

    def next_account_queue(self) -> _AccountQueue:
        non_empty = [
            account_queue for account_queue in self.account_queues.values() if account_queue.tickets
        ]
        return min(non_empty, key=lambda account_queue: account_queue.start_tag)

    def peek(self) -> Ticket:
        return self.next_account_queue().tickets[0]

    def pop(self) -> Ticket:
        account_queue = self.next_account_queue()
        ticket = account_queue.tickets.popleft()
        self.virtual_time = account_queue.start_tag
        account_queue.finish_tag = account_queue.start_tag + ticket.cost
        account_queue.start_tag = account_queue.finish_tag
        self.size -= 1
        self._remove_idle()
        return ticket

    def remove(self, ticket: Ticket) -> None:
        account_queue = self.account_queues.get(ticket.account)
        if account_queue is not None and ticket in account_queue.tickets:
            account_queue.tickets.remove(ticket)
            self.size -= 1

    def newest_of_longest(self) -> Ticket:
        """Return the newest ticket of the account with the most tickets."""
        account_queue = max(
            self.account_queues.values(), key=lambda account_queue: len(account_queue.tickets)
        )
        return account_queue.tickets[-1]

    def _remove_idle(self) -> None:
        for account, account_queue in list(self.account_queues.items()):
            if not account_queue.tickets and account_queue.finish_tag <= self.virtual_time:
                del self.account_queues[account]


class FairQueue:
    """The queued tickets of one version.

    Parameters
    ----------
    max_size : int
        Maximum number of tickets; the caller enforces it with ``make_room``.
    """

    def __init__(self, max_size: int) -> None:
        self.max_size = max_size
        self._levels: dict[int, _ImportanceLevel] = {}

    def __len__(self) -> int:
        return sum(level.size for level in self._levels.values())

    def count_ahead(self, importance: int) -> int:
        """Return how many tickets would be served before a new one of this importance."""
        return sum(level.size for at, level in self._levels.items() if at >= importance)

    def push(self, ticket: Ticket) -> None:
        """Add a ticket; the caller must make room first."""
        self._levels.setdefault(ticket.importance, _ImportanceLevel()).push(ticket)

    def make_room(self, importance: int) -> Ticket | None:
        """Evict and return the least important ticket; None if none is below an importance."""
        lowest = min((at for at, level in self._levels.items() if level.size), default=importance)
        if lowest >= importance:
            return None
        evicted = self._levels[lowest].newest_of_longest()
        self._levels[lowest].remove(evicted)
        return evicted

    def peek(self) -> Ticket:
        """Return the ticket that starts next; the queue must not be empty."""
        highest = max(at for at, level in self._levels.items() if level.size)
        return self._levels[highest].peek()

    def pop(self) -> Ticket:
        """Remove and return the ticket that starts next; the queue must not be empty."""
        highest = max(at for at, level in self._levels.items() if level.size)
        return self._levels[highest].pop()

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket if it is still queued."""
        level = self._levels.get(ticket.importance)
        if level is not None:
            level.remove(ticket)

    def remove_expired(self, now: float) -> list[Ticket]:
        """Remove and return the tickets that can't start in time any more."""
        expired = [
            ticket
            for level in self._levels.values()
            for account_queue in level.account_queues.values()
            for ticket in account_queue.tickets
            if ticket.start_by < now
        ]
        for ticket in expired:
            self.remove(ticket)
        return expired
