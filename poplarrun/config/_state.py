"""The state of the fold of the configuration stream."""

from dataclasses import dataclass, field

from poplarrun.contracts import Document, VersionId, VersionStage

NOTHING_ACCEPTED = -1


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration in force, and the state of the fold.

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
    publication : bytes
        The accepted publication's record, byte for byte as in the log.
    withdrawn : frozenset of VersionId
        Versions withdrawn by the system.
    seen : tuple of str
        Ids of the most recently folded records, oldest first. Repeats of older records are
        harmless, because the ``based_on`` of a publication is out of date by then.
    anchored : bool
        False after records were missed, until a snapshot is applied.
    """

    offset: int = NOTHING_ACCEPTED
    read_to: int = -1
    document: Document = field(default_factory=Document)
    text: str = ""
    publication: bytes = b""
    withdrawn: frozenset[VersionId] = frozenset()
    seen: tuple[str, ...] = ()
    anchored: bool = True

    def is_withdrawn(self, version: VersionId) -> bool:
        """Tell whether a version may get no new requests."""
        offered = self.document.versions.get(version)
        return (
            offered is None or offered.stage is VersionStage.WITHDRAWN or version in self.withdrawn
        )
