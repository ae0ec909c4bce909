"""Judges score an answer as soon as it ends, before any rating can arrive."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class JudgedAnswer:
    """A finished answer, as a judge receives it.

    Attributes
    ----------
    request_id : str
        The request's id.
    confidence : float, optional
        The mean token probability that the engine reports, if any.
    """

    request_id: str
    confidence: float | None


class Judge(Protocol):
    """Scores answers on the event loop, so ``score`` must not block or call other services."""

    def score(self, answer: JudgedAnswer) -> float | None:
        """Return a score from 0 to 1; None when the answer can't be scored."""


class ConfidenceJudge:
    """Uses the engine's confidence as the score."""

    def score(self, answer: JudgedAnswer) -> float | None:
        """Return the engine's confidence."""
        return answer.confidence


class MemoryJudge:
    """A ``Judge`` that returns preset scores, for tests.

    Parameters
    ----------
    scores : mapping of str to float
        Scores by request id.
    """

    def __init__(self, scores: Mapping[str, float]) -> None:
        self._scores = scores

    def score(self, answer: JudgedAnswer) -> float | None:
        """Return the preset score of the request."""
        return self._scores.get(answer.request_id)
