"""Fold of one claim stream, which gives the same holder of each key on every host."""

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
# A record advances the fold's clock by at most this much. Otherwise a host whose clock is a day
# ahead would end the retention of every key at once, and repeats of keys that ran would run again.
MAX_CLOCK_STEP_S = 5.0


class ClaimFold:
    """The claim that holds each key, from the records in offset order.

    The verdict on a claim depends only on the folded records, so all hosts that have folded the
    stream up to the same offset give the same one. A later release of the holding claim, or the
    end of its retention, changes the verdict.

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
        """Return the claim that holds a key and its result, or None."""
        return self._key_states.get((account, key))

    def has_folded(self, record: LogRecord) -> bool:
        """Tell whether a record was folded.

        True for an outcome also if its claim doesn't hold the key: the outcome has had its effect
        or can have none. A claim whose release was folded can't have an effect either.
        """
        match record:
            case Claim(id=claim_id):
                return claim_id in self._claimed_at or claim_id in self._voided_at
            case Release(id=claim_id):
                return claim_id in self._voided_at
            case Outcome(id=claim_id, account=account, key=key):
                state = self.find(account, key)
                is_held = state is not None and state.claim.id == claim_id
                return not is_held or (state is not None and state.result is not None)
            case Snapshot():
                return True

    def judge(self, claim: Claim) -> ClaimVerdict:
        """Return whether a claim holds its key; the claim must have been folded.

        ``Taken(None)`` means that no claim holds the key any more: its holder was released or has
        expired.
        """
        if claim.id in self._voided_at:
            return Voided()
        state = self.find(claim.account, claim.key)
        if state is not None and state.claim.id == claim.id:
            return Won()
        return Taken(state)

    def take_snapshot(self, at: float) -> Snapshot:
        """Return a snapshot of the state after the last folded record."""
        return Snapshot(
            self.next_offset - 1,
            at,
            self._clock,
            list(self._key_states.values()),
            dict(self._claimed_at),
            dict(self._voided_at),
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state by that of a snapshot."""
        self.next_offset = snapshot.last_offset + 1
        self._clock = snapshot.clock
        self._key_states = {
            (state.claim.account, state.claim.key): state for state in snapshot.key_states
        }
        self._claimed_at = dict(snapshot.claimed_at)
        self._voided_at = dict(snapshot.voided_at)

    def _fold_record(self, record: LogRecord) -> None:
        match record:
            case Claim():
                self._fold_claim(record)
            case Outcome():
                state = self.find(record.account, record.key)
                if state is not None and state.claim.id == record.id:
                    state.result = state.result or record.result
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
        """Void a claim, even one whose record is read only later.

        An append that was given up may still take effect. If its release were forgotten by then,
        the claim would hold the key for ever, and no host would run it.
        """
        state = self.find(release.account, release.key)
        is_holder = state is not None and state.claim.id == release.id
        if is_holder and state is not None and state.result is not None:
            return
        self._voided_at.setdefault(release.id, self._clock)
        if is_holder:
            del self._key_states[(release.account, release.key)]

    def _advance_clock(self, at: float) -> None:
        if self._clock == 0.0:
            # Releases before the first claim have no time yet. If they counted as old, they would
            # be dropped before the records of their claims are read.
            self._clock = at
            self._voided_at = dict.fromkeys(self._voided_at, at)
        self._clock = min(max(self._clock, at), self._clock + MAX_CLOCK_STEP_S)
        expired_before = self._clock - self._retention_s
        _discard_older(self._claimed_at, expired_before)
        _discard_older(self._voided_at, expired_before)
        # The age of a key is measured by the fold's clock and not by its own record: keys of a host
        # whose clock is behind would expire at once otherwise.
        while self._key_states:
            oldest = next(iter(self._key_states.values())).claim
            if oldest.id in self._claimed_at:
                break
            del self._key_states[(oldest.account, oldest.key)]


def _discard_older(times: dict[str, float], expired_before: float) -> None:
    while times:
        oldest = next(iter(times))
        if times[oldest] >= expired_before:
            break
        del times[oldest]
