"""Answer statistics by service, version and kind of work, and the test of a new version."""

import enum
import math
from dataclasses import dataclass, field

# A version with fewer bad answers than this is never judged bad.
MIN_BAD_ANSWERS = 3
# A version is bad when a version as good as the old one would return so many bad answers
# with less than this probability.
MAX_CHANCE_PROBABILITY = 0.002
# Lower bound of the estimated fraction of bad answers of the old version.
MIN_OLD_BAD_FRACTION = 0.02
# An answer is slow when its first event, or the mean interval between its later events, takes
# this many times the baseline. Bad versions take several times as long. A full batch or a long
# prompt changes the interval by less, and rarely delays the first event by as much.
SLOW_FIRST_EVENT_FACTOR = 5.0
SLOW_INTERVAL_FACTOR = 3.0
# Answers before a baseline is used, and the weight of each answer in the moving average
# after that.
MIN_BASELINE_ANSWERS = 5
BASELINE_WEIGHT = 0.05
# A version is also bad when the geometric mean of its event intervals, over at least this many
# answers, exceeds the baseline by the factor. A factor of 1.9 is exceeded when half of the
# answers take eight times as long; queues and cold caches change the interval by less.
MIN_INTERVAL_ANSWERS = 8
SLOW_MEAN_FACTOR = 1.9
# The factor once the new version has all traffic. No other version runs beside it for
# comparison then, and a burst or a lost endpoint looks like a slow version.
SLOW_MEAN_FACTOR_ALONE = 2.6
# Shorter times are raised to this value before their logarithm is taken.
MIN_TIME_S = 0.001
# The kind of work under which answers of a loaded version are counted after its trial. Only
# failures count for it, because a full batch slows every answer, of good versions too.
UNDER_LOAD = "loaded"
# The same for answers of an endpoint that is almost full.
FULL_LOAD = "full"
LOADED_KINDS = frozenset((UNDER_LOAD, FULL_LOAD))
# Fraction of slow answers that a good version may have during its trial, and once traffic
# shifts to its endpoints: endpoints with cold caches begin a sixth of their answers late.
MAX_SLOW_FRACTION = 0.12
MAX_COLD_SLOW_FRACTION = 0.4
# Fraction of bad answers that a good version may have for a while.
MAX_GOOD_FRACTION = 0.04
# Fraction of failed answers of a version that is bad.
BAD_VERSION_FRACTION = 0.3
# Fraction of failed answers of sound endpoints beside faulty ones, and the probability below which
# more failures are no chance.
MAX_SOUND_ENDPOINT_FRACTION = 0.12
MAX_WIDESPREAD_CHANCE_PROBABILITY = 0.005
# Endpoints whose answers a host counts one by one; an endpoint that starts again has a new id.
MAX_COUNTED_ENDPOINTS = 500
# A version is shown to be good when a bad one would return so few bad answers with less than this
# probability.
MAX_GOOD_CHANCE_PROBABILITY = 0.05


@dataclass(frozen=True, slots=True)
class AnswerTimes:
    """How long an answer took.

    Attributes
    ----------
    first_event_s : float, optional
        Time to the first event, or to the answer of a plain service, in seconds.
    event_interval_s : float, optional
        Mean time from one event to the next, in seconds.
    """

    first_event_s: float | None = None
    event_interval_s: float | None = None


@dataclass(slots=True)
class TimesBaseline:
    """Moving geometric means of the answer times of the versions that are not on trial.

    A few answers behind long queues take a hundred times as long as the others. In an
    arithmetic mean they would hide a version that takes eight times as long.
    """

    first_event_count: int = 0
    interval_count: int = 0
    _mean_log_first_event: float = 0.0
    _mean_log_interval: float = 0.0

    def record_answer(self, times: AnswerTimes) -> None:
        """Add the times of an answer to the means."""
        if times.first_event_s is not None:
            self.first_event_count += 1
            weight = max(BASELINE_WEIGHT, 1.0 / self.first_event_count)
            self._mean_log_first_event += weight * (
                _log(times.first_event_s) - self._mean_log_first_event
            )
        if times.event_interval_s is not None:
            self.interval_count += 1
            weight = max(BASELINE_WEIGHT, 1.0 / self.interval_count)
            self._mean_log_interval += weight * (
                _log(times.event_interval_s) - self._mean_log_interval
            )

    def log_interval_ratio(self, times: AnswerTimes) -> float | None:
        """Return the logarithm of an answer's event interval relative to the baseline."""
        if times.event_interval_s is None or self.interval_count < MIN_BASELINE_ANSWERS:
            return None
        return _log(times.event_interval_s) - self._mean_log_interval

    def is_slow(self, times: AnswerTimes) -> bool:
        """Tell whether an answer takes much longer than the baseline."""
        is_first_slow = is_interval_slow = False
        if times.first_event_s is not None and self.first_event_count >= MIN_BASELINE_ANSWERS:
            is_first_slow = times.first_event_s > SLOW_FIRST_EVENT_FACTOR * math.exp(
                self._mean_log_first_event
            )
        if times.event_interval_s is not None and self.interval_count >= MIN_BASELINE_ANSWERS:
            is_interval_slow = times.event_interval_s > SLOW_INTERVAL_FACTOR * math.exp(
                self._mean_log_interval
            )
        return is_first_slow or is_interval_slow


