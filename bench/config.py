"""Measures the cost of the operators' document: fold time, record size, start from the log."""

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
VERSION_COUNT = 26
CLASS_COUNT = 12
ACCOUNT_COUNTS = (10, 50, 100, 200)
TYPICAL_ACCOUNT_COUNT = 100
PUBLICATION_COUNTS = (20, 60, 180)
CHANGES_PER_DAY = 910
REPETITION_COUNT = 3
MAX_READ_ENTRIES = 1000
IN_FORCE_TARGET_S = 11.0


def make_document(accounts: int, number: int = 0) -> str:
    """Return a document of the size expected in two years, with ``accounts`` client accounts."""
    targets = {"quality": 0.8, "first_token_ms": 1300, "between_tokens_ms": 42, "whole_s": 60}
    price = {"input_per_mtok": 0.2 + number / 1000, "output_per_mtok": 0.8}
    document = {
        "classes": {
            f"class-{i}": {"importance": 5, "targets": targets} for i in range(CLASS_COUNT)
        },
        "models": {
            f"model-{i}": {"versions": {"1": {"stage": "offered", "price": price}}}
            for i in range(VERSION_COUNT)
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
    return yaml.safe_dump(document)


def fill_log(publications: int, accounts: int) -> MemoryLog:
    """Return a log of publications, each based on the previous one."""
    log = MemoryLog()
    for number in range(publications):
        text = make_document(accounts, number)
        record = Publication(f"id-{number}", number - 1, "ada", 0.0, text)
        log.append(CONFIG_STREAM, encode_record(record))
    return log


def fold_all(log: MemoryLog) -> tuple[Configuration, float]:
    """Fold the whole stream; return the final state and the processor time in seconds."""
    entries = log.read(CONFIG_STREAM, 0, MAX_READ_ENTRIES).entries  # type: ignore[union-attr]
    state, started_at = Configuration(), time.process_time()
    for entry in entries:
        state, _ = fold_entry(state, entry)
    return state, time.process_time() - started_at


def measure_accounts() -> tuple[list[tuple[float, float]], list[tuple[float, float]]]:
    """Return the fold time in milliseconds and the record size in bytes by number of accounts."""
    fold_times_ms, record_bytes = [], []
    for accounts in ACCOUNT_COUNTS:
        log = fill_log(1, accounts)
        fastest_s = min(fold_all(log)[1] for _ in range(REPETITION_COUNT))
        record = log.read(CONFIG_STREAM, 0, 1).entries[0]  # type: ignore[union-attr]
        fold_times_ms.append((float(accounts), fastest_s * 1000))
        record_bytes.append((float(accounts), float(len(record.data))))
    return fold_times_ms, record_bytes


def measure_memory() -> float:
    """Return the memory of a configuration in force, in megabytes."""
    log = fill_log(1, TYPICAL_ACCOUNT_COUNT)
    fold_all(log)
    tracemalloc.start()
    state, _ = fold_all(log)
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert state.offset == 0
    return allocated_bytes / 1_000_000


def main() -> int:
    """Run the bench; return the exit code."""
    fold_times_ms, record_bytes = measure_accounts()
    start_times_s = []
    for publications in PUBLICATION_COUNTS:
        _, seconds = fold_all(fill_log(publications, TYPICAL_ACCOUNT_COUNT))
        start_times_s.append((float(publications), seconds))
    day_s = start_times_s[-1][1] / start_times_s[-1][0] * CHANGES_PER_DAY
    one_fold_ms = dict(fold_times_ms)[float(TYPICAL_ACCOUNT_COUNT)]
    figures = [
        Figure(
            "fold_of_one_publication",
            round(one_fold_ms, 2),
            "ms",
            target=f"under {IN_FORCE_TARGET_S:g} s, the whole time to be in force",
            holds=one_fold_ms / 1000 < IN_FORCE_TARGET_S,
        ),
        Figure("start_from_a_days_publications", round(day_s, 2), "s"),
        Figure("memory_of_a_configuration", round(measure_memory(), 2), "MB"),
    ]
    slopes = [
        Slope("fold_by_accounts", "client accounts", "ms", tuple(fold_times_ms), COMMAND),
        Slope("record_by_accounts", "client accounts", "bytes", tuple(record_bytes), COMMAND),
        Slope("start_by_publications", "publications", "s", tuple(start_times_s), COMMAND),
    ]
    return report("config", figures, slopes)


if __name__ == "__main__":
    sys.exit(main())
