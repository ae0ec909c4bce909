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
from poplarrun.transport import seconds_since_boot


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
            rollout = self._rollouts.find(status.service)
            if rollout is not None and self._rollouts.apply_status(status):
                age_s = seconds_since_boot() - rollout.started_at
                write_event(
                    events.RolloutPhaseLearnt(
                        status.service, status.target, status.phase.value, "store", age_s
                    )
                )
        self.offset = answer.end_offset
        return True
