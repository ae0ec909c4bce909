"""Judges: a score of an answer that is there at once, when no rating can be."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class JudgedAnswer:
    """What a judge sees of a finished answer.

    Attributes
    ----------
    request_id : str
        The request's id.
    confidence : float, optional
        The engine's own mean token probability, where it gives one.
    """

    request_id: str
    confidence: float | None


class Judge(Protocol):
    """Scores answers on the loop, so it may only look at what is at hand."""

    def score(self, answer: JudgedAnswer) -> float | None:
        """Return a score from 0 to 1; None when nothing can be told."""


class ConfidenceJudge:
    """Takes the engine's confidence for the score."""

    def score(self, answer: JudgedAnswer) -> float | None:
        """Return the engine's confidence."""
        return answer.confidence


class MemoryJudge:
    """A ``Judge`` with given scores, for tests.

    Parameters
    ----------
    scores : mapping of str to float
        Scores by request id.
    """

    def __init__(self, scores: Mapping[str, float]) -> None:
        self._scores = scores

    def score(self, answer: JudgedAnswer) -> float | None:
        """Return the given score."""
        return self._scores.get(answer.request_id)
