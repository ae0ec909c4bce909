"""What the operators' document costs: the fold, its records, and a fresh start from the log."""

import sys
import time
import tracemalloc

import yaml

from bench.figures import Figure, Slope, report
from poplarrun.config import (
    CONFIG_STREAM,
    Configuration,
    Publication,
    encode_record,
    fold_entry,
)
from poplarrun.contracts import hash_key
from poplarrun.log import MemoryLog

COMMAND = "python -m bench.config"
VERSIONS = 26
CLASSES = 12
ACCOUNT_COUNTS = (10, 50, 100, 200)
USUAL_ACCOUNTS = 100
PUBLICATIONS = (20, 60, 180)
CHANGES_PER_DAY = 910
REPETITIONS = 3
READ_LIMIT = 1000
IN_FORCE_TARGET_S = 11.0


def make_document(accounts: int, number: int = 0) -> str:
    """Return a document of the two-year size, with so many client accounts."""
    targets = {"quality": 0.8, "first_token_ms": 1300, "between_tokens_ms": 42, "whole_s": 60}
    price = {"input_per_mtok": 0.2 + number / 1000, "output_per_mtok": 0.8}
    whole = {
        "classes": {f"class-{i}": {"importance": 5, "targets": targets} for i in range(CLASSES)},
        "models": {
            f"model-{i}": {"versions": {"1": {"stage": "offered", "price": price}}}
            for i in range(VERSIONS)
        },
        "accounts": {
            f"account-{i}": {
                "keys": [hash_key(f"key-{i}")],
                "classes": ["*"],
                "versions": ["*"],
                "limits": {"requests_per_second": 40},
            }
            for i in range(accounts)
        },
    }
    return yaml.safe_dump(whole)


def fill_log(publications: int, accounts: int) -> MemoryLog:
    """Return a log with publications, each on top of the one before it."""
    log = MemoryLog()
    for number in range(publications):
        text = make_document(accounts, number)
        record = Publication(f"id-{number}", number - 1, "ada", 0.0, text)
        log.append(CONFIG_STREAM, encode_record(record))
    return log


def fold_all(log: MemoryLog) -> tuple[Configuration, float]:
    """Fold the whole stream; return its state and the processor seconds."""
    entries = log.read(CONFIG_STREAM, 0, READ_LIMIT).entries  # type: ignore[union-attr]
    state, began = Configuration(), time.process_time()
    for entry in entries:
        state, _ = fold_entry(state, entry)
    return state, time.process_time() - began


def measure_accounts() -> tuple[list[tuple[float, float]], list[tuple[float, float]]]:
    """Return milliseconds to fold one publication, and its record's bytes, by accounts."""
    times, sizes = [], []
    for accounts in ACCOUNT_COUNTS:
        log = fill_log(1, accounts)
        best_s = min(fold_all(log)[1] for _ in range(REPETITIONS))
        record = log.read(CONFIG_STREAM, 0, 1).entries[0]  # type: ignore[union-attr]
        times.append((float(accounts), best_s * 1000))
        sizes.append((float(accounts), float(len(record.data))))
    return times, sizes


def measure_memory() -> float:
    """Return the megabytes that a configuration in force takes."""
    log = fill_log(1, USUAL_ACCOUNTS)
    fold_all(log)
    tracemalloc.start()
    state, _ = fold_all(log)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert state.offset == 0
    return held / 1_000_000


def main() -> int:
    """Run the bench; return the exit code."""
    times, sizes = measure_accounts()
    starts = []
    for publications in PUBLICATIONS:
        _, seconds = fold_all(fill_log(publications, USUAL_ACCOUNTS))
        starts.append((float(publications), seconds))
    day_s = starts[-1][1] / starts[-1][0] * CHANGES_PER_DAY
    one_ms = dict(times)[float(USUAL_ACCOUNTS)]
    figures = [
        Figure(
            "fold_of_one_publication",
            round(one_ms, 2),
            "ms",
            target=f"under {IN_FORCE_TARGET_S:g} s, the whole time to be in force",
            holds=one_ms / 1000 < IN_FORCE_TARGET_S,
        ),
        Figure("start_from_a_days_publications", round(day_s, 2), "s"),
        Figure("memory_of_a_configuration", round(measure_memory(), 2), "MB"),
    ]
    slopes = [
        Slope("fold_by_accounts", "client accounts", "ms", tuple(times), COMMAND),
        Slope("record_by_accounts", "client accounts", "bytes", tuple(sizes), COMMAND),
        Slope("start_by_publications", "publications", "s", tuple(starts), COMMAND),
    ]
    return report("config", figures, slopes)


if __name__ == "__main__":
    sys.exit(main())
