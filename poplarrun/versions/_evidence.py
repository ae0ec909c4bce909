"""What was seen of each version in each class: counters that hosts add up."""

import hashlib
import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from poplarrun.contracts import VersionId
from poplarrun.hosts import SummaryTopic

# Ratings are kept as counts on this grid from 0 to 1.
GRID_STEPS = 16
GRID = tuple(step / GRID_STEPS for step in range(GRID_STEPS + 1))
# Scores of a judge are kept in bins of equal width.
JUDGE_BINS = 8
BIN_FIELDS = 4
MILLI = 1000
SCHEMA = 1
SECOND_STEP = "/second"
MEMBERS_MODULUS = 1 << 64


@dataclass(frozen=True, slots=True, order=True)
class CellKey:
    """A version in a class."""

    class_name: str
    version: VersionId

    @property
    def as_second_step(self) -> "CellKey":
        """The same version where it answers what a cascade's first step could not."""
        return CellKey(self.class_name + SECOND_STEP, self.version)

    @property
    def hash(self) -> int:
        """The key on the wire: 4 bytes instead of two names."""
        text = f"{self.class_name}\0{self.version}".encode()
        return int.from_bytes(hashlib.blake2b(text, digest_size=4).digest(), "big")


@dataclass(frozen=True, slots=True)
class AnswerObservation:
    """What a host saw of one answer.

    Attributes
    ----------
    failed : bool
        It broke at the engine or came empty.
    late : bool
        It missed a latency target of its class.
    output_tokens : int
        Its length.
    whole_s : float
        Time that it took, in seconds.
    score : float, optional
        What a judge gave it.
    """

    failed: bool
    late: bool
    output_tokens: int
    duration_s: float = 0.0
    judge_score: float | None = None


@dataclass(frozen=True, slots=True)
class JudgedBin:
    """Answers whose score fell into one bin.

    Attributes
    ----------
    answers, rated : float
        How many there were, and how many of them were rated.
    quality, squares : float
        Sums of their ratings and of the squares of these.
    """

    answers: float
    rated: float
    quality: float
    squares: float


def read_bins(judged: Sequence[float]) -> list[JudgedBin]:
    """Return the bins of ``Evidence.judged``."""
    bins = [judged[i : i + BIN_FIELDS] for i in range(0, len(judged), BIN_FIELDS)]
    return [JudgedBin(a, r, q / MILLI, s / MILLI) for a, r, q, s in bins]


class Evidence(msgspec.Struct, array_like=True):
    """Counters of one version in one class; they only grow.

    Attributes
    ----------
    requests, failures, late, output_tokens : int
        Answers, those that failed, those that were late, their tokens.
    sampled : int
        Answers that were handed to the rating service.
    whole_ms : int
        Sum of the answers' times, in milliseconds.
    ratings : list of int
        How many ratings fell on each point of ``GRID``.
    judged : list of int
        For each bin of a judge's scores: answers, rated answers, and the sums of
        the ratings and of their squares in thousandths. Empty without a judge.
    """

    requests: int = 0
    failures: int = 0
    late: int = 0
    output_tokens: int = 0
    sampled: int = 0
    whole_ms: int = 0
    ratings: list[int] = msgspec.field(default_factory=lambda: [0] * len(GRID))
    judged: list[int] = msgspec.field(default_factory=list)

    def add_answer(self, seen: AnswerObservation) -> None:
        """Count one answer."""
        self.requests += 1
        self.failures += seen.failed
        self.late += seen.late
        self.output_tokens += seen.output_tokens
        self.whole_ms += int(seen.duration_s * MILLI)
        if seen.judge_score is not None:
            self._add_judged(seen.judge_score, [1, 0, 0, 0])

    def add_rating(self, quality: float, source: random.Random, score: float | None = None) -> None:
        """Count one rating, rounded at random to a neighbouring grid point.

        The random rounding keeps the mean exact, so that tests of the mean
        stay valid; rounding to the nearest point would shift it by up to 1/32.
        """
        scaled = min(1.0, max(0.0, quality)) * GRID_STEPS
        below = min(GRID_STEPS - 1, math.floor(scaled))
        self.ratings[below + (source.random() < scaled - below)] += 1
        if score is not None:
            sums = [round(quality * MILLI), round(quality * quality * MILLI)]
            self._add_judged(score, [0, 1, *sums])

    def plus(self, other: "Evidence") -> "Evidence":
        """Return the sum with another one."""
        return self._combine(other, 1)

    def minus(self, other: "Evidence") -> "Evidence":
        """Return what came since an earlier state."""
        return self._combine(other, -1)

    def _add_judged(self, score: float, counts: list[int]) -> None:
        if not self.judged:
            self.judged = [0] * (JUDGE_BINS * BIN_FIELDS)
        place = min(JUDGE_BINS - 1, max(0, int(score * JUDGE_BINS))) * BIN_FIELDS
        for offset, count in enumerate(counts):
            self.judged[place + offset] += count

    def _combine(self, other: "Evidence", sign: int) -> "Evidence":
        ratings = [a + sign * b for a, b in zip(self.ratings, other.ratings, strict=True)]
        return Evidence(
            self.requests + sign * other.requests,
            self.failures + sign * other.failures,
            self.late + sign * other.late,
            self.output_tokens + sign * other.output_tokens,
            self.sampled + sign * other.sampled,
            self.whole_ms + sign * other.whole_ms,
            ratings,
            _combine_judged(self.judged, other.judged, sign),
        )


