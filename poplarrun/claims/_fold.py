"""The fold of one claim stream: the same holder of each key on every host."""

from poplarrun.claims._records import (
    Claim,
    ClaimVerdict,
    KeyState,
    LogRecord,
    Outcome,
    Release,
    Snapshot,
    Taken,
    Voided,
    Won,
    decode_batch,
)
from poplarrun.log import Entry

RETENTION_S = 3600.0
# A record may move the fold's clock by so much and no more: a host whose clock
# is a day ahead would otherwise end the retention of every key at once, and
# repeats of keys that ran would run again.
MAX_CLOCK_STEP_S = 5.0


class ClaimFold:
    """Who holds each key, by the records in offset order.

    The verdict on a claim depends only on records before it, so any host that
    has folded up to the claim gives the same one, and it never changes.

    Parameters
    ----------
    retention_s : float
        Time for which a key is kept, in seconds.

    Attributes
    ----------
    next_offset : int
        Offset of the next record to fold.
    """

    def __init__(self, retention_s: float = RETENTION_S) -> None:
        self.next_offset = 0
        self._retention_s = retention_s
        self._clock = 0.0
        self._key_states: dict[tuple[str, str], KeyState] = {}
        self._claimed_at: dict[str, float] = {}
        self._voided_at: dict[str, float] = {}

    @property
    def key_count(self) -> int:
        """Number of keys that are held."""
        return len(self._key_states)

    def fold(self, entry: Entry) -> None:
        """Apply one entry of the stream; one that was applied before changes nothing."""
        if entry.offset < self.next_offset:
            return
        self.next_offset = entry.offset + 1
        for record in decode_batch(entry.data):
            self._fold_record(record)

    def find(self, account: str, key: str) -> KeyState | None:
        """Return what holds a key."""
        return self._key_states.get((account, key))

    def has_folded(self, record: LogRecord) -> bool:
        """Tell whether a record was folded."""
        match record:
            case Claim(id=claim_id):
                return claim_id in self._claimed_at or claim_id in self._voided_at
            case Release(id=claim_id):
                return claim_id in self._voided_at
            case Outcome(id=claim_id, account=account, key=key):
                holding = self.find(account, key)
                held = holding is not None and holding.claim.id == claim_id
                return not held or (holding is not None and holding.result is not None)
            case Snapshot():
                return True

    def judge(self, claim: Claim) -> ClaimVerdict:
        """Return the verdict on a claim that was folded."""
        if claim.id in self._voided_at:
            return Voided()
        holding = self.find(claim.account, claim.key)
        if holding is not None and holding.claim.id == claim.id:
            return Won()
        return Taken(holding)

    def take_snapshot(self, at: float) -> Snapshot:
        """Return the state after the last folded record."""
        return Snapshot(
            self.next_offset - 1,
            at,
            self._clock,
            list(self._key_states.values()),
            dict(self._claimed_at),
            dict(self._voided_at),
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot."""
        self.next_offset = snapshot.through + 1
        self._clock = snapshot.clock
        self._key_states = {(h.claim.account, h.claim.key): h for h in snapshot.key_states}
        self._claimed_at = dict(snapshot.claimed_at)
        self._voided_at = dict(snapshot.voided_at)

    def _fold_record(self, record: LogRecord) -> None:
        match record:
            case Claim():
                self._fold_claim(record)
            case Outcome():
                holding = self.find(record.account, record.key)
                if holding is not None and holding.claim.id == record.id:
                    holding.result = holding.result or record.result
            case Release():
                self._fold_release(record)
            case Snapshot():
                return

    def _fold_claim(self, claim: Claim) -> None:
        self._advance_clock(claim.at)
        if claim.id in self._claimed_at:
            return
        self._claimed_at[claim.id] = self._clock
        if claim.id in self._voided_at:
            return
        self._key_states.setdefault((claim.account, claim.key), KeyState(claim))

    def _fold_release(self, release: Release) -> None:
        """Void a claim, also one whose record comes only later.

        An append that was given up may still take effect. Were the release
        forgotten by then, the claim would hold its key for ever, with no host
        left that would run it.
        """
        holding = self.find(release.account, release.key)
        is_holder = holding is not None and holding.claim.id == release.id
        if is_holder and holding is not None and holding.result is not None:
            return
        self._voided_at.setdefault(release.id, self._clock)
        if is_holder:
            del self._key_states[(release.account, release.key)]

    def _advance_clock(self, at: float) -> None:
        if self._clock == 0.0:
            # Releases that came before the first claim have no time yet; taken
            # for ancient they would be forgotten before their claims land.
            self._clock = at
            self._voided_at = dict.fromkeys(self._voided_at, at)
        self._clock = min(max(self._clock, at), self._clock + MAX_CLOCK_STEP_S)
        horizon = self._clock - self._retention_s
        _discard_older(self._claimed_at, horizon)
        _discard_older(self._voided_at, horizon)
        # A key's age is counted by the fold's clock, not by its own record: a
        # host whose clock is behind would make keys that expire at once.
        while self._key_states:
            oldest = next(iter(self._key_states.values())).claim
            if oldest.id in self._claimed_at:
                break
            del self._key_states[(oldest.account, oldest.key)]


def _discard_older(times: dict[str, float], horizon: float) -> None:
    while times:
        oldest = next(iter(times))
        if times[oldest] >= horizon:
            break
        del times[oldest]
