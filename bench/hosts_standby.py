"""Compares cold, warm and hot standby for the state of a control job.

The state is a fold of evidence records in a stream: one running mean per cell (a version
in a class). The lease holder dies at a random time. A cold successor folds the snapshot
and the tail of the log. A warm one has a periodic copy, and decides from it at once
while it reads the rest. A hot one tails the stream continuously.
"""

import random
import statistics
import time
from dataclasses import dataclass, field

import msgspec

from bench.figures import Figure
from poplarrun.log import Entry, MemoryLog, Page

STREAM = "evidence"
CELL_COUNT = 260
RECORDS_PER_S = 20
RUN_DURATION_S = 600.0
SNAPSHOT_INTERVAL_S = 300.0
READ_DELAY_S = 0.02
MAX_READ_ENTRIES = 500
WARM_COPY_INTERVAL_S = 10.0
HOT_READ_INTERVAL_S = 0.25
# Drift of a mean per second (standard deviation), because of which an old copy is wrong.
DRIFT_PER_S = 0.002
MEAN_WEIGHT = 0.1
RUN_COUNT = 20


class Evidence(msgspec.Struct, array_like=True):
    """One record: an observed value of one cell."""

    cell: int
    value: float


@dataclass
class State:
    """The fold: an exponentially weighted mean of each cell."""

    last_offset: int = -1
    means: dict[int, float] = field(default_factory=dict)

    def fold(self, entry: Entry) -> None:
        """Fold one record into the means."""
        record = msgspec.msgpack.decode(entry.data, type=Evidence)
        old_mean = self.means.get(record.cell, record.value)
        self.means[record.cell] = old_mean + MEAN_WEIGHT * (record.value - old_mean)
        self.last_offset = entry.offset

    def copy(self) -> "State":
        """Return an independent copy."""
        return State(self.last_offset, dict(self.means))


@dataclass(frozen=True)
class Takeover:
    """Cost and result of one kind of standby in one run.

    Attributes
    ----------
    ready_s : float
        Time from the takeover to the first decision.
    error : float
        Mean absolute error of the means at the first decision.
    bytes_per_s, core_percent : float
        Cost of keeping the standby up to date.
    """

    ready_s: float
    error: float
    bytes_per_s: float
    core_percent: float


def read_all(log: MemoryLog, state: State) -> tuple[float, int]:
    """Fold to the end of the stream; return the simulated read time and the bytes read."""
    took_s, byte_count = 0.0, 0
    while True:
        page = log.read(STREAM, state.last_offset + 1, MAX_READ_ENTRIES)
        assert isinstance(page, Page)
        took_s += READ_DELAY_S
        for entry in page.entries:
            state.fold(entry)
            byte_count += len(entry.data)
        if len(page.entries) < MAX_READ_ENTRIES:
            return took_s, byte_count


def run_once(kind: str, seed: int) -> Takeover:
    """Run one job until its holder dies, and take it over."""
    rng = random.Random(seed)
    log, holder = MemoryLog(), State()
    true_means = [rng.random() for _ in range(CELL_COUNT)]
    standby, snapshot = State(), State()
    byte_count, cpu_s = 0, 0.0
    next_copy_s, next_snapshot_s = 0.0, SNAPSHOT_INTERVAL_S
    interval_s = {
        "cold": RUN_DURATION_S * 2,
        "warm": WARM_COPY_INTERVAL_S,
        "hot": HOT_READ_INTERVAL_S,
    }[kind]
    death_s = RUN_DURATION_S - rng.random() * SNAPSHOT_INTERVAL_S
    for step in range(int(death_s * RECORDS_PER_S)):
        now = step / RECORDS_PER_S
        cell = rng.randrange(CELL_COUNT)
        true_means[cell] += rng.gauss(0, DRIFT_PER_S * CELL_COUNT / RECORDS_PER_S)
        data = msgspec.msgpack.encode(Evidence(cell, true_means[cell]))
        log.append(STREAM, data)
        holder.fold(Entry(step, data))
        if now >= next_snapshot_s:
            next_snapshot_s, snapshot = now + SNAPSHOT_INTERVAL_S, holder.copy()
        if kind != "cold" and now >= next_copy_s:
            next_copy_s = now + interval_s
            cpu_started_at = time.process_time()
            if kind == "hot":
                byte_count += read_all(log, standby)[1]
            else:
                # The copy is sent as a summary between peers, not through the log.
                encoded = msgspec.msgpack.encode(holder.means)
                standby = State(
                    holder.last_offset, msgspec.msgpack.decode(encoded, type=dict[int, float])
                )
                byte_count += len(encoded)
            cpu_s += time.process_time() - cpu_started_at
    return _take_over(
        kind, log, holder, snapshot if kind == "cold" else standby, byte_count, cpu_s, death_s
    )


def _take_over(
    kind: str,
    log: MemoryLog,
    holder: State,
    start: State,
    byte_count: int,
    cpu_s: float,
    run_s: float,
) -> Takeover:
    state = start.copy()
    error = _measure_error(state, holder)
    took_s, _ = read_all(log, state)
    assert _measure_error(state, holder) == 0.0
    # Warm and hot standbys decide at once from their copies; a cold one has to read first.
    ready_s = took_s if kind == "cold" else 0.0
    first_error = 0.0 if kind == "cold" else error
    return Takeover(ready_s, first_error, byte_count / run_s, cpu_s / run_s * 100)


def _measure_error(state: State, holder: State) -> float:
    pairs = [(state.means.get(cell, 0.5), mean) for cell, mean in holder.means.items()]
    return statistics.mean(abs(a - b) for a, b in pairs)


def measure_standby() -> list[Figure]:
    """Return the takeover time, error of first decisions, bytes and CPU of each kind."""
    figures = []
    for kind in ("cold", "warm", "hot"):
        runs = [run_once(kind, seed) for seed in range(RUN_COUNT)]
        for name, unit, values in (
            ("takeover_s", "s", [run.ready_s for run in runs]),
            ("first_error", "of a mean in 0..1", [run.error for run in runs]),
            ("bytes_per_s", "B/s", [run.bytes_per_s for run in runs]),
            ("core_percent", "% of a core", [run.core_percent for run in runs]),
        ):
            spread = (max(values) - min(values)) / 2
            figures.append(Figure(f"standby_{kind}_{name}", statistics.mean(values), unit, spread))
    return figures
