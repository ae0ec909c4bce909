"""Follower of the recorded phases of roll-outs."""

from poplarrun.logging import events, write_event
from poplarrun.platform import (
    ROLLOUT_PREFIX,
    STATUS_TOPIC,
    LatestRecords,
    MalformedDocument,
    StoreClient,
    decode_status,
)
from poplarrun.rollouts import Rollouts


class StatusFollower:
    """Reads the recorded phases of roll-outs while any is in progress."""

    def __init__(self, store: StoreClient, rollouts: Rollouts) -> None:
        self.offset = 0
        self._store = store
        self._rollouts = rollouts

    async def read(self) -> bool:
        """Read all records; return False if the store does not answer."""
        answer = await self._store.read_latest(STATUS_TOPIC)
        if not isinstance(answer, LatestRecords):
            return False
        for entry in answer.entries:
            if entry.value is None or not entry.key.startswith(ROLLOUT_PREFIX):
                continue
            try:
                status = decode_status(entry.key[len(ROLLOUT_PREFIX) :], entry.value)
            except MalformedDocument as error:
                write_event(events.DocumentIgnored(entry.key, str(error)))
                continue
            self._rollouts.apply_status(status)
        self.offset = answer.end_offset
        return True
