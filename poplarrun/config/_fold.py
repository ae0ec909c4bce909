"""The fold of the configuration stream: the same verdict on every host."""

from dataclasses import dataclass, replace

from poplarrun.config._publications import (
    BASED_ON_ANYTHING,
    Filler,
    Publication,
    Snapshot,
    Withdrawal,
)
from poplarrun.config._signatures import NO_KEYS, OperatorKeys, Unsigned, decode_signed_record
from poplarrun.config._snapshots import read_snapshot
from poplarrun.config._state import Configuration
from poplarrun.contracts import Document, DocumentProblems, VersionId, VersionStage, parse_document
from poplarrun.log import Entry, Gap

SEEN_RECORDS = 256


@dataclass(frozen=True, slots=True)
class Accepted:
    """The record is in force from this offset on."""

    offset: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The publication was based on an offset that is no longer the accepted one."""

    based_on: int
    accepted: int


@dataclass(frozen=True, slots=True)
class Invalid:
    """The publication's document has faults."""

    problems: DocumentProblems


@dataclass(frozen=True, slots=True)
class Refused:
    """The record is not signed by a known operator key."""

    reason: str


@dataclass(frozen=True, slots=True)
class Ignored:
    """A repeat of a folded record, or bytes that are none."""

    reason: str


Verdict = Accepted | Conflict | Invalid | Refused | Ignored


def fold_entry(
    state: Configuration, entry: Entry, keys: OperatorKeys = NO_KEYS
) -> tuple[Configuration, Verdict]:
    """Apply one record of the stream.

    Parameters
    ----------
    state : Configuration
        The state after the records before this one.
    entry : Entry
        The record; one at or below ``state.read_to`` changes nothing.
    keys : OperatorKeys
        Whose signatures count; the same at every host.

    Returns
    -------
    tuple of Configuration and Verdict
        The state after the record, and what became of it.
    """
    if entry.offset <= state.read_to:
        return state, Ignored("already folded")
    state = replace(state, read_to=entry.offset)
    record = decode_signed_record(entry.data, keys)
    match record:
        case None:
            return state, Ignored("not a configuration record")
        case Unsigned(reason=reason):
            return state, Refused(reason)
        case Snapshot():
            return _fold_snapshot(state, record, entry.offset, keys)
        case Filler():
            return state, Ignored("a filler")
    if not state.anchored and not _replaces_anything(record):
        return state, Ignored("records before it are gone and no snapshot was read yet")
    if record.id in state.seen:
        return state, Ignored("a repeat")
    state = replace(state, seen=(*state.seen, record.id)[-SEEN_RECORDS:])
    match record:
        case Publication():
            return _fold_publication(state, record, entry)
        case Withdrawal():
            return _fold_withdrawal(state, record, entry.offset)


def fold_gap(state: Configuration, gap: Gap) -> Configuration:
    """Go on behind records that retention dropped before they were read.

    What is in force stays so. Publications behind the gap can't be judged,
    because what they are based on was missed; a snapshot decides.
    """
    return replace(state, read_to=max(state.read_to, gap.horizon - 1), anchored=False)


def apply_snapshot(
    state: Configuration, snapshot: Snapshot, keys: OperatorKeys = NO_KEYS
) -> Configuration | None:
    """Return the state of a snapshot; None when it is not newer than the own one.

    A host never takes up a lower offset: a stale peer or an old snapshot
    would bring back a document that operators have replaced.
    """
    lowest = state.offset + 1 if state.anchored else state.offset
    if snapshot.offset < max(0, lowest) or snapshot.read_to < snapshot.offset:
        return None
    return read_snapshot(snapshot, keys)


def _fold_snapshot(
    state: Configuration, snapshot: Snapshot, offset: int, keys: OperatorKeys
) -> tuple[Configuration, Verdict]:
    if snapshot.read_to != offset - 1:
        return state, Ignored("a snapshot that does not follow directly")
    adopted = apply_snapshot(state, snapshot, keys)
    if adopted is None:
        return state, Ignored("a snapshot of what is known")
    return replace(adopted, read_to=offset), Accepted(adopted.offset)


def _fold_publication(
    state: Configuration, record: Publication, entry: Entry
) -> tuple[Configuration, Verdict]:
    if record.based_on not in (state.offset, BASED_ON_ANYTHING):
        return state, Conflict(record.based_on, state.offset)
    match parse_document(record.document):
        case DocumentProblems() as problems:
            return state, Invalid(problems)
        case Document() as document:
            accepted = replace(
                state,
                offset=entry.offset,
                document=document,
                text=record.document,
                publication=entry.data,
                withdrawn=frozenset(v for v in state.withdrawn if _still_offered(document, v)),
                anchored=True,
            )
            return accepted, Accepted(entry.offset)


def _fold_withdrawal(
    state: Configuration, record: Withdrawal, offset: int
) -> tuple[Configuration, Verdict]:
    try:
        version = VersionId.parse(record.version)
    except ValueError:
        # One such record would otherwise stop the fold of every host for good.
        return state, Ignored("a withdrawal of no version")
    return replace(state, withdrawn=state.withdrawn | {version}), Accepted(offset)


def _replaces_anything(record: Publication | Withdrawal) -> bool:
    return isinstance(record, Publication) and record.based_on == BASED_ON_ANYTHING


def _still_offered(document: Document, version: VersionId) -> bool:
    """Tell whether a system withdrawal outlives a publication.

    A publication that still offers the version says nothing about the
    withdrawal: most change something else. Dropping the withdrawal there
    would send callers to a bad version after any unrelated change.
    """
    offered = document.versions.get(version)
    return offered is not None and offered.stage is VersionStage.OFFERED
