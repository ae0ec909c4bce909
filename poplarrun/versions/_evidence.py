"""Counters of the answers and ratings of each version in each class, which hosts add up."""

import hashlib
import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from poplarrun.contracts import VersionId
from poplarrun.hosts import SummaryTopic

# Ratings are stored as counts on a grid of equal steps from 0 to 1.
GRID_STEPS = 16
GRID = tuple(step / GRID_STEPS for step in range(GRID_STEPS + 1))
# Judge scores are stored in bins of equal width.
JUDGE_BINS = 8
BIN_FIELDS = 4
MILLI = 1000
SUMMARY_SCHEMA = 1
SECOND_STEP_SUFFIX = "/second"
MEMBERS_MODULUS = 1 << 64


@dataclass(frozen=True, slots=True, order=True)
class CellKey:
    """A cell of the table of classes and versions: one version in one class."""

    class_name: str
    version: VersionId

    @property
    def as_second_step(self) -> "CellKey":
        """The same version as a cascade's second step, after the first answer is rejected."""
        return CellKey(self.class_name + SECOND_STEP_SUFFIX, self.version)

    @property
    def hash(self) -> int:
        """The key on the wire: a hash of 4 bytes instead of two names."""
        text = f"{self.class_name}\0{self.version}".encode()
        return int.from_bytes(hashlib.blake2b(text, digest_size=4).digest(), "big")


@dataclass(frozen=True, slots=True)
class AnswerObservation:
    """What a host observed of one answer.

    Attributes
    ----------
    failed : bool
        Whether the engine failed or returned an empty answer.
    late : bool
        Whether it missed a latency target of its class.
    output_tokens : int
        Its length.
    duration_s : float
        Time to the end of the answer, in seconds.
    judge_score : float, optional
        The judge's score.
    """

    failed: bool
    late: bool
    output_tokens: int
    duration_s: float = 0.0
    judge_score: float | None = None


@dataclass(frozen=True, slots=True)
class JudgedBin:
    """Answers whose judge score fell into one bin.

    Attributes
    ----------
    answers, rated_answers : float
        Number of answers, and of those that were rated.
    quality_sum, square_sum : float
        Sums of their ratings and of the squares of their ratings.
    """

    answers: float
    rated_answers: float
    quality_sum: float
    square_sum: float


def decode_bins(judged: Sequence[float]) -> list[JudgedBin]:
    """Return the bins of ``Evidence.judged``."""
    bins = [judged[i : i + BIN_FIELDS] for i in range(0, len(judged), BIN_FIELDS)]
    return [JudgedBin(a, r, q / MILLI, s / MILLI) for a, r, q, s in bins]


class Evidence(msgspec.Struct, array_like=True):
    """Counters of one version in one class, which never decrease.

    Attributes
    ----------
    requests, failures, late, output_tokens : int
        Number of answers, of failed ones, of late ones, and of their tokens.
    sampled : int
        Answers that were sent to the rating service.
    whole_ms : int
        Sum of the answers' durations, in milliseconds.
    ratings : list of int
        Number of ratings at each point of ``GRID``.
    judged : list of int
        For each bin of judge scores: answers, rated answers, and the sums of the ratings and
        of their squares in thousandths. Empty without a judge.
    """

    requests: int = 0
    failures: int = 0
    late: int = 0
    output_tokens: int = 0
    sampled: int = 0
    whole_ms: int = 0
    ratings: list[int] = msgspec.field(default_factory=lambda: [0] * len(GRID))
    judged: list[int] = msgspec.field(default_factory=list)

    def add_answer(self, observation: AnswerObservation) -> None:
        """Count one answer."""
        self.requests += 1
        self.failures += observation.failed
        self.late += observation.late
        self.output_tokens += observation.output_tokens
        self.whole_ms += int(observation.duration_s * MILLI)
        if observation.judge_score is not None:
            self._add_judged(observation.judge_score, [1, 0, 0, 0])

    def add_rating(self, quality: float, source: random.Random, score: float | None = None) -> None:
        """Count one rating, rounded at random to a neighbouring grid point.

        Random rounding leaves the expected mean unchanged, so that tests of the mean stay
        valid. Rounding to the nearest point would shift the mean by up to 1/32.
        """
        scaled = min(1.0, max(0.0, quality)) * GRID_STEPS
        below = min(GRID_STEPS - 1, math.floor(scaled))
        self.ratings[below + (source.random() < scaled - below)] += 1
        if score is not None:
            sums = [round(quality * MILLI), round(quality * quality * MILLI)]
            self._add_judged(score, [0, 1, *sums])

    def plus(self, other: "Evidence") -> "Evidence":
        """Return the sum of both counters."""
        return self._combine(other, 1)

    def minus(self, other: "Evidence") -> "Evidence":
        """Return the difference from an earlier state."""
        return self._combine(other, -1)

    def _add_judged(self, score: float, counts: list[int]) -> None:
        if not self.judged:
            self.judged = [0] * (JUDGE_BINS * BIN_FIELDS)
        start = min(JUDGE_BINS - 1, max(0, int(score * JUDGE_BINS))) * BIN_FIELDS
        for offset, count in enumerate(counts):
            self.judged[start + offset] += count

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