def _log(seconds: float) -> float:
    return math.log(max(MIN_TIME_S, seconds))


@dataclass(slots=True)
class Tally:
    """Counts of one version's answers to one kind of work.

    Attributes
    ----------
    answers, failures, slow : int
        Answers, those that failed, and those that were slow.
    paced_answers : int
        Answers whose event interval was compared with the baseline.
    log_pace_sum : float
        Sum of the logarithms of their ratios to the baseline.
    interrupting_endpoints : set of str
        Endpoints that broke off answers.
    """

    answers: int = 0
    failures: int = 0
    slow: int = 0
    paced_answers: int = 0
    log_pace_sum: float = 0.0
    interrupting_endpoints: set[str] = field(default_factory=set)

    @property
    def bad(self) -> int:
        """Bad answers, counting an endpoint that broke off answers once.

        A crashed endpoint breaks off the answers of all hosts at once. Counted one by one,
        they would look like a version that fails often, and a single crash would roll back
        a good version.
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
        """Mean logarithm of the event intervals relative to the baseline; 0 for too few."""
        return (
            self.log_pace_sum / self.paced_answers
            if self.paced_answers >= MIN_INTERVAL_ANSWERS
            else 0.0
        )


@dataclass(slots=True)
class EndpointCounts:
    """Answers of one endpoint, and how many of them failed."""

    answers: int = 0
    failures: int = 0

    def add(self, answers: int, failures: int) -> None:
        """Add answers, and failures of these or earlier ones."""
        self.answers += answers
        self.failures += failures

    def since(self, before: "EndpointCounts") -> "EndpointCounts":
        """Return what has come since an earlier count; totals shrink when a host is lost."""
        return EndpointCounts(
            max(0, self.answers - before.answers), max(0, self.failures - before.failures)
        )


def is_widespread(counts: list[EndpointCounts]) -> bool:
    """Tell whether endpoints fail too often even without the worse half of them.

    A few faulty endpoints may cause as many failures as a bad version does.
    """
    answering = sorted(
        (each for each in counts if each.answers > 0), key=lambda each: each.failures / each.answers
    )
    better = answering[: (len(answering) + 1) // 2]
    answers = sum(each.answers for each in better)
    failures = sum(each.failures for each in better)
    probability = _binomial_tail(failures, answers, MAX_SOUND_ENDPOINT_FRACTION)
    return probability < MAX_WIDESPREAD_CHANCE_PROBABILITY


class ComparisonStage(enum.Enum):
    """How far a new version can be compared with the old one.

    ``TRIAL``: few sessions use it. ``SHIFT``: traffic moves to its endpoints, whose prompt
    caches are still cold. ``ALONE``: it has all traffic.
    """

    TRIAL = "trial"
    SHIFT = "shift"
    ALONE = "alone"


TallyKey = tuple[str, str, str]
VersionKey = tuple[str, str]


@dataclass
class AnswerStatistics:
    """Tallies by service, version and kind of work: this host's and the other hosts'.

    A kind of work is a route and a model size, because the times of a small model say nothing
    about those of a large one.

    Attributes
    ----------
    local : dict of (service, version, kind) to Tally
        Tallies of the answers that this host forwarded.
    local_endpoints : dict of (service, version) to dict of str to EndpointCounts
        The same by endpoint.
    """

    local: dict[TallyKey, Tally] = field(default_factory=dict)
    local_endpoints: dict[VersionKey, dict[str, EndpointCounts]] = field(default_factory=dict)
    _remote: dict[str, dict[TallyKey, Tally]] = field(default_factory=dict)
    _remote_endpoints: dict[str, dict[str, EndpointCounts]] = field(default_factory=dict)
    _highest_loads: dict[tuple[str, str], float] = field(default_factory=dict)
    _baselines: dict[tuple[str, str], TimesBaseline] = field(default_factory=dict)

    def record_load(self, service: str, version: str, load: float) -> None:
        """Record the load of an endpoint, in requests per slot, as it began to answer."""
        key = (service, version)
        self._highest_loads[key] = max(load, self._highest_loads.get(key, 0.0))

    def highest_load(self, service: str, version: str) -> float:
        """Return the highest load at which a version has answered this host, 0 for none."""
        return self._highest_loads.get((service, version), 0.0)

    def record_answer(
        self, key: TallyKey, is_bad: bool, times: AnswerTimes, is_trial: bool, endpoint: str = ""
    ) -> None:
        """Count an answer that has ended.

        Parameters
        ----------
        is_trial : bool
            Whether its version is the one that is being rolled out.
        endpoint : str
            The endpoint that gave it; empty if it is not known.
        """
        service, _, kind = key
        baseline = self._baselines.setdefault((service, kind), TimesBaseline())
        tally = self.local.setdefault(key, Tally())
        tally.answers += 1
        tally.failures += is_bad
        self._count_endpoint(key, endpoint, 1, int(is_bad))
        tally.slow += baseline.is_slow(times)
        log_ratio = baseline.log_interval_ratio(times)
        if log_ratio is not None:
            tally.paced_answers += 1
            tally.log_pace_sum += log_ratio
        if not is_trial:
            baseline.record_answer(times)

    def record_failure_of_slow_answer(self, key: TallyKey, endpoint: str) -> None:
        """Count the failure of an answer that was counted as slow; see ``record_answer``."""
        self.local.setdefault(key, Tally()).failures += 1
        self._count_endpoint(key, endpoint, 0, 1)

    def record_interruption(self, key: TallyKey, endpoint: str, is_counted: bool) -> None:
        """Record that an endpoint broke off an answer.

        Parameters
        ----------
        is_counted : bool
            Whether the answer was already counted as slow.
        """
        tally = self.local.setdefault(key, Tally())
        tally.answers += not is_counted
        tally.interrupting_endpoints.add(endpoint)

    def is_slow(self, service: str, kind: str, times: AnswerTimes) -> bool:
        """Tell whether an answer that is still open has already taken too long."""
        baseline = self._baselines.get((service, kind))
        return baseline is not None and baseline.is_slow(times)

    def _count_endpoint(self, key: TallyKey, endpoint: str, answers: int, failures: int) -> None:
        if not endpoint:
            return
        counts = self.local_endpoints.setdefault(key[:2], {})
        counts.setdefault(endpoint, EndpointCounts()).add(answers, failures)
        if len(counts) > MAX_COUNTED_ENDPOINTS:
            del counts[next(iter(counts))]

    def apply_host_tallies(
        self,
        host: str,
        tallies: dict[TallyKey, Tally],
        endpoints: dict[str, EndpointCounts] | None = None,
    ) -> None:
        """Replace the tallies of another host, and its counts by endpoint."""
        self._remote[host] = tallies
        self._remote_endpoints[host] = endpoints or {}

    def merge_endpoints(self, service: str, version: str) -> dict[str, EndpointCounts]:
        """Return the sums over all hosts by endpoint, for those that answered this host."""
        merged = {}
        for endpoint, own in self.local_endpoints.get((service, version), {}).items():
            counts = merged[endpoint] = EndpointCounts(own.answers, own.failures)
            for remote in self._remote_endpoints.values():
                if endpoint in remote:
                    counts.add(remote[endpoint].answers, remote[endpoint].failures)
        return merged

    def forget(self, service: str) -> None:
        """Delete the tallies of a service before a new roll-out of it."""
        for tallies in (self.local, *self._remote.values()):
            for key in [key for key in tallies if key[0] == service]:
                del tallies[key]
        for by_version in (self._highest_loads, self.local_endpoints):
            for version_key in [key for key in by_version if key[0] == service]:
                del by_version[version_key]

    def merge_tallies(self, service: str) -> dict[tuple[str, str], Tally]:
        """Return the sums over all hosts, by version and kind of work."""
        merged: dict[tuple[str, str], Tally] = {}
        for tallies in (self.local, *self._remote.values()):
            for (tally_service, version, kind), tally in tallies.items():
                if tally_service == service:
                    merged.setdefault((version, kind), Tally()).add(tally)
        return merged

    def is_bad(
        self, service: str, target: str, stage: ComparisonStage = ComparisonStage.TRIAL
    ) -> bool:
        """Tell whether a version is worse than the others, in total or for one kind of work."""
        merged = self.merge_tallies(service)
        kinds = {kind for version, kind in merged if version == target}
        if self._is_worse_in(merged, target, None, stage):
            return True
        return any(self._is_worse_in(merged, target, kind, stage) for kind in kinds)

    def is_shown_good(self, service: str, target: str) -> bool:
        """Tell whether a version's answers show that it neither fails nor is several times slower.

        Too few answers show nothing. Slow ones count only on endpoints that are not loaded, because
        a full batch slows each; an answer that was slow and then failed counts as both.
        """
        all_answers, unloaded = Tally(), Tally()
        for (version, kind), tally in self.merge_tallies(service).items():
            if version == target:
                all_answers.add(tally)
                if kind not in LOADED_KINDS:
                    unloaded.add(tally)
        return _is_shown_below(
            BAD_VERSION_FRACTION, all_answers.bad, all_answers.answers
        ) and _is_shown_below(
            MAX_COLD_SLOW_FRACTION, unloaded.slow + unloaded.bad, unloaded.answers
        )

    def max_good_fraction(self, service: str, target: str) -> float:
        """Return the fraction of bad answers that a good version may have beside the others."""
        others = Tally()
        for (version, _), tally in self.merge_tallies(service).items():
            if version != target:
                others.add(tally)
        return max(MAX_GOOD_FRACTION, _upper_fraction(others.bad, others.answers))

    def is_failing(self, service: str, target: str) -> bool:
        """Tell whether more answers of a version fail than a good one would let fail."""
        tally = self.merge_version_tallies(service, target)
        return _is_worse(tally.bad, tally.answers, 0, 0, MIN_OLD_BAD_FRACTION)

    @staticmethod
    def _is_worse_in(
        merged: dict[tuple[str, str], Tally], target: str, kind: str | None, stage: ComparisonStage
    ) -> bool:
        new, old = Tally(), Tally()
        for (version, tally_kind), tally in merged.items():
            # The old version has no tallies under load, so all of its tallies are compared.
            is_old_of_all = version != target and kind in LOADED_KINDS
            # Only failures count under load: those answers would hide a version that is slow.
            is_of_total = kind is None and tally_kind not in LOADED_KINDS
            if is_of_total or tally_kind == kind or is_old_of_all:
                (new if version == target else old).add(tally)
        if _is_worse(new.bad, new.answers, old.bad, old.answers, MIN_OLD_BAD_FRACTION):
            return True
        if _is_slower(new, old, stage):
            return True
        max_slow_fraction = (
            MAX_SLOW_FRACTION if stage is ComparisonStage.TRIAL else MAX_COLD_SLOW_FRACTION
        )
        return _is_worse(new.slow, new.answers, old.slow, old.answers, max_slow_fraction)

    def count_answers(self, service: str) -> int:
        """Return how many answers of all versions all hosts counted."""
        return sum(tally.answers for tally in self.merge_tallies(service).values())

    def count_unloaded_answers(self, service: str) -> int:
        """Return how many answers of all versions came from endpoints that were not loaded.

        Copies load endpoints, and are no requests of callers.
        """
        return sum(
            tally.answers
            for (_, kind), tally in self.merge_tallies(service).items()
            if kind not in LOADED_KINDS
        )

    def merge_version_tallies(self, service: str, target: str) -> Tally:
        """Return the sum over all hosts and kinds of work for one version."""
        total = Tally()
        for (version, _), tally in self.merge_tallies(service).items():
            if version == target:
                total.add(tally)
        return total


def _is_slower(new: Tally, old: Tally, stage: ComparisonStage) -> bool:
    """Tell whether the mean event interval is far above the old version's or the baseline."""
    factor = SLOW_MEAN_FACTOR_ALONE if stage is ComparisonStage.ALONE else SLOW_MEAN_FACTOR
    return new.mean_log_pace - max(0.0, old.mean_log_pace) > math.log(factor)


