"""Cold, warm and hot standby for the state of a control job.

The state is a fold: one running mean for each of so many cells (a version in a
class), from evidence records in a stream. The holder dies at a random moment. A
cold successor folds the snapshot and the tail from the log. A warm one holds a
partial copy, brought up to date at a lower rate, and decides from it at once
while it reads the rest. A hot one tails the stream all the time.
"""

import random
import statistics
import time
from dataclasses import dataclass, field

import msgspec

from bench.figures import Figure
from poplarrun.log import Entry, MemoryLog, Page

STREAM = "evidence"
CELLS = 260
RECORDS_PER_S = 20
RUN_S = 600.0
SNAPSHOT_PERIOD_S = 300.0
READ_S = 0.02
READ_LIMIT = 500
WARM_PERIOD_S = 10.0
HOT_PERIOD_S = 0.25
# A mean drifts so much a second, so an old copy is wrong.
DRIFT_PER_S = 0.002
WEIGHT = 0.1
RUNS = 20


class Evidence(msgspec.Struct, array_like=True):
    """One record: what was seen of one cell."""

    cell: int
    value: float


@dataclass
class State:
    """The fold: an exponentially weighted mean of each cell."""

    read_to: int = -1
    means: dict[int, float] = field(default_factory=dict)

    def fold(self, entry: Entry) -> None:
        """Take one record in."""
        record = msgspec.msgpack.decode(entry.data, type=Evidence)
        known = self.means.get(record.cell, record.value)
        self.means[record.cell] = known + WEIGHT * (record.value - known)
        self.read_to = entry.offset

    def copy(self) -> "State":
        """Return a copy."""
        return State(self.read_to, dict(self.means))


@dataclass(frozen=True)
class Takeover:
    """What one kind of standby cost, and gave."""

    ready_s: float
    error: float
    bytes_per_s: float
    core_percent: float


def read_all(log: MemoryLog, state: State) -> tuple[float, int]:
    """Fold to the end; return the log's time and the bytes read."""
    took_s, size = 0.0, 0
    while True:
        page = log.read(STREAM, state.read_to + 1, READ_LIMIT)
        assert isinstance(page, Page)
        took_s += READ_S
        for entry in page.entries:
            state.fold(entry)
            size += len(entry.data)
        if len(page.entries) < READ_LIMIT:
            return took_s, size


def run_once(kind: str, seed: int) -> Takeover:
    """Run one job to the death of its holder, and take it over."""
    source = random.Random(seed)
    log, holder = MemoryLog(), State()
    truth = [source.random() for _ in range(CELLS)]
    standby, snapshot = State(), State()
    size, cpu_s = 0, 0.0
    next_copy_s, next_snapshot_s = 0.0, SNAPSHOT_PERIOD_S
    period_s = {"cold": RUN_S * 2, "warm": WARM_PERIOD_S, "hot": HOT_PERIOD_S}[kind]
    death_s = RUN_S - source.random() * SNAPSHOT_PERIOD_S
    for step in range(int(death_s * RECORDS_PER_S)):
        now = step / RECORDS_PER_S
        cell = source.randrange(CELLS)
        truth[cell] += source.gauss(0, DRIFT_PER_S * CELLS / RECORDS_PER_S)
        data = msgspec.msgpack.encode(Evidence(cell, truth[cell]))
        log.append(STREAM, data)
        holder.fold(Entry(step, data))
        if now >= next_snapshot_s:
            next_snapshot_s, snapshot = now + SNAPSHOT_PERIOD_S, holder.copy()
        if kind != "cold" and now >= next_copy_s:
            next_copy_s = now + period_s
            began = time.process_time()
            if kind == "hot":
                size += read_all(log, standby)[1]
            else:
                # The copy travels as a summary between peers, not over the log.
                copied = msgspec.msgpack.encode(holder.means)
                standby = State(
                    holder.read_to, msgspec.msgpack.decode(copied, type=dict[int, float])
                )
                size += len(copied)
            cpu_s += time.process_time() - began
    return _take_over(
        kind, log, holder, snapshot if kind == "cold" else standby, size, cpu_s, death_s
    )


def _take_over(
    kind: str, log: MemoryLog, holder: State, start: State, size: int, cpu_s: float, ran_s: float
) -> Takeover:
    state = start.copy()
    error = _error(state, holder)
    took_s, _ = read_all(log, state)
    assert _error(state, holder) == 0.0
    # Warm and hot decide at once from what they hold; cold has to read first.
    ready_s = took_s if kind == "cold" else 0.0
    shown = 0.0 if kind == "cold" else error
    return Takeover(ready_s, shown, size / ran_s, cpu_s / ran_s * 100)


def _error(state: State, holder: State) -> float:
    pairs = [(state.means.get(cell, 0.5), mean) for cell, mean in holder.means.items()]
    return statistics.mean(abs(a - b) for a, b in pairs)


def measure_standby() -> list[Figure]:
    """Return each kind's takeover time, error of the first decisions, bytes and CPU."""
    figures = []
    for kind in ("cold", "warm", "hot"):
        runs = [run_once(kind, seed) for seed in range(RUNS)]
        for name, unit, values in (
            ("takeover_s", "s", [run.ready_s for run in runs]),
            ("first_error", "of a mean in 0..1", [run.error for run in runs]),
            ("bytes_per_s", "B/s", [run.bytes_per_s for run in runs]),
            ("core_percent", "% of a core", [run.core_percent for run in runs]),
        ):
            spread = (max(values) - min(values)) / 2
            figures.append(Figure(f"standby_{kind}_{name}", statistics.mean(values), unit, spread))
    return figures
