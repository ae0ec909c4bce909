"""What is known of each version in each class, from all hosts' counters."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from poplarrun.contracts import Document
from poplarrun.hosts import CollectedSummaries
from poplarrun.versions._cells import NOTHING_KNOWN, Cell, Estimate, Thresholds
from poplarrun.versions._evidence import (
    GRID,
    AgedEvidence,
    AnswerObservation,
    CellKey,
    Evidence,
    EvidenceSummary,
    decode_summary,
    encode_summary,
    hash_member,
)

RATINGS_HALF_LIFE_S = 3600.0
ANSWERS_HALF_LIFE_S = 180.0
# A rating that has not come by then most likely never will.
AWAITED_HALF_LIFE_S = 600.0
# Evidence fades so slowly that it need not be weighed anew more often.
AGING_PERIOD_S = 15.0
# Hosts that are gone are forgotten when there are so many of them.
SILENT_SOURCES = 100
NO_EVIDENCE = Evidence()

_known_encoder = msgspec.msgpack.Encoder()
_known_decoder = msgspec.msgpack.Decoder(dict[int, AgedEvidence])


@dataclass
class _Source:
    """A host, or another zone, whose counters are heard."""

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
        Random source of the rounding of ratings.
    ratings_bias : float
        By how much ratings may be too high.

    Attributes
    ----------
    revision : int
        Grows when ``find`` may answer differently.
    """

    def __init__(
        self, host: str, incarnation: int, source: random.Random, ratings_bias: float = 0.0
    ) -> None:
        self._host = host
        self._members = hash_member(host, incarnation)
        self._random = source
        self._bias = ratings_bias
        self._own: dict[int, Evidence] = {}
        self._sources: dict[str, _Source] = {}
        self._cells: dict[int, Cell] = {}
        self._thresholds: dict[int, Thresholds] = {}
        self._known: dict[int, Estimate] = {}
        self._changed: set[int] = set()
        self.revision = 0
        self._numbers: dict[CellKey, int] = {}
        self._aged_at: float | None = None

    def apply_document(self, document: Document) -> None:
        """Take over classes, versions and targets; a changed target starts its tests anew."""
        targets = {name: item.targets.quality for name, item in document.classes.items()}
        lowest = min(targets.values(), default=0.0)
        keys = [CellKey(c, v) for c in targets for v in document.versions]
        self._numbers = {key: key.hash for key in keys}
        self._numbers |= {key.as_second_step: key.as_second_step.hash for key in keys}
        self._thresholds = {
            self._numbers[cell]: Thresholds(
                targets[key.class_name],
                lowest,
                self.compute_required_rating(targets[key.class_name]),
            )
            for key in keys
            for cell in (key, key.as_second_step)
        }
        self._cells = {
            number: cell
            for number, cell in self._cells.items()
            if self._thresholds.get(number) == cell.thresholds
        }
        self._known = {number: cell.estimate() for number, cell in self._cells.items()}
        self.revision += 1

    def record_answer(self, key: CellKey, seen: AnswerObservation) -> None:
        """Count an answer that this host gave."""
        delta = Evidence()
        delta.add_answer(seen)
        self._add_own(key, delta)

    def record_sampled(self, key: CellKey) -> None:
        """Count an answer that is handed to the rating service."""
        self._add_own(key, Evidence(sampled=1))

    def record_rating(self, key: CellKey, quality: float, score: float | None = None) -> None:
        """Count a rating of an answer that this host gave."""
        delta = Evidence()
        delta.add_rating(quality, self._random, score)
        self._add_own(key, delta)

    def compute_required_rating(self, target: float) -> float:
        """Return the mean rating that stands for a quality target."""
        return min(1.0, max(0.0, target + self._bias))

    def find(self, key: CellKey) -> Estimate:
        """Return what is known of a version in a class."""
        number = self._numbers.get(key)
        if number is None:
            return NOTHING_KNOWN
        return self._known.get(number, NOTHING_KNOWN)

    def refresh(self) -> None:
        """Work the estimates out anew where evidence came; ``find`` shows them from now on.

        Done once a second and not with each answer, so that a decision only
        looks up what is known.
        """
        for number in self._changed & self._cells.keys():
            self._known[number] = self._cells[number].estimate()
        self._changed.clear()
        self.revision += 1

    def forget(self, key: CellKey) -> None:
        """Begin a version's tests anew, as when it is offered again after a withdrawal."""
        number = key.hash
        self._cells.pop(number, None)
        self._known.pop(number, None)
        self.revision += 1

    def encode_local(self) -> bytes:
        """Return this host's summary, for ``EVIDENCE_TOPIC``."""
        return encode_summary(self._members, self._own)

    def encode_aged_evidence(self) -> bytes:
        """Return the aged evidence of all cells, for a host that starts."""
        return _known_encoder.encode({number: cell.aged for number, cell in self._cells.items()})

    def apply_aged_evidence(self, data: bytes) -> None:
        """Take over another host's aged evidence where it knows more.

        Counters tell only what comes after a host's start. Without this a host
        that was just replaced would learn each class anew, at its callers' cost.
        """
        for number, told in _known_decoder.decode(data).items():
            thresholds = self._thresholds.get(number)
            if thresholds is None or len(told.ratings) != len(GRID):
                continue
            cell = self._cells.setdefault(number, Cell(thresholds))
            if told.rated + told.requests > cell.aged.rated + cell.aged.requests:
                cell.aged = told
                self._changed.add(number)

    def apply_summaries(self, gathered: CollectedSummaries) -> None:
        """Add what other hosts and zones counted since the last time."""
        sources = {f"host {name}": data for name, data in gathered.own_zone.items()}
        sources.pop(f"host {self._host}", None)
        sources |= {f"zone {name}": data for name, data in gathered.other_zones.items()}
        for name, data in sources.items():
            summary = decode_summary(data)
            if summary is not None:
                self._take_source(self._sources.setdefault(name, _Source()), summary)
        if len(self._sources) > SILENT_SOURCES + len(sources):
            self._sources = {n: s for n, s in self._sources.items() if n in sources}

    def age(self, now: float) -> None:
        """Let what is known count less as time goes by."""
        if self._aged_at is None:
            self._aged_at = now
        elapsed_s = now - self._aged_at
        if elapsed_s < AGING_PERIOD_S:
            return
        self._aged_at = now
        answers_factor = 0.5 ** (elapsed_s / ANSWERS_HALF_LIFE_S)
        awaited_factor = 0.5 ** (elapsed_s / AWAITED_HALF_LIFE_S)
        ratings_factor = 0.5 ** (elapsed_s / RATINGS_HALF_LIFE_S)
        for cell in self._cells.values():
            cell.aged.decay(answers_factor, awaited_factor, ratings_factor)
        self._changed |= self._cells.keys()

    def _take_source(self, source: _Source, summary: EvidenceSummary) -> None:
        """Add the difference to the last summary of the same members.

        When a host of another zone comes or goes, the zone's sum jumps by all
        that the host ever counted. Taken as news, that would repeat or undo old
        evidence; so the first summary of new members only sets the base.
        """
        if summary.members == source.summary.members:
            for number, evidence in summary.cells.items():
                before = source.summary.cells.get(number, NO_EVIDENCE)
                if evidence != before:
                    self._add(number, evidence.minus(before))
        source.summary = summary

    def _add_own(self, key: CellKey, delta: Evidence) -> None:
        number = self._numbers.get(key)
        if number is None:
            return
        own = self._own.get(number)
        self._own[number] = delta if own is None else own.plus(delta)
        self._add(number, delta)

    def _add(self, number: int, delta: Evidence) -> None:
        if number not in self._thresholds or not _grew(delta):
            return
        cell = self._cells.get(number)
        if cell is None:
            cell = self._cells[number] = Cell(self._thresholds[number])
        cell.add(delta)
        self._changed.add(number)


def _grew(delta: Evidence) -> bool:
    counts: Sequence[int] = (delta.requests, delta.sampled, *delta.ratings, *delta.judged)
    return min(counts) >= 0 and any(counts)
