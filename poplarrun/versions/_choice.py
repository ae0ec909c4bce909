"""The cheapest allowed version whose estimates meet the class targets."""

from dataclasses import dataclass

from poplarrun.contracts import Version, WorkClass


@dataclass(frozen=True, slots=True)
class Candidate:
    """A version that the account allows, with what is expected of it.

    Attributes
    ----------
    version : Version
        The offered version.
    quality : float
        Lower bound of its mean rating in this class, 0 to 1.
    cost : float
        Expected cost of the request, in account currency.
    """

    version: Version
    quality: float
    cost: float


def choose_version(work_class: WorkClass, candidates: list[Candidate]) -> Candidate | None:
    """Return the cheapest candidate that meets the quality target, else the best one.

    Returns
    -------
    Candidate or None
        None only when there is no candidate.
    """
    if not candidates:
        return None
    good = [c for c in candidates if c.quality >= work_class.targets.quality]
    if good:
        return min(good, key=lambda candidate: (candidate.cost, candidate.version.id))
    return max(candidates, key=lambda candidate: (candidate.quality, -candidate.cost))
