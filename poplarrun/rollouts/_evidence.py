"""What was seen of the versions of a service, by host, and the test of a new one."""

import math
from dataclasses import dataclass, field

# Least number of bad answers on which a version is judged.
FEWEST_BAD = 3
# A version is bad when so many bad answers would come from one as good as the old
# with less than this probability.
MOST_CHANCE = 0.002
# Share of bad answers that the old version is taken to have at the least.
LEAST_OLD_SHARE = 0.02
# A first event that takes so many times the old version's mean counts as bad. Bad
# versions that are slow take several times as long; a cold or far endpoint doesn't.
SLOW_TIMES = 4.0
FEWEST_TIMES = 5


@dataclass(slots=True)
class Tally:
    """Answers of one version on one route.

    Attributes
    ----------
    ended, bad, slow : int
        Answers, those that failed, and those that came much too late.
    first_s : float
        Sum of the times to the first event, in seconds.
    """

    ended: int = 0
    bad: int = 0
    slow: int = 0
    first_s: float = 0.0

    def add(self, other: "Tally") -> None:
        """Add another host's tally."""
        self.ended += other.ended
        self.bad += other.bad
        self.slow += other.slow
        self.first_s += other.first_s


TallyKey = tuple[str, str, str]


@dataclass
class Evidence:
    """Tallies by service, version and route: this host's own, and the others'.

    Attributes
    ----------
    own : dict of (service, version, route) to Tally
        What this host saw.
    """

    own: dict[TallyKey, Tally] = field(default_factory=dict)
    _others: dict[str, dict[TallyKey, Tally]] = field(default_factory=dict)

    def note(
        self, key: TallyKey, is_bad: bool, first_s: float | None, usual_s: float | None
    ) -> None:
        """Take in the end of an answer.

        Parameters
        ----------
        first_s : float, optional
            Time to its first event, in seconds.
        usual_s : float, optional
            That of the old version.
        """
        tally = self.own.setdefault(key, Tally())
        tally.ended += 1
        tally.bad += is_bad
        if first_s is not None:
            tally.first_s += first_s
            tally.slow += usual_s is not None and first_s > SLOW_TIMES * usual_s

    def take(self, host: str, tallies: dict[TallyKey, Tally]) -> None:
        """Take over another host's tallies in place of its last ones."""
        self._others[host] = tallies

    def forget(self, service: str) -> None:
        """Drop what was seen of a service, before a new roll-out of it."""
        for tallies in (self.own, *self._others.values()):
            for key in [key for key in tallies if key[0] == service]:
                del tallies[key]

    def merged(self, service: str) -> dict[tuple[str, str], Tally]:
        """Return the tallies of all hosts by version and route."""
        merged: dict[tuple[str, str], Tally] = {}
        for tallies in (self.own, *self._others.values()):
            for (of, version, route), tally in tallies.items():
                if of == service:
                    merged.setdefault((version, route), Tally()).add(tally)
        return merged

    def usual_first_s(self, service: str, route: str, target: str) -> float | None:
        """Return the mean time to the first event of the versions but the target."""
        whole = Tally()
        for (version, of), tally in self.merged(service).items():
            if version != target and of == route:
                whole.add(tally)
        if whole.ended < FEWEST_TIMES:
            return None
        return whole.first_s / whole.ended

    def is_bad(self, service: str, target: str) -> bool:
        """Tell whether a version is worse than the others, as a whole or on one route."""
        merged = self.merged(service)
        new, old = Tally(), Tally()
        for (version, _), tally in merged.items():
            (new if version == target else old).add(tally)
        if _is_worse(new.bad, new.ended, old.bad, old.ended):
            return True
        if _is_worse(new.slow, new.ended, 0, 0):
            return True
        for (version, route), tally in merged.items():
            if version != target:
                continue
            same = Tally()
            for (other, of), other_tally in merged.items():
                if other != target and of == route:
                    same.add(other_tally)
            if _is_worse(tally.bad, tally.ended, same.bad, same.ended):
                return True
            if _is_worse(tally.slow, tally.ended, 0, 0):
                return True
        return False

    def seen(self, service: str, target: str) -> int:
        """Return how many answers of a version all hosts saw."""
        merged = self.merged(service)
        return sum(tally.ended for (version, _), tally in merged.items() if version == target)


def _is_worse(bad: int, ended: int, old_bad: int, old_ended: int) -> bool:
    if bad < FEWEST_BAD:
        return False
    share = max(LEAST_OLD_SHARE, (old_bad + 1.0) / (old_ended + 10.0))
    return _chance_of(bad, ended, share) < MOST_CHANCE


def _chance_of(bad: int, ended: int, share: float) -> float:
    """Return the probability of at least so many bad ones of all, each with a share."""
    good = sum(
        math.comb(ended, count) * share**count * (1.0 - share) ** (ended - count)
        for count in range(bad)
    )
    return max(0.0, 1.0 - good)
