"""Estimates of each version in each class, from the counters of all hosts."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from poplarrun.contracts import Document
from poplarrun.hosts import CollectedSummaries
from poplarrun.versions._cells import UNKNOWN_ESTIMATE, CellTests, Estimate, QualityTargets
from poplarrun.versions._evidence import (
    GRID,
    AgedEvidence,
    AnswerObservation,
    CellKey,
    Evidence,
    EvidenceSummary,
    decode_summary,
    encode_summary,
    hash_host,
)

RATINGS_HALF_LIFE_S = 3600.0
ANSWERS_HALF_LIFE_S = 180.0
# Half-life of pending ratings: a rating that is later than this is unlikely to arrive at all.
PENDING_HALF_LIFE_S = 600.0
# Evidence decays so slowly that the decay need not be applied more often.
AGING_INTERVAL_S = 15.0
# When more sources than this are silent, their last summaries are deleted.
MAX_SILENT_SOURCES = 100
NO_EVIDENCE = Evidence()

_aged_encoder = msgspec.msgpack.Encoder()
_aged_decoder = msgspec.msgpack.Decoder(dict[int, AgedEvidence])


@dataclass
class _Source:
    """A host of the own zone, or another zone, that sends counters."""

    summary: EvidenceSummary = field(default_factory=lambda: EvidenceSummary(0, -1, {}))


class Estimates:
    """The estimates of one host.

    Parameters
    ----------
    host : str
        This host's name.
    incarnation : int
        As in its ``Peer``.
    source : random.Random
        Random source for rounding ratings.
    ratings_bias : float
        By how much the ratings may be too high.

    Attributes
    ----------
    revision : int
        Increases whenever ``find`` may return another result.
    """

    def __init__(
        self, host: str, incarnation: int, source: random.Random, ratings_bias: float = 0.0
    ) -> None:
        self._host = host
        self._members_hash = hash_host(host, incarnation)
        self._random = source
        self._ratings_bias = ratings_bias
        self._local: dict[int, Evidence] = {}
        self._sources: dict[str, _Source] = {}
        self._cells: dict[int, CellTests] = {}
        self._targets: dict[int, QualityTargets] = {}
        self._estimates: dict[int, Estimate] = {}
        self._changed: set[int] = set()
        self.revision = 0
        self._hashes: dict[CellKey, int] = {}
        self._aged_at: float | None = None

    def apply_document(self, document: Document) -> None:
        """Apply the classes, versions and targets; a changed target restarts its tests."""
        targets = {name: item.targets.quality for name, item in document.classes.items()}
        lowest = min(targets.values(), default=0.0)
        keys = [CellKey(c, v) for c in targets for v in document.versions]
        self._hashes = {key: key.hash for key in keys}
        self._hashes |= {key.as_second_step: key.as_second_step.hash for key in keys}
        self._targets = {
            self._hashes[cell]: QualityTargets(
                targets[key.class_name],
                lowest,
                self.compute_required_rating(targets[key.class_name]),
            )
            for key in keys
            for cell in (key, key.as_second_step)
        }
        self._cells = {
            cell_hash: cell
            for cell_hash, cell in self._cells.items()
            if self._targets.get(cell_hash) == cell.targets
        }
        self._estimates = {
            cell_hash: cell.compute_estimate() for cell_hash, cell in self._cells.items()
        }
        self.revision += 1

    def record_answer(self, key: CellKey, observation: AnswerObservation) -> None:
        """Count an answer that this host gave."""
        delta = Evidence()
        delta.add_answer(observation)
        self._add_local(key, delta)

    def record_sampled(self, key: CellKey) -> None:
        """Count an answer that is sent to the rating service."""
        self._add_local(key, Evidence(sampled=1))

    def record_rating(self, key: CellKey, quality: float, score: float | None = None) -> None:
        """Count a rating of an answer that this host gave."""
        delta = Evidence()
        delta.add_rating(quality, self._random, score)
        self._add_local(key, delta)

    def compute_required_rating(self, target: float) -> float:
        """Return the mean rating that a quality target requires: the target plus the bias."""
        return min(1.0, max(0.0, target + self._ratings_bias))

    def find(self, key: CellKey) -> Estimate:
        """Return the estimate of a version in a class."""
        cell_hash = self._hashes.get(key)
        if cell_hash is None:
            return UNKNOWN_ESTIMATE
        return self._estimates.get(cell_hash, UNKNOWN_ESTIMATE)

    def refresh(self) -> None:
        """Recompute the estimates with new evidence, for ``find`` to return.

        This is done once a second and not for each answer, so that a decision only looks up
        estimates.
        """
        for cell_hash in self._changed & self._cells.keys():
            self._estimates[cell_hash] = self._cells[cell_hash].compute_estimate()
        self._changed.clear()
        self.revision += 1

    def forget(self, key: CellKey) -> None:
        """Restart the tests of a version, as when it is offered again after a withdrawal."""
        cell_hash = key.hash
        self._cells.pop(cell_hash, None)
        self._estimates.pop(cell_hash, None)
        self.revision += 1

    def encode_local(self) -> bytes:
        """Return this host's encoded counters, for ``EVIDENCE_TOPIC``."""
        return encode_summary(self._members_hash, self._local)

    def encode_aged_evidence(self) -> bytes:
        """Return the encoded decayed evidence of all cells, for a host that starts."""
        return _aged_encoder.encode(
            {cell_hash: cell.evidence for cell_hash, cell in self._cells.items()}
        )

    def apply_aged_evidence(self, data: bytes) -> None:
        """Replace this host's decayed evidence by another host's where that has more.

        Counters cover only the time since a host's start. Without this step a replaced host
        would explore each class from the beginning, at its callers' cost.
        """
        for cell_hash, received in _aged_decoder.decode(data).items():
            targets = self._targets.get(cell_hash)
            if targets is None or len(received.ratings) != len(GRID):
                continue
            cell = self._cells.setdefault(cell_hash, CellTests(targets))
            if received.rated + received.requests > cell.evidence.rated + cell.evidence.requests:
                cell.evidence = received
                self._changed.add(cell_hash)

    def apply_summaries(self, summaries: CollectedSummaries) -> None:
        """Add what other hosts and zones counted since their previous summaries."""
        sources = {f"host {name}": data for name, data in summaries.own_zone.items()}
        sources.pop(f"host {self._host}", None)
        sources |= {f"zone {name}": data for name, data in summaries.other_zones.items()}
        for name, data in sources.items():
            summary = decode_summary(data)
            if summary is not None:
                self._apply_summary(self._sources.setdefault(name, _Source()), summary)
        if len(self._sources) > MAX_SILENT_SOURCES + len(sources):
            self._sources = {n: s for n, s in self._sources.items() if n in sources}

    def age(self, now: float) -> None:
        """Apply the decay of the evidence since the last call."""
        if self._aged_at is None:
            self._aged_at = now
        elapsed_s = now - self._aged_at
        if elapsed_s < AGING_INTERVAL_S:
            return
        self._aged_at = now
        answers_factor = 0.5 ** (elapsed_s / ANSWERS_HALF_LIFE_S)
        awaited_factor = 0.5 ** (elapsed_s / PENDING_HALF_LIFE_S)
        ratings_factor = 0.5 ** (elapsed_s / RATINGS_HALF_LIFE_S)
        for cell in self._cells.values():
            cell.evidence.decay(answers_factor, awaited_factor, ratings_factor)
        self._changed |= self._cells.keys()

    def _apply_summary(self, source: _Source, summary: EvidenceSummary) -> None:
        """Add the difference to the previous summary of the same hosts.

        When a host of another zone joins or leaves, the zone's sum jumps by everything that the
        host ever counted. Adding this difference would repeat or undo old evidence, so the first
        summary of a changed set of hosts only sets the baseline.
        """
        if summary.members_hash == source.summary.members_hash:
            for cell_hash, evidence in summary.cells.items():
                before = source.summary.cells.get(cell_hash, NO_EVIDENCE)
                if evidence != before:
                    self._add(cell_hash, evidence.minus(before))
        source.summary = summary

    def _add_local(self, key: CellKey, delta: Evidence) -> None:
        cell_hash = self._hashes.get(key)
        if cell_hash is None:
            return
        total = self._local.get(cell_hash)
        self._local[cell_hash] = delta if total is None else total.plus(delta)
        self._add(cell_hash, delta)

    def _add(self, cell_hash: int, delta: Evidence) -> None:
        if cell_hash not in self._targets or not _has_grown(delta):
            return
        cell = self._cells.get(cell_hash)
        if cell is None:
            cell = self._cells[cell_hash] = CellTests(self._targets[cell_hash])
        cell.add(delta)
        self._changed.add(cell_hash)


def _has_grown(delta: Evidence) -> bool:
    counts: Sequence[int] = (delta.requests, delta.sampled, *delta.ratings, *delta.judged)
    return min(counts) >= 0 and any(counts)
