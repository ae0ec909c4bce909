"""Two operators publish concurrently; every host that folds the stream finds the same winner."""

from poplarrun.config import (
    CONFIG_STREAM,
    Configuration,
    Publication,
    encode_record,
    fold_entry,
)
from poplarrun.log import MemoryLog, StreamReader

DOCUMENT = "models: {{{operator}: {{versions: {{}}}}}}"


def main() -> None:
    """Publish twice on the same base offset, fold the stream, and print the verdicts."""
    log = MemoryLog()
    for operator in ("bob", "cleo"):
        text = DOCUMENT.format(operator=operator)
        record = Publication(f"id-{operator}", -1, operator, 0.0, text)
        log.append(CONFIG_STREAM, encode_record(record))
    state = Configuration()
    for entry in StreamReader(log, CONFIG_STREAM).read_new():
        state, verdict = fold_entry(state, entry)
        print(entry.offset, type(verdict).__name__)
    winner = "bob" if "bob" in state.text else "cleo"
    print(f"{winner}'s document in force at offset {state.offset}")


if __name__ == "__main__":
    main()
