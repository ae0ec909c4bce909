"""Queue of the bills that are not in the log yet, and their appends in batches."""

import asyncio
import contextlib
from collections.abc import Callable

from poplarrun.billing._records import Bill, encode_bills, stream_of
from poplarrun.log import Appended, AsyncLog

MIN_BATCH_INTERVAL_S = 1.0
# Bound on the appends of all hosts together.
MAX_BATCHES_PER_S = 60.0
MAX_BATCH_BILLS = 2000
LOG_APPEND_TIMEOUT_S = 1.0


class BillBatcher:
    """Appends bills to the log in batches.

    A flush stops at the first append that fails; the next flush appends what is left in the queues.

    Parameters
    ----------
    log : AsyncLog
        The platform's log.
    now : callable
        Seconds, monotonic.
    count_hosts : callable
        Number of hosts that share the log's append rate.
    on_appended : callable
        Called with the bills that were appended.
    count : callable
        Counts an event by its name.

    Attributes
    ----------
    append_count : int
        Appends made so far.
    """

    def __init__(
        self,
        log: AsyncLog,
        now: Callable[[], float],
        count_hosts: Callable[[], int],
        on_appended: Callable[[list[Bill]], None],
        count: Callable[[str], None],
    ) -> None:
        self.append_count = 0
        self._log = log
        self._now = now
        self._count_hosts = count_hosts
        self._on_appended = on_appended
        self._count = count
        self._queues: dict[int, dict[str, Bill]] = {}
        self._waiters: dict[str, asyncio.Future[bool]] = {}
        self._flush_task: asyncio.Task[None] | None = None
        self._flush_now = asyncio.Event()
        # Until this time after a failed append, ``try_append_now`` returns False without waiting.
        self._fail_fast_until = 0.0

    @property
    def unlogged_count(self) -> int:
        """Bills that are not in the log yet."""
        return sum(len(queue) for queue in self._queues.values())

    def find(self, bill_id: str) -> Bill | None:
        """Return a queued bill, or None."""
        found = (queue.get(bill_id) for queue in self._queues.values())
        return next((bill for bill in found if bill is not None), None)

    def add(self, shard: int, bill: Bill) -> None:
        """Queue a bill for the next batch of a shard."""
        self._queues.setdefault(shard, {})[bill.id] = bill

    def start_flush(self, is_urgent: bool = False) -> None:
        """Append the queued bills in the background, after a delay unless they are urgent."""
        if is_urgent:
            self._flush_now.set()
        if self._flush_task is None and self.unlogged_count:
            self._flush_task = asyncio.create_task(self._flush())

    async def drain(self) -> None:
        """Append the queued bills at once; return when that is done or the log fails."""
        self.start_flush(is_urgent=True)
        if self._flush_task is not None:
            await asyncio.wait([self._flush_task])

    async def try_append_now(self, bill: Bill) -> bool:
        """Append all queued bills at once, and tell whether a bill is known to be in the log.

        The bill must have been added before. False means that its append failed, that it was not
        appended within ``LOG_APPEND_TIMEOUT_S``, or that an append failed less than that time ago,
        so that nothing was tried. The bill then stays queued, unless an append that is still
        running succeeds.
        """
        if self.find(bill.id) is None:
            return True
        if self._now() < self._fail_fast_until:
            return False
        appended = self._waiters.setdefault(bill.id, asyncio.get_running_loop().create_future())
        self.start_flush(is_urgent=True)
        await asyncio.wait([appended], timeout=LOG_APPEND_TIMEOUT_S)
        self._waiters.pop(bill.id, None)
        return appended.done() and appended.result()

    async def _flush(self) -> None:
        """Append batches until the queue is empty or the log fails."""
        try:
            while self.unlogged_count:
                await self._pause()
                for shard in list(self._queues):
                    if self._queues[shard] and not await self._append(shard):
                        return
        finally:
            self._flush_task = None

    async def _pause(self) -> None:
        """Wait while a batch fills, unless the bills are urgent."""
        interval_s = max(MIN_BATCH_INTERVAL_S, self._count_hosts() / MAX_BATCHES_PER_S)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._flush_now.wait(), interval_s)
        self._flush_now.clear()

    async def _append(self, shard: int) -> bool:
        """Append one batch of a shard, and tell whether it is known to be in the log.

        After any other outcome the bills stay queued for the next flush. If the append took effect
        nevertheless, readers ignore the second copy.
        """
        queue = self._queues[shard]
        bills = list(queue.values())[:MAX_BATCH_BILLS]
        self.append_count += 1
        outcome = await self._log.append(stream_of(shard), encode_bills(bills))
        is_appended = isinstance(outcome, Appended)
        if is_appended:
            for bill in bills:
                if queue.get(bill.id) is bill:
                    del queue[bill.id]
            self._on_appended(bills)
        else:
            self._count("bill_append_failed")
            self._fail_fast_until = self._now() + LOG_APPEND_TIMEOUT_S
        for bill in bills:
            self._notify_waiter(bill.id, is_appended)
        return is_appended

    def _notify_waiter(self, bill_id: str, is_appended: bool) -> None:
        waiter = self._waiters.pop(bill_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(is_appended)
