"""Reads and folds the configuration stream to its end, across gaps."""

from dataclasses import dataclass, field

from poplarrun.config._fold import Verdict, fold_entry, fold_gap
from poplarrun.config._publications import CONFIG_STREAM
from poplarrun.config._signatures import NO_KEYS, OperatorKeys
from poplarrun.config._state import Configuration
from poplarrun.log import Entry, Gap, Log, ReadFailed, StreamReader


@dataclass(frozen=True, slots=True)
class FoldedStream:
    """The state at the end of the stream, and the folded records with their verdicts."""

    state: Configuration
    history: list[tuple[Entry, Verdict]] = field(default_factory=list)


def fold_stream(log: Log, keys: OperatorKeys = NO_KEYS) -> FoldedStream | ReadFailed:
    """Fold every record that the log still holds."""
    reader = StreamReader(log, CONFIG_STREAM)
    state = Configuration()
    history: list[tuple[Entry, Verdict]] = []
    while True:
        match reader.read_new():
            case ReadFailed() as failed:
                return failed
            case Gap() as gap:
                state = fold_gap(state, gap)
                reader.next_offset = gap.horizon
            case ():
                return FoldedStream(state, history)
            case entries:
                for entry in entries:
                    state, verdict = fold_entry(state, entry, keys)
                    history.append((entry, verdict))
