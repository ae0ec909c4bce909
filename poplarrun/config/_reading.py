"""Reads and folds the configuration stream to its end, across gaps."""

from dataclasses import dataclass, field

from poplarrun.config._fold import Verdict, fold_entry, fold_gap
from poplarrun.config._publications import CONFIG_STREAM
from poplarrun.config._signatures import NO_KEYS, OperatorKeys
from poplarrun.config._state import Configuration
from poplarrun.log import Entry, Gap, Log, ReadFailed, StreamReader


@dataclass(frozen=True, slots=True)
class FoldedStream:
    """The state at the end of the stream, and how it came about.

    Attributes
    ----------
    history : list of (Entry, Verdict)
        Every record that was read, in offset order, with the verdict on it.
    """

    state: Configuration
    history: list[tuple[Entry, Verdict]] = field(default_factory=list)


def fold_stream(log: Log, keys: OperatorKeys = NO_KEYS) -> FoldedStream | ReadFailed:
    """Read and fold a log's configuration stream, from its first kept record to its end.

    Blocks while it reads. After a gap it continues at the first record that the log still has.
    Without keys, signatures are not checked.
    """
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
            case ():  # the end of the stream
                return FoldedStream(state, history)
            case entries:
                for entry in entries:
                    state, verdict = fold_entry(state, entry, keys)
                    history.append((entry, verdict))