def _upper_fraction(bad: int, answers: int) -> float:
    """Return a fraction of bad answers that leans upwards where there are few."""
    return (bad + 1.0) / (answers + 10.0)


def _is_worse(bad: int, answers: int, old_bad: int, old_answers: int, min_fraction: float) -> bool:
    if bad < MIN_BAD_ANSWERS:
        return False
    fraction = max(min_fraction, _upper_fraction(old_bad, old_answers))
    return _binomial_tail(bad, answers, fraction) < MAX_CHANCE_PROBABILITY


def _is_shown_below(fraction: float, bad: int, answers: int) -> bool:
    """Tell whether a version with this fraction of bad answers would hardly return so few."""
    more_bad = _binomial_tail(bad + 1, answers, fraction)
    return 1.0 - more_bad < MAX_GOOD_CHANCE_PROBABILITY


def _binomial_tail(bad: int, answers: int, probability: float) -> float:
    """Return the probability of at least ``bad`` bad answers among independent ones."""
    if bad > answers:
        return 0.0
    # By logarithms, since the numbers of combinations exceed a float from about 1,000 answers on.
    log_odds = math.log(probability) - math.log1p(-probability)
    log_term = answers * math.log1p(-probability)
    fewer = 0.0
    for count in range(bad):
        fewer += math.exp(log_term)
        log_term += log_odds + math.log((answers - count) / (count + 1.0))
    return max(0.0, 1.0 - fewer)