def _combine_judged(some: list[int], others: list[int], sign: int) -> list[int]:
    if not others:
        return some
    known = some or [0] * len(others)
    return [a + sign * b for a, b in zip(known, others, strict=True)]


class EvidenceSummary(msgspec.Struct, array_like=True):
    """The counters of a host, or the sum over the hosts of a zone.

    Attributes
    ----------
    schema : int
        Version of this form.
    members : int
        Sum of the members' hashes: it changes when a host comes, goes or restarts.
    cells : dict of int to Evidence
        By ``CellKey.number``.
    """

    schema: int
    members: int
    cells: dict[int, Evidence]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(EvidenceSummary)


def hash_member(host: str, incarnation: int) -> int:
    """Return a host's part in ``EvidenceSummary.members``."""
    digest = hashlib.blake2b(f"{host}\0{incarnation}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def encode_summary(members: int, cells: Mapping[int, Evidence]) -> bytes:
    """Return the bytes of a summary."""
    return _encoder.encode(EvidenceSummary(SCHEMA, members, dict(cells)))


def decode_summary(data: bytes) -> EvidenceSummary | None:
    """Read the bytes of a summary; None when this program can't."""
    try:
        summary = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    if summary.schema != SCHEMA:
        return None
    return summary


def merge_summaries(payloads: Sequence[bytes]) -> bytes:
    """Add up summaries; the order makes no difference."""
    members = 0
    cells: dict[int, Evidence] = {}
    for summary in filter(None, map(decode_summary, payloads)):
        members = (members + summary.members) % MEMBERS_MODULUS
        for number, evidence in summary.cells.items():
            known = cells.get(number)
            cells[number] = evidence if known is None else known.plus(evidence)
    return encode_summary(members, cells)


EVIDENCE_TOPIC = SummaryTopic("evidence", merge_summaries)


@dataclass
class AgedEvidence:
    """Evidence in which the old counts less.

    Attributes
    ----------
    requests, failures, late, output_tokens : float
        As in ``Evidence``, each halved with every half-life.
    awaited : float
        Answers handed in of which no rating came yet, halved likewise.
    whole_ms : float
        As in ``Evidence``, halved likewise.
    ratings, judged : list of float
        Likewise.
    """

    requests: float = 0.0
    failures: float = 0.0
    late: float = 0.0
    output_tokens: float = 0.0
    awaited: float = 0.0
    whole_ms: float = 0.0
    judged: list[float] = field(default_factory=list)
    ratings: list[float] = field(default_factory=lambda: [0.0] * len(GRID))

    def add(self, delta: Evidence) -> None:
        """Add what came."""
        self.requests += delta.requests
        self.failures += delta.failures
        self.late += delta.late
        self.output_tokens += delta.output_tokens
        self.awaited = max(0.0, self.awaited + delta.sampled - sum(delta.ratings))
        self.whole_ms += delta.whole_ms
        if delta.judged:
            known = self.judged or [0.0] * len(delta.judged)
            self.judged = [a + b for a, b in zip(known, delta.judged, strict=True)]
        for index, count in enumerate(delta.ratings):
            if count:
                self.ratings[index] += count

    def decay(self, answers_factor: float, awaited_factor: float, ratings_factor: float) -> None:
        """Weigh all that is there less."""
        self.requests *= answers_factor
        self.failures *= answers_factor
        self.late *= answers_factor
        self.output_tokens *= answers_factor
        self.awaited *= awaited_factor
        self.whole_ms *= answers_factor
        # How many answers a cut accepts must be known of the present, like their time.
        self.judged = [
            count * (ratings_factor if place % BIN_FIELDS else answers_factor)
            for place, count in enumerate(self.judged)
        ]
        self.ratings = [count * ratings_factor for count in self.ratings]

    @property
    def rated(self) -> float:
        """Weight of the ratings."""
        return sum(self.ratings)

    @property
    def mean_quality(self) -> float | None:
        """Mean rating; None without any."""
        rated = self.rated
        if rated <= 0.0:
            return None
        return sum(c * q for c, q in zip(self.ratings, GRID, strict=True)) / rated
