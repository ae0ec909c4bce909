"""Simulation of hosts that choose versions, with callers, ratings and a log.

It runs the version decisions of many hosts in one process, in simulated time. The traits of
the versions are hidden from the decisions.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from poplarrun.config import (
    CONFIG_STREAM,
    Configuration,
    Publication,
    Withdrawal,
    encode_record,
    fold_entry,
)
from poplarrun.contracts import ClientAccount, Version, VersionId
from poplarrun.hosts import CollectedSummaries, Peer, SummaryTopic
from poplarrun.log import MemoryLog
from poplarrun.versions import (
    ROLLOUTS_STREAM,
    AnswerObservation,
    CellKey,
    ChoiceRequest,
    ChosenVersion,
    VersionManager,
    encode_rollout,
)

TICK_INTERVAL_S = 1.0
READ_LIMIT = 1000
# Maximum deviation of a request's answer quality from the mean, because it is easier or harder.
MAX_HARDNESS = 0.08
# Standard deviation of the quality of answers to equally hard requests.
QUALITY_NOISE = 0.05
WRONG_QUALITY = 0.25
# Standard deviation of the error of a judge's score.
JUDGE_NOISE = 0.1


@dataclass(frozen=True)
class Traits:
    """Behaviour of a version in a work class; hidden from the decisions.

    Attributes
    ----------
    quality : float
        Mean quality of the right answers, 0 to 1.
    failures, late : float
        Probabilities that an answer fails, or misses a latency target.
    tokens : float
        Mean length of an answer, in tokens.
    wrong : float
        Probability that an answer is wrong.
    wrong_quality : float
        Quality of a wrong answer.
    blind_score : float, optional
        Mean score from a judge that can't distinguish right from wrong answers; None for a judge
        whose mean score is the quality.
    whole_s : float
        Duration of a whole answer, in seconds.
    """

    quality: float
    failures: float = 0.0
    late: float = 0.01
    tokens: float = 200.0
    wrong: float = 0.0
    whole_s: float = 0.5
    wrong_quality: float = WRONG_QUALITY
    blind_score: float | None = None

    @property
    def mean_quality(self) -> float:
        """The mean quality over right and wrong answers."""
        return self.quality * (1.0 - self.wrong) + self.wrong_quality * self.wrong


@dataclass
class RatingTraits:
    """Behaviour of the rating service.

    Attributes
    ----------
    delay_s : float
        Mean delay of a rating, in seconds.
    lost : float
        Probability that a rating never arrives.
    bias, noise : float
        Error of a rating: mean and standard deviation.
    outage : tuple of (float, float)
        Start and end of an outage in which it accepts no answers, in seconds.
    configured_bias : float
        Bias that the hosts are configured with.
    """

    delay_s: float = 20.0
    lost: float = 0.0
    bias: float = 0.0
    noise: float = 0.05
    outage: tuple[float, float] = (0.0, 0.0)
    configured_bias: float = 0.0


@dataclass(frozen=True)
class Served:
    """Outcome of one request."""

    at: float
    host: str
    class_name: str
    caller: int
    version: VersionId | None
    reason: str
    quality: float
    cost: float
    failed: bool
    score: float = 1.0


@dataclass
class _Network:
    """Exchange of summaries between hosts, which are merged per zone; cut zones are isolated."""

    members: dict[str, "WorldPeers"] = field(default_factory=dict)
    cut_zones: set[str] = field(default_factory=set)
    merged_summaries: dict[tuple[str, str], bytes] = field(default_factory=dict)
    reachable_peers: dict[str, tuple[Peer, ...]] = field(default_factory=dict)
    by_zone: dict[str, list["WorldPeers"]] = field(default_factory=dict)
    published_bytes: int = 0

    def clear_caches(self) -> None:
        """Clear the cached results after a change of members or cuts."""
        self.merged_summaries.clear()
        self.reachable_peers.clear()
        self.by_zone.clear()
        for member in self.members.values():
            self.by_zone.setdefault(member.me.zone, []).append(member)

    def reachable_zones(self, zone: str) -> list[str]:
        """Return the zones that a zone can reach, itself included."""
        cut = self.cut_zones
        return [z for z in self.by_zone if z == zone or (z not in cut and zone not in cut)]

    def live(self, zone: str) -> tuple[Peer, ...]:
        """Return the hosts that a zone can reach."""
        if zone not in self.reachable_peers:
            zones = self.reachable_zones(zone)
            self.reachable_peers[zone] = tuple(m.me for z in zones for m in self.by_zone[z])
        return self.reachable_peers[zone]


class WorldPeers:
    """Implementation of ``Peers`` for one simulated host."""

    def __init__(self, network: _Network, me: Peer) -> None:
        self._network = network
        self._me = me
        self.summaries: dict[str, bytes] = {}
        network.members[me.name] = self
        network.clear_caches()

    @property
    def me(self) -> Peer:
        """The host itself."""
        return self._me

    def live(self) -> tuple[Peer, ...]:
        """Return the hosts that this host can reach, itself included."""
        return self._network.live(self._me.zone)

    async def ask(self, peer: str, kind: str, payload: bytes, timeout_s: float) -> bytes:
        """Not supported: the simulated hosts send no requests to each other."""
        raise NotImplementedError

    def serve(self, kind: str, handler: object) -> None:
        """Ignore the handler: the simulated hosts send no requests to each other."""

    def publish(self, topic: SummaryTopic, payload: bytes) -> None:
        """Replace the summary of this host."""
        self.summaries[topic.name] = payload
        self._network.published_bytes += len(payload)
        self._network.merged_summaries.pop((topic.name, self._me.zone), None)

    def collect_summaries(self, topic: SummaryTopic) -> CollectedSummaries:
        """Return the summaries of the own zone's hosts, and a merged one of each other zone."""
        zone = self._me.zone
        members = self._network.by_zone[zone]
        own = {m._me.name: m.summaries[topic.name] for m in members if m.summaries}
        others = [z for z in self._network.reachable_zones(zone) if z != zone]
        return CollectedSummaries(own, {z: self._merge(topic, z) for z in others})

    def _merge(self, topic: SummaryTopic, zone: str) -> bytes:
        summary = self._network.merged_summaries.get((topic.name, zone))
        if summary is None:
            members = self._network.by_zone[zone]
            summary = topic.merge([m.summaries[topic.name] for m in members if m.summaries])
            self._network.merged_summaries[(topic.name, zone)] = summary
        return summary


