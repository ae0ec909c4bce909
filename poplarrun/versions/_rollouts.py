"""The roll-out records in the log, and the fold that every host applies to them."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import msgspec

from poplarrun.contracts import VersionId
from poplarrun.log import Entry
from poplarrun.versions._evidence import CellKey

ROLLOUTS_STREAM = "rollouts"


class Granted(msgspec.Struct, frozen=True, tag="granted"):
    """Grants more requests of a class to a version that is being rolled out.

    Attributes
    ----------
    id : str
        Unique id.
    work_class, version : str
        The version that is rolled out, and the class.
    number : int
        Count of the roll-out's grants before this one. Two rollout controllers that grant
        at the same time write the same number, and the fold applies only the first, so
        that the budget isn't granted twice.
    stage : int
        The stage that this grant belongs to.
    shares : dict of str to int
        Requests by host process (``format_process_name``). A host that is not named may
        send none, so hosts that can't reach each other never exceed the sum.
    """

    id: str
    work_class: str
    version: str
    number: int
    stage: int
    shares: dict[str, int]


class Settled(msgspec.Struct, frozen=True, tag="settled"):
    """Ends a roll-out: the version serves its class from now on, or is rejected.

    Attributes
    ----------
    serves : bool
        True when it is fully rolled out, False when it is rejected for this class.
    reason : str
        Explanation for operators.
    """

    id: str
    work_class: str
    version: str
    serves: bool
    reason: str


class Closed(msgspec.Struct, frozen=True, tag="closed"):
    """Deletes the state of a version that is no longer offered.

    Offered again, it is rolled out from the beginning.
    """

    id: str
    version: str


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """The whole state of the fold, written before the log drops old records.

    Attributes
    ----------
    id : str
        Unique id.
    read_to : int
        Offset of the last record that it includes. The fold applies only a snapshot that
        directly follows that record: one behind a further record would undo it.
    cells : list of (str, str, RolloutState)
        Class, version and state.
    """

    id: str
    read_to: int
    cells: list[tuple[str, str, "RolloutState"]]


class RolloutState(msgspec.Struct, frozen=True):
    """The state of the roll-out of a version in a class.

    Attributes
    ----------
    grants : int
        Number of grants so far.
    stage : int
        Stage of the last grant.
    shares : dict of str to int
        Requests granted so far, by host process.
    serves : bool
        Whether it is fully rolled out.
    rejected : str
        Why it is rejected; empty when it isn't.
    """

    grants: int = 0
    stage: int = -1
    shares: dict[str, int] = {}
    serves: bool = False
    rejected: str = ""

    @property
    def budget(self) -> int:
        """Requests granted so far, over all hosts."""
        return sum(self.shares.values())


RolloutRecord = Granted | Settled | Closed | Snapshot

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[RolloutRecord] = msgspec.json.Decoder(
    Granted | Settled | Closed | Snapshot
)
NOT_ROLLED_OUT = RolloutState()


def encode_rollout(record: RolloutRecord) -> bytes:
    """Return the encoded record."""
    return _encoder.encode(record)


def decode_rollout(data: bytes) -> RolloutRecord | None:
    """Decode a record; None when the bytes are no roll-out record."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError):
        return None


def format_process_name(host: str, incarnation: int) -> str:
    """Return the name under which a host process receives shares.

    A restarted host doesn't know how much of its share it has used. Because the name contains
    the incarnation, the share stays with the process that died, and none of its requests is
    granted twice.
    """
    return f"{host}/{incarnation}"


@dataclass(frozen=True, slots=True)
class RolloutTable:
    """The state of the fold.

    Attributes
    ----------
    read_to : int
        Offset of the last record that was folded; -1 before the first.
    is_complete : bool
        False after records were missed, until the next snapshot.
    snapshot_offset : int
        Offset of the last snapshot that was applied; -1 without one.
    states : mapping of CellKey to RolloutState
        One for each version and class that was ever granted or settled.
    """

    read_to: int = -1
    is_complete: bool = True
    snapshot_offset: int = -1
    states: Mapping[CellKey, RolloutState] = field(default_factory=dict)

    def find(self, key: CellKey) -> RolloutState:
        """Return the state of a version's roll-out in a class."""
        return self.states.get(key, NOT_ROLLED_OUT)

    def snapshot(self, record_id: str) -> Snapshot:
        """Return the snapshot record of this state."""
        cells = [(k.class_name, str(k.version), s) for k, s in self.states.items()]
        return Snapshot(record_id, self.read_to, cells)

    def apply_snapshot(self, snapshot: Snapshot) -> "RolloutTable":
        """Return the state in a snapshot, or this one if it is at least as new."""
        if self.is_complete and snapshot.read_to <= self.read_to:
            return self
        states = {CellKey(c, VersionId.parse(v)): s for c, v, s in snapshot.cells}
        return RolloutTable(snapshot.read_to, True, self.snapshot_offset, states)

    def skip_to(self, horizon: int) -> "RolloutTable":
        """Return the state after records below an offset were dropped by the log."""
        return RolloutTable(horizon - 1, False)


def fold_rollout(state: RolloutTable, entry: Entry) -> RolloutTable:
    """Apply one record of the stream; a repeated record changes nothing."""
    if entry.offset <= state.read_to:
        return state
    before, state = state, replace(state, read_to=entry.offset)
    match decode_rollout(entry.data):
        case Snapshot() as snapshot if snapshot.read_to == before.read_to:
            applied = (
                state
                if state.is_complete
                else replace(before, is_complete=False).apply_snapshot(snapshot)
            )
            return replace(applied, read_to=entry.offset, snapshot_offset=entry.offset)
        case _ if not state.is_complete:
            return state
        case Granted() as record:
            return _fold_grant(state, record)
        case Settled() as record:
            return _fold_settled(state, record)
        case Closed(version=version):
            remaining = {k: s for k, s in state.states.items() if str(k.version) != version}
            return replace(state, states=remaining)
        case Snapshot() | None:
            return state


def _fold_grant(state: RolloutTable, record: Granted) -> RolloutTable:
    key = CellKey(record.work_class, VersionId.parse(record.version))
    previous = state.find(key)
    if previous.rejected or previous.serves or record.number != previous.grants:
        return state
    shares = dict(previous.shares)
    for process_name, share in record.shares.items():
        shares[process_name] = shares.get(process_name, 0) + share
    after = RolloutState(record.number + 1, record.stage, shares)
    return replace(state, states={**state.states, key: after})


def _fold_settled(state: RolloutTable, record: Settled) -> RolloutTable:
    """Apply the end of a roll-out; a later success doesn't replace a rejection.

    A rollout controller that was partitioned may report success from old evidence after
    another one rejected the version. The rejection prevails in either order.
    """
    key = CellKey(record.work_class, VersionId.parse(record.version))
    previous = state.find(key)
    if previous.rejected:
        return state
    rejected = "" if record.serves else record.reason
    after = RolloutState(previous.grants, previous.stage, previous.shares, record.serves, rejected)
    return replace(state, states={**state.states, key: after})
