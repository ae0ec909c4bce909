"""What was seen of the versions of a service, by host, and the test of a new one."""

import enum
import math
from dataclasses import dataclass, field

# Least number of bad answers on which a version is judged.
FEWEST_BAD = 3
# A version is bad when so many bad answers would come from one as good as the old
# with less than this probability.
MOST_CHANCE = 0.002
# Share of bad answers that the old version is taken to have at the least.
LEAST_OLD_SHARE = 0.02
# An answer whose first event, or whose events after it, take so many times as long as
# usual counts as slow. Bad versions take several times as long; a full batch or a long
# prompt makes less of a difference to the pace, and is rare enough at the first event.
SLOW_FIRST_TIMES = 5.0
SLOW_PACE_TIMES = 3.0
# Answers before a usual time is known, and the weight of each one after that.
FEWEST_TIMES = 5
USUAL_WEIGHT = 0.05
# A version is slow as well when the seconds an event of so many answers are on
# average so many times the usual: of answers that take eight times as long, half are
# enough, and neither queues nor cold memory change the pace so much.
FEWEST_PACES = 8
SLOW_MEAN_TIMES = 1.9
# The same once the new version has all traffic. Nothing runs beside it any more, so that
# a burst or a lost endpoint looks like a slow version.
SLOW_MEAN_TIMES_ALONE = 2.6
# Shorter times than this count as this, in seconds.
LEAST_TIME_S = 0.001
# The kind of work of answers of a version under load after its trial. Only their failures
# count: a full batch makes each answer slower, of good versions too.
UNDER_LOAD = "loaded"
# Share of slow answers that a good version may have while it is on trial, and once traffic
# moves to its endpoints: cold ones begin a sixth of their answers late.
MOST_SLOW_SHARE = 0.12
MOST_COLD_SLOW_SHARE = 0.4


@dataclass(frozen=True, slots=True)
class AnswerTimes:
    """How long an answer took.

    Attributes
    ----------
    first_s : float, optional
        Time to the first event, or to the answer of a plain service, in seconds.
    pace_s : float, optional
        Mean time from one event to the next, in seconds.
    """

    first_event_s: float | None = None
    event_interval_s: float | None = None


@dataclass(slots=True)
class Usual:
    """The geometric mean times of the versions that are not on trial.

    A few answers behind long queues take a hundred times as long as the others. In an
    arithmetic mean they would hide a version that takes eight times as long.
    """

    count: int = 0
    paced: int = 0
    _log_first: float = 0.0
    _log_pace: float = 0.0

    def learn(self, times: AnswerTimes) -> None:
        """Take in the times of an answer."""
        if times.first_event_s is not None:
            self.count += 1
            weight = max(USUAL_WEIGHT, 1.0 / self.count)
            self._log_first += weight * (_log(times.first_event_s) - self._log_first)
        if times.event_interval_s is not None:
            self.paced += 1
            weight = max(USUAL_WEIGHT, 1.0 / self.paced)
            self._log_pace += weight * (_log(times.event_interval_s) - self._log_pace)

    def log_pace_ratio(self, times: AnswerTimes) -> float | None:
        """Return the logarithm of an answer's pace in units of the usual one."""
        if times.event_interval_s is None or self.paced < FEWEST_TIMES:
            return None
        return _log(times.event_interval_s) - self._log_pace

    def is_slow(self, times: AnswerTimes) -> bool:
        """Tell whether an answer takes much longer than usual."""
        is_first_slow = is_pace_slow = False
        if times.first_event_s is not None and self.count >= FEWEST_TIMES:
            is_first_slow = times.first_event_s > SLOW_FIRST_TIMES * math.exp(self._log_first)
        if times.event_interval_s is not None and self.paced >= FEWEST_TIMES:
            is_pace_slow = times.event_interval_s > SLOW_PACE_TIMES * math.exp(self._log_pace)
        return is_first_slow or is_pace_slow


def _log(seconds: float) -> float:
    return math.log(max(LEAST_TIME_S, seconds))


@dataclass(slots=True)
class Tally:
    """Answers of one version to one kind of work.

    Attributes
    ----------
    ended, failures, slow : int
        Answers, those that failed, and those that came much too late.
    paced : int
        Answers whose pace is compared with the usual one.
    log_pace : float
        Sum of the logarithms of their ratios.
    broken : set of str
        Endpoints that broke answers off.
    """

    answers: int = 0
    failures: int = 0
    slow: int = 0
    paced_answers: int = 0
    log_pace_sum: float = 0.0
    interrupting_endpoints: set[str] = field(default_factory=set)

    @property
    def bad(self) -> int:
        """Bad answers.

        An endpoint that crashes breaks the answers of all hosts at once. Counted one by
        one it would look like a version that fails often, and good versions were taken
        back for it.
        """
        return self.failures + len(self.interrupting_endpoints)

    def add(self, other: "Tally") -> None:
        """Add another host's tally."""
        self.answers += other.answers
        self.failures += other.failures
        self.interrupting_endpoints |= other.interrupting_endpoints
        self.slow += other.slow
        self.paced_answers += other.paced_answers
        self.log_pace_sum += other.log_pace_sum

    @property
    def mean_log_pace(self) -> float:
        """Mean logarithm of the paces in units of the usual one; 0 for too few."""
        return self.log_pace_sum / self.paced_answers if self.paced_answers >= FEWEST_PACES else 0.0


class ComparisonStage(enum.Enum):
    """How much a new version can be compared with the old one.

    ``TRIAL``: few sessions try it. ``SHIFT``: traffic moves to its endpoints, which have
    read no prompts yet. ``ALONE``: it has all traffic.
    """

    TRIAL = "trial"
    SHIFT = "shift"
    ALONE = "alone"