def _combine_judged(left: list[int], right: list[int], sign: int) -> list[int]:
    if not right:
        return left
    base = left or [0] * len(right)
    return [a + sign * b for a, b in zip(base, right, strict=True)]


class EvidenceSummary(msgspec.Struct, array_like=True):
    """The counters of a host, or the sum over the hosts of a zone.

    Attributes
    ----------
    schema : int
        Version of the encoding.
    members_hash : int
        Sum of the hashes of the hosts; it changes when a host joins, leaves or restarts.
    cells : dict of int to Evidence
        By ``CellKey.hash``.
    """

    schema: int
    members_hash: int
    cells: dict[int, Evidence]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(EvidenceSummary)


def hash_host(host: str, incarnation: int) -> int:
    """Return a host's term in ``EvidenceSummary.members_hash``."""
    digest = hashlib.blake2b(f"{host}\0{incarnation}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def encode_summary(members_hash: int, cells: Mapping[int, Evidence]) -> bytes:
    """Return the encoded summary."""
    return _encoder.encode(EvidenceSummary(SUMMARY_SCHEMA, members_hash, dict(cells)))


def decode_summary(data: bytes) -> EvidenceSummary | None:
    """Decode a summary; None when it is malformed or of another schema."""
    try:
        summary = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    if summary.schema != SUMMARY_SCHEMA:
        return None
    return summary


def merge_summaries(payloads: Sequence[bytes]) -> bytes:
    """Add up summaries. The result doesn't depend on their order."""
    members_hash = 0
    cells: dict[int, Evidence] = {}
    for summary in filter(None, map(decode_summary, payloads)):
        members_hash = (members_hash + summary.members_hash) % MEMBERS_MODULUS
        for cell_hash, evidence in summary.cells.items():
            total = cells.get(cell_hash)
            cells[cell_hash] = evidence if total is None else total.plus(evidence)
    return encode_summary(members_hash, cells)


EVIDENCE_TOPIC = SummaryTopic("evidence", merge_summaries)


@dataclass
class AgedEvidence:
    """Counters that decay exponentially, so that recent answers weigh more.

    Attributes
    ----------
    requests, failures, late, output_tokens : float
        As in ``Evidence``, halved with every half-life.
    awaited : float
        Answers sent to the rating service whose rating has not arrived, halved likewise.
    whole_ms : float
        As in ``Evidence``, halved likewise.
    ratings, judged : list of float
        As in ``Evidence``, halved likewise.
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
        """Add new counts."""
        self.requests += delta.requests
        self.failures += delta.failures
        self.late += delta.late
        self.output_tokens += delta.output_tokens
        self.awaited = max(0.0, self.awaited + delta.sampled - sum(delta.ratings))
        self.whole_ms += delta.whole_ms
        if delta.judged:
            base = self.judged or [0.0] * len(delta.judged)
            self.judged = [a + b for a, b in zip(base, delta.judged, strict=True)]
        for index, count in enumerate(delta.ratings):
            if count:
                self.ratings[index] += count

    def decay(self, answers_factor: float, awaited_factor: float, ratings_factor: float) -> None:
        """Multiply the counters by their decay factors."""
        self.requests *= answers_factor
        self.failures *= answers_factor
        self.late *= answers_factor
        self.output_tokens *= answers_factor
        self.awaited *= awaited_factor
        self.whole_ms *= answers_factor
        # The fraction of answers that a cutoff accepts must be recent, like their durations, so
        # the counts of answers in the bins decay with the answers.
        self.judged = [
            count * (ratings_factor if index % BIN_FIELDS else answers_factor)
            for index, count in enumerate(self.judged)
        ]
        self.ratings = [count * ratings_factor for count in self.ratings]

    @property
    def rated(self) -> float:
        """Sum of the weights of the ratings."""
        return sum(self.ratings)

    @property
    def mean_quality(self) -> float | None:
        """Mean rating; None without ratings."""
        rated = self.rated
        if rated <= 0.0:
            return None
        return sum(c * q for c, q in zip(self.ratings, GRID, strict=True)) / rated
