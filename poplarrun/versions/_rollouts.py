"""The roll-out records in the log, and the fold that all hosts share."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import msgspec

from poplarrun.contracts import VersionId
from poplarrun.log import Entry
from poplarrun.versions._evidence import CellKey

ROLLOUTS_STREAM = "rollouts"


class BudgetGrant(msgspec.Struct, frozen=True, tag="granted"):
    """More requests of a class may run on a version that is being rolled out.

    Attributes
    ----------
    id : str
        Unique id.
    work_class, version : str
        What is rolled out where.
    number : int
        Count of the roll-out's grants before this one. Two stewards that grant
        at once write the same number, and the fold takes only the first, so
        that the budget isn't granted twice.
    stage : int
        The stage that this grant belongs to.
    shares : dict of str to int
        Requests by holder (``name_holder``). A host that is not named has none,
        so hosts that are cut off from each other never exceed the sum.
    """

    id: str
    work_class: str
    version: str
    number: int
    stage: int
    shares: dict[str, int]


class RolloutResult(msgspec.Struct, frozen=True, tag="settled"):
    """A roll-out ended: the version serves its class, or never will.

    Attributes
    ----------
    serves : bool
        True: rolled out fully. False: rejected for this class.
    reason : str
        For operators.
    """

    id: str
    work_class: str
    version: str
    serves: bool
    reason: str


class RolloutClosure(msgspec.Struct, frozen=True, tag="closed"):
    """The version is no longer offered; offered anew it is rolled out anew."""

    id: str
    version: str


class RolloutSnapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """The whole state, written again before old records are dropped.

    Attributes
    ----------
    id : str
        Unique id.
    read_to : int
        Offset of the last record in it. Only a snapshot that stands right
        behind that record counts: one that another record overtook would undo it.
    cells : list of (str, str, RolloutState)
        Class, version and state.
    """

    id: str
    read_to: int
    cells: list[tuple[str, str, "RolloutState"]]


class RolloutState(msgspec.Struct, frozen=True):
    """Where the roll-out of a version in a class stands.

    Attributes
    ----------
    grants : int
        Grants so far.
    stage : int
        Stage of the last one.
    shares : dict of str to int
        Requests granted so far, by holder.
    serves : bool
        Rolled out fully.
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


RolloutRecord = BudgetGrant | RolloutResult | RolloutClosure | RolloutSnapshot

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[RolloutRecord] = msgspec.json.Decoder(
    BudgetGrant | RolloutResult | RolloutClosure | RolloutSnapshot
)
UNKNOWN = RolloutState()


def encode_rollout(record: RolloutRecord) -> bytes:
    """Return the bytes of a record."""
    return _encoder.encode(record)


def decode_rollout(data: bytes) -> RolloutRecord | None:
    """Read the bytes of a record; None when they are no roll-out record."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError):
        return None


def format_process_name(host: str, incarnation: int) -> str:
    """Return the name under which a host holds a share.

    A restarted host has forgotten what it used of its share. With the
    incarnation in the name the share stays with the process that died, so that
    no request is counted out twice.
    """
    return f"{host}/{incarnation}"


@dataclass(frozen=True, slots=True)
class RolloutTable:
    """The state of the fold.

    Attributes
    ----------
    read_to : int
        Offset of the last record that was folded; -1 before the first.
    is_whole : bool
        False after records were missed, until the next snapshot.
    snapshot_at : int
        Offset of the last snapshot that counted; -1 without one.
    states : mapping of CellKey to RolloutState
        One for each version and class that was ever granted or settled.
    """

    read_to: int = -1
    is_complete: bool = True
    snapshot_offset: int = -1
    states: Mapping[CellKey, RolloutState] = field(default_factory=dict)

    def find(self, key: CellKey) -> RolloutState:
        """Return where a version stands in a class."""
        return self.states.get(key, UNKNOWN)

    def snapshot(self, record_id: str) -> RolloutSnapshot:
        """Return the record that repeats this state."""
        cells = [(k.class_name, str(k.version), s) for k, s in self.states.items()]
        return RolloutSnapshot(record_id, self.read_to, cells)

    def apply_snapshot(self, snapshot: RolloutSnapshot) -> "RolloutTable":
        """Return the state that a snapshot tells, unless this one is as new."""
        if self.is_complete and snapshot.read_to <= self.read_to:
            return self
        states = {CellKey(c, VersionId.parse(v)): s for c, v, s in snapshot.cells}
        return RolloutTable(snapshot.read_to, True, self.snapshot_offset, states)

    def skip_to(self, horizon: int) -> "RolloutTable":
        """Return the state after records below an offset were missed."""
        return RolloutTable(horizon - 1, False)


def fold_rollout(state: RolloutTable, entry: Entry) -> RolloutTable:
    """Apply one record of the stream; repeats change nothing."""
    if entry.offset <= state.read_to:
        return state
    before, state = state, replace(state, read_to=entry.offset)
    match decode_rollout(entry.data):
        case RolloutSnapshot() as snapshot if snapshot.read_to == before.read_to:
            whole = (
                state
                if state.is_complete
                else replace(before, is_complete=False).apply_snapshot(snapshot)
            )
            return replace(whole, read_to=entry.offset, snapshot_offset=entry.offset)
        case _ if not state.is_complete:
            return state
        case BudgetGrant() as record:
            return _fold_grant(state, record)
        case RolloutResult() as record:
            return _fold_settled(state, record)
        case RolloutClosure(version=version):
            kept = {k: s for k, s in state.states.items() if str(k.version) != version}
            return replace(state, states=kept)
        case RolloutSnapshot() | None:
            return state


def _fold_grant(state: RolloutTable, record: BudgetGrant) -> RolloutTable:
    key = CellKey(record.work_class, VersionId.parse(record.version))
    known = state.find(key)
    if known.rejected or known.serves or record.number != known.grants:
        return state
    shares = dict(known.shares)
    for holder, share in record.shares.items():
        shares[holder] = shares.get(holder, 0) + share
    after = RolloutState(record.number + 1, record.stage, shares)
    return replace(state, states={**state.states, key: after})


def _fold_settled(state: RolloutTable, record: RolloutResult) -> RolloutTable:
    """End a roll-out; a rejection holds against a later success.

    A steward that was cut off may report success on old evidence after another
    one rejected the version; the rejection wins in either order.
    """
    key = CellKey(record.work_class, VersionId.parse(record.version))
    known = state.find(key)
    if known.rejected:
        return state
    rejected = "" if record.serves else record.reason
    after = RolloutState(known.grants, known.stage, known.shares, record.serves, rejected)
    return replace(state, states={**state.states, key: after})