TallyKey = tuple[str, str, str]


@dataclass
class AnswerStatistics:
    """Tallies by service, version and kind of work: this host's own, and the others'.

    A kind of work is a route and a model size: a small model's times say nothing of a
    large one's.

    Attributes
    ----------
    own : dict of (service, version, kind) to Tally
        What this host saw.
    """

    local: dict[TallyKey, Tally] = field(default_factory=dict)
    _others: dict[str, dict[TallyKey, Tally]] = field(default_factory=dict)
    _usual: dict[tuple[str, str], Usual] = field(default_factory=dict)

    def record_answer(
        self, key: TallyKey, is_bad: bool, times: AnswerTimes, is_trial: bool
    ) -> None:
        """Take in the end of an answer.

        Parameters
        ----------
        is_trial : bool
            Whether its version is the one that is being rolled out.
        """
        service, _, kind = key
        usual = self._usual.setdefault((service, kind), Usual())
        tally = self.local.setdefault(key, Tally())
        tally.answers += 1
        tally.failures += is_bad
        tally.slow += usual.is_slow(times)
        ratio = usual.log_pace_ratio(times)
        if ratio is not None:
            tally.paced_answers += 1
            tally.log_pace_sum += ratio
        if not is_trial:
            usual.learn(times)

    def record_failure_of_slow_answer(self, key: TallyKey) -> None:
        """Take in that an answer failed that counted already, by its time."""
        self.local.setdefault(key, Tally()).failures += 1

    def record_interruption(self, key: TallyKey, endpoint: str, is_counted: bool) -> None:
        """Take in that an endpoint broke an answer off.

        Parameters
        ----------
        is_counted : bool
            Whether the answer counts already, by its pace.
        """
        tally = self.local.setdefault(key, Tally())
        tally.answers += not is_counted
        tally.interrupting_endpoints.add(endpoint)

    def is_slow(self, service: str, kind: str, times: AnswerTimes) -> bool:
        """Tell whether an answer that has taken so long is slow already."""
        usual = self._usual.get((service, kind))
        return usual is not None and usual.is_slow(times)

    def apply_host_tallies(self, host: str, tallies: dict[TallyKey, Tally]) -> None:
        """Take over another host's tallies in place of its last ones."""
        self._others[host] = tallies

    def forget(self, service: str) -> None:
        """Drop what was seen of a service, before a new roll-out of it."""
        for tallies in (self.local, *self._others.values()):
            for key in [key for key in tallies if key[0] == service]:
                del tallies[key]

    def merge_tallies(self, service: str) -> dict[tuple[str, str], Tally]:
        """Return the tallies of all hosts by version and route."""
        merged: dict[tuple[str, str], Tally] = {}
        for tallies in (self.local, *self._others.values()):
            for (of, version, route), tally in tallies.items():
                if of == service:
                    merged.setdefault((version, route), Tally()).add(tally)
        return merged

    def is_bad(
        self, service: str, target: str, stage: ComparisonStage = ComparisonStage.TRIAL
    ) -> bool:
        """Tell whether a version is worse than the others, as a whole or in one kind."""
        merged = self.merge_tallies(service)
        kinds = {kind for version, kind in merged if version == target}
        if self._is_worse_in(merged, target, None, stage):
            return True
        return any(self._is_worse_in(merged, target, kind, stage) for kind in kinds)

    @staticmethod
    def _is_worse_in(
        merged: dict[tuple[str, str], Tally], target: str, kind: str | None, stage: ComparisonStage
    ) -> bool:
        new, old = Tally(), Tally()
        for (version, of), tally in merged.items():
            # Nothing of the old version counts as under load, so all of it is compared.
            is_old_of_all = version != target and kind == UNDER_LOAD
            if kind is None or of == kind or is_old_of_all:
                (new if version == target else old).add(tally)
        if _is_worse(new.bad, new.answers, old.bad, old.answers, LEAST_OLD_SHARE):
            return True
        if _is_slower(new, old, stage):
            return True
        most_slow = MOST_SLOW_SHARE if stage is ComparisonStage.TRIAL else MOST_COLD_SLOW_SHARE
        return _is_worse(new.slow, new.answers, old.slow, old.answers, most_slow)

    def count_answers(self, service: str) -> int:
        """Return how many answers of all versions all hosts saw."""
        return sum(tally.answers for tally in self.merge_tallies(service).values())

    def merge_version_tallies(self, service: str, target: str) -> Tally:
        """Return what all hosts saw of a version."""
        whole = Tally()
        for (version, _), tally in self.merge_tallies(service).items():
            if version == target:
                whole.add(tally)
        return whole


def _is_slower(new: Tally, old: Tally, stage: ComparisonStage) -> bool:
    """Tell whether the mean pace is far from that of the old version, or the usual one."""
    times = SLOW_MEAN_TIMES_ALONE if stage is ComparisonStage.ALONE else SLOW_MEAN_TIMES
    return new.mean_log_pace - max(0.0, old.mean_log_pace) > math.log(times)


def _is_worse(bad: int, ended: int, old_bad: int, old_ended: int, least_share: float) -> bool:
    if bad < FEWEST_BAD:
        return False
    share = max(least_share, (old_bad + 1.0) / (old_ended + 10.0))
    return _chance_of(bad, ended, share) < MOST_CHANCE


def _chance_of(bad: int, ended: int, share: float) -> float:
    """Return the probability of at least so many bad ones of all, each with a share."""
    good = sum(
        math.comb(ended, count) * share**count * (1.0 - share) ** (ended - count)
        for count in range(bad)
    )
    return max(0.0, 1.0 - good)
