"""The fold of the configuration stream: the same verdict on every host."""

from dataclasses import dataclass, field, replace

from poplarrun.config._publications import Publication, Withdrawal, decode_record
from poplarrun.contracts import Document, DocumentProblems, Stage, VersionId, parse_document
from poplarrun.log import Entry

NOTHING_ACCEPTED = -1


@dataclass(frozen=True, slots=True)
class Configuration:
    """The state of the fold.

    Attributes
    ----------
    offset : int
        Offset of the accepted publication; -1 before the first.
    read_to : int
        Offset of the last record that was folded.
    document : Document
        The document in force.
    text : str
        Its YAML text.
    withdrawn : frozenset of VersionId
        Versions withdrawn by the system.
    seen : frozenset of str
        Ids of the folded records.
    """

    offset: int = NOTHING_ACCEPTED
    read_to: int = -1
    document: Document = field(default_factory=Document)
    text: str = ""
    withdrawn: frozenset[VersionId] = frozenset()
    seen: frozenset[str] = frozenset()

    def is_withdrawn(self, version: VersionId) -> bool:
        """Tell whether a version may get no new work."""
        offered = self.document.versions.get(version)
        return offered is None or offered.stage is Stage.WITHDRAWN or version in self.withdrawn


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
class Ignored:
    """A repeat of a folded record, or bytes that are none."""

    reason: str


Verdict = Accepted | Conflict | Invalid | Ignored


def fold_entry(state: Configuration, entry: Entry) -> tuple[Configuration, Verdict]:
    """Apply one record of the stream.

    Parameters
    ----------
    state : Configuration
        The state after the records before this one.
    entry : Entry
        The record; one at or below ``state.read_to`` changes nothing.

    Returns
    -------
    tuple of Configuration and Verdict
        The state after the record, and what became of it.
    """
    if entry.offset <= state.read_to:
        return state, Ignored("already folded")
    state = replace(state, read_to=entry.offset)
    record = decode_record(entry.data)
    if record is None:
        return state, Ignored("not a configuration record")
    if record.id in state.seen:
        return state, Ignored("a repeat")
    state = replace(state, seen=state.seen | {record.id})
    match record:
        case Publication():
            return _fold_publication(state, record, entry.offset)
        case Withdrawal():
            withdrawn = state.withdrawn | {VersionId.parse(record.version)}
            return replace(state, withdrawn=withdrawn), Accepted(entry.offset)


def _fold_publication(
    state: Configuration, record: Publication, offset: int
) -> tuple[Configuration, Verdict]:
    if record.based_on != state.offset:
        return state, Conflict(record.based_on, state.offset)
    match parse_document(record.document):
        case DocumentProblems() as problems:
            return state, Invalid(problems)
        case Document() as document:
            withdrawn = frozenset(v for v in state.withdrawn if _still_offered(document, v))
            accepted = replace(
                state, offset=offset, document=document, text=record.document, withdrawn=withdrawn
            )
            return accepted, Accepted(offset)


def _still_offered(document: Document, version: VersionId) -> bool:
    """Tell whether a system withdrawal outlives a publication.

    A publication that still offers the version says nothing about the
    withdrawal: most change something else. Dropping the withdrawal there
    would send callers to a bad version after any unrelated change.
    """
    offered = document.versions.get(version)
    return offered is not None and offered.stage is Stage.OFFERED
