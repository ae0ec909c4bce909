"""The fold of the configuration stream, which gives the same verdicts on every host."""

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

# Ids of folded records that are remembered to recognize repeats.
MAX_SEEN_IDS = 256


@dataclass(frozen=True, slots=True)
class Accepted:
    """The record has taken effect at this offset."""

    offset: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The publication was based on another offset than that of the accepted publication."""

    based_on: int
    accepted: int


@dataclass(frozen=True, slots=True)
class Invalid:
    """The publication's document is invalid."""

    problems: DocumentProblems


@dataclass(frozen=True, slots=True)
class Refused:
    """The record has no valid signature of a known operator key."""

    reason: str


@dataclass(frozen=True, slots=True)
class Ignored:
    """The record has no effect, such as a repeated or an undecodable one."""

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
        Keys whose signatures are accepted; they must be the same on every host.

    Returns
    -------
    tuple of Configuration and Verdict
        The state after the record, and the verdict on the record.
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
            return state, Ignored("filler record")
    if not state.anchored and not _replaces_anything(record):
        return state, Ignored("earlier records were dropped and no snapshot has been read yet")
    if record.id in state.seen:
        return state, Ignored("repeated record")
    state = replace(state, seen=(*state.seen, record.id)[-MAX_SEEN_IDS:])
    match record:
        case Publication():
            return _fold_publication(state, record, entry)
        case Withdrawal():
            return _fold_withdrawal(state, record, entry.offset)


def fold_gap(state: Configuration, gap: Gap) -> Configuration:
    """Continue behind records that retention dropped before they were read.

    The configuration stays in force. Publications behind the gap can't be checked, because the
    publications that they are based on were missed; the next snapshot resolves this.
    """
    return replace(state, read_to=max(state.read_to, gap.horizon - 1), anchored=False)


def apply_snapshot(
    state: Configuration, snapshot: Snapshot, keys: OperatorKeys = NO_KEYS
) -> Configuration | None:
    """Return the state of a snapshot; None when it is not newer than the current one.

    A host never goes back to a lower offset, because a stale peer or an old snapshot
    would reactivate a document that operators have replaced.
    """
    lowest = state.offset + 1 if state.anchored else state.offset
    if snapshot.offset < max(0, lowest) or snapshot.read_to < snapshot.offset:
        return None
    return read_snapshot(snapshot, keys)


def _fold_snapshot(
    state: Configuration, snapshot: Snapshot, offset: int, keys: OperatorKeys
) -> tuple[Configuration, Verdict]:
    if snapshot.read_to != offset - 1:
        return state, Ignored("snapshot does not directly follow the last record it includes")
    adopted = apply_snapshot(state, snapshot, keys)
    if adopted is None:
        return state, Ignored("snapshot is not newer than the current state")
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
                withdrawn=frozenset(v for v in state.withdrawn if _is_still_offered(document, v)),
                anchored=True,
            )
            return accepted, Accepted(entry.offset)


def _fold_withdrawal(
    state: Configuration, record: Withdrawal, offset: int
) -> tuple[Configuration, Verdict]:
    try:
        version = VersionId.parse(record.version)
    except ValueError:
        # An uncaught error here would stop the fold on every host permanently.
        return state, Ignored("withdrawal does not name a version")
    return replace(state, withdrawn=state.withdrawn | {version}), Accepted(offset)


def _replaces_anything(record: Publication | Withdrawal) -> bool:
    return isinstance(record, Publication) and record.based_on == BASED_ON_ANYTHING


def _is_still_offered(document: Document, version: VersionId) -> bool:
    """Tell whether a publication still offers a version, so that its withdrawal remains.

    Most publications change something else. Dropping the system's withdrawal with every
    publication that offers the version would send callers to a bad version after an unrelated
    change.
    """
    offered = document.versions.get(version)
    return offered is not None and offered.stage is VersionStage.OFFERED