@dataclass
class VersionHost:
    """One simulated host."""

    peers: WorldPeers
    versions: VersionManager
    configuration: Configuration = field(default_factory=Configuration)

    @property
    def name(self) -> str:
        """Name of the host."""
        return self.peers.me.name


class VersionWorld:
    """Simulated hosts, callers, log and rating service.

    Parameters
    ----------
    traits : dict
        Traits by class name and version; may change during the simulation.
    host_count, zone_count : int
        Number of hosts and of availability zones.
    seed : int
        Seed of all random numbers.
    ratings : RatingTraits
        Behaviour of the rating service.
    requests_per_s : float
        Request rate over all hosts.
    callers : int
        Number of callers; each request comes from a random one.
    judged : bool
        Whether a judge scores each answer when it is generated.
    """

    def __init__(
        self,
        traits: dict[tuple[str, VersionId], Traits],
        host_count: int = 6,
        zone_count: int = 3,
        seed: int = 1,
        ratings: RatingTraits | None = None,
        requests_per_s: float = 20.0,
        callers: int = 20_000,
        judged: bool = False,
    ) -> None:
        self.traits = traits
        self.random = random.Random(seed)
        self.ratings = ratings or RatingTraits()
        self.requests_per_s = requests_per_s
        self.callers = callers
        self.judged = judged
        self.now = 0.0
        self.log = MemoryLog()
        self.network = _Network()
        self.served: list[Served] = []
        self.rated_count = 0
        self._sequence_numbers = itertools.count()
        self._pending_ratings: list[
            tuple[float, int, VersionHost, CellKey, float, float | None]
        ] = []
        self._next_tick = 0.0
        self.hosts: dict[str, VersionHost] = {}
        for number in range(host_count):
            self.add_host(f"h{number}", "abcdefg"[number % zone_count], 1)

    def add_host(self, name: str, zone: str, incarnation: int) -> VersionHost:
        """Start a host, or restart one with another incarnation."""
        peers = WorldPeers(self.network, Peer(name, zone, "r", incarnation))
        rng = random.Random(self.random.random())
        versions = VersionManager(peers.me, rng, self.ratings.configured_bias)
        self.hosts[name] = VersionHost(peers, versions)
        return self.hosts[name]

    def kill_host(self, name: str) -> None:
        """Remove a host with its state."""
        del self.hosts[name]
        self.network.members.pop(name)
        self.network.clear_caches()

    def cut_zone(self, zone: str) -> None:
        """Isolate a zone from the other zones and from the log."""
        self.network.cut_zones.add(zone)
        self.network.clear_caches()

    def heal(self) -> None:
        """Reconnect all zones."""
        self.network.cut_zones.clear()
        self.network.clear_caches()

    def publish(self, document: str, operator: str = "ada") -> None:
        """Publish a document, based on the latest accepted one."""
        state = Configuration()
        for entry in self._read(CONFIG_STREAM, 0):
            state, _ = fold_entry(state, entry)
        record_id = f"{operator}-{next(self._sequence_numbers)}"
        record = Publication(record_id, state.offset, operator, self.now, document)
        self.log.append(CONFIG_STREAM, encode_record(record))
        self.tick()

    def tick(self) -> None:
        """Run the periodic tasks of each host once."""
        self._deliver_ratings()
        for host in self.hosts.values():
            host.versions.exchange_evidence(host.peers, self.now)
        for host in self.hosts.values():
            if not self.is_cut(host):
                self._follow_log(host)
                self._run_rollout_controller(host)

    def is_cut(self, host: VersionHost) -> bool:
        """Return whether the host's zone is isolated, also from the log."""
        return host.peers.me.zone in self.network.cut_zones

    def run(
        self,
        count: int,
        class_names: list[str],
        account: ClientAccount,
        until: Callable[[], bool] | None = None,
    ) -> int:
        """Send up to ``count`` requests until the condition is true; return the number sent."""
        for number in range(count):
            self.advance(self.random.expovariate(self.requests_per_s))
            host = self.random.choice(list(self.hosts.values()))
            self.send(host, self.random.choice(class_names), account)
            if until is not None and until():
                return number + 1
        return count

    def advance(self, seconds: float) -> None:
        """Advance the simulated time, and run the periodic tasks that are due."""
        end = self.now + seconds
        while self._next_tick <= end:
            self.now = self._next_tick
            self.tick()
            self._next_tick += TICK_INTERVAL_S
        self.now = end

    def send(self, host: VersionHost, class_name: str, account: ClientAccount) -> Served:
        """Send one request and generate its answer immediately."""
        work_class = host.configuration.document.classes[class_name]
        prompt_tokens = self.random.randint(50, 1500)
        request = ChoiceRequest(account, work_class, prompt_tokens, 1000)
        hardness = self.random.uniform(-MAX_HARDNESS, MAX_HARDNESS)
        match host.versions.choose(request):
            case ChosenVersion(version=version, reason=reason, escalation=escalation):
                served = self.answer(host, class_name, version, reason, prompt_tokens, hardness)
                if escalation is not None and served.score < escalation.min_score:
                    second = self.answer(
                        host, class_name, escalation.version, reason, prompt_tokens, hardness, True
                    )
                    served = replace(second, cost=served.cost + second.cost)
            case refused:
                served = self._make_outcome(
                    host, class_name, None, type(refused).__name__, 0.0, 0.0, True
                )
        self.served.append(served)
        return served

    def answer(
        self,
        host: VersionHost,
        class_name: str,
        version: Version,
        reason: str,
        prompt_tokens: int,
        hardness: float,
        is_second: bool = False,
    ) -> Served:
        """Generate an answer, record its observation at the host and submit it for rating."""
        traits = self.traits[(class_name, version.id)]
        failed = self.random.random() < traits.failures
        quality = 0.0 if failed else self.draw_quality(traits, hardness)
        tokens = max(1, int(self.random.gauss(traits.tokens, traits.tokens / 5)))
        late = self.random.random() < traits.late
        mean_score = quality if traits.blind_score is None else traits.blind_score
        score = min(1.0, max(0.0, mean_score + self.random.gauss(0.0, JUDGE_NOISE)))
        observation = AnswerObservation(
            failed, late, 0 if failed else tokens, traits.whole_s, score if self.judged else None
        )
        key = CellKey(class_name, version.id)
        key = key.as_second_step if is_second else key
        if host.versions.should_rate(key, reason, self.now):
            self._submit_for_rating(host, key, quality, observation.judge_score)
        host.versions.record_answer(key, observation)
        cost = version.price.cost(prompt_tokens, tokens)
        served = self._make_outcome(host, class_name, version.id, reason, quality, cost, failed)
        return replace(served, score=score)

    def draw_quality(self, traits: Traits, hardness: float) -> float:
        """Draw the quality of one answer."""
        # Harder requests get wrong answers more often.
        if traits.wrong and self.random.random() < traits.wrong * (
            1.0 + hardness / MAX_HARDNESS / 2
        ):
            return traits.wrong_quality
        return min(1.0, max(0.0, traits.quality - hardness + self.random.gauss(0.0, QUALITY_NOISE)))

    def _make_outcome(
        self,
        host: VersionHost,
        class_name: str,
        version: VersionId | None,
        reason: str,
        quality: float,
        cost: float,
        failed: bool,
    ) -> Served:
        caller = self.random.randrange(self.callers)
        return Served(
            self.now, host.name, class_name, caller, version, reason, quality, cost, failed
        )

    def _submit_for_rating(
        self, host: VersionHost, key: CellKey, quality: float, score: float | None
    ) -> None:
        outage_start, end = self.ratings.outage
        if outage_start <= self.now < end or self.random.random() < self.ratings.lost:
            return
        self.rated_count += 1
        error = self.ratings.bias + self.random.gauss(0.0, self.ratings.noise)
        rating = min(1.0, max(0.0, quality + error))
        ready_at = self.now + self.random.uniform(0.5, 1.5) * self.ratings.delay_s
        item = (ready_at, next(self._sequence_numbers), host, key, rating, score)
        heapq.heappush(self._pending_ratings, item)

    def _deliver_ratings(self) -> None:
        while self._pending_ratings and self._pending_ratings[0][0] <= self.now:
            _, _, host, key, rating, score = heapq.heappop(self._pending_ratings)
            host.versions.record_rating(key, rating, score)

    def _follow_log(self, host: VersionHost) -> None:
        for entry in self._read(CONFIG_STREAM, host.configuration.read_to + 1):
            host.configuration, _ = fold_entry(host.configuration, entry)
        host.versions.apply_configuration(host.configuration)
        for entry in self._read(ROLLOUTS_STREAM, host.versions.rollouts.read_to + 1):
            host.versions.fold_entry(entry)

    def _run_rollout_controller(self, host: VersionHost) -> None:
        for record in host.versions.decide_rollouts(host.peers, self.now):
            if isinstance(record, Withdrawal):
                self.log.append(CONFIG_STREAM, encode_record(record))
            else:
                self.log.append(ROLLOUTS_STREAM, encode_rollout(record))

    def _read(self, stream: str, from_offset: int) -> tuple:
        return self.log.read(stream, from_offset, READ_LIMIT).entries
