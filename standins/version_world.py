"""A world in simulated time: callers, versions with hidden traits, ratings, a log, hosts.

It drives the decision code of many hosts in one process, without sleeping.
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

TICK_S = 1.0
READ_LIMIT = 1000
# How much easier or harder a request may be than the mean one, in quality.
HARDNESS = 0.08
NOISE = 0.05
WRONG = 0.25
# Error of the score that a judge gives at once.
JUDGE_NOISE = 0.1


@dataclass(frozen=True)
class Traits:
    """What a version is like in a class; hidden from the decisions.

    Attributes
    ----------
    quality : float
        Mean quality of its answers.
    failures, late : float
        Shares of answers that fail, or miss a latency target.
    tokens : float
        Mean length.
    wrong : float
        Share of answers that are wrong.
    wrong_quality : float
        Quality of those.
    blind_score : float, optional
        What a judge that can't tell right from wrong gives each answer.
    whole_s : float
        Time of a whole answer.
    """

    quality: float
    failures: float = 0.0
    late: float = 0.01
    tokens: float = 200.0
    wrong: float = 0.0
    whole_s: float = 0.5
    wrong_quality: float = WRONG
    blind_score: float | None = None

    @property
    def mean_quality(self) -> float:
        """Mean over right and wrong answers."""
        return self.quality * (1.0 - self.wrong) + self.wrong_quality * self.wrong


@dataclass
class RatingTraits:
    """How the rating service behaves.

    Attributes
    ----------
    delay_s : float
        Mean delay of a rating.
    lost : float
        Share of ratings that never come.
    bias, noise : float
        Error of a rating: mean and standard deviation.
    down : tuple of (float, float)
        Times between which it takes no answers.
    told_bias : float
        What hosts are told of the bias.
    """

    delay_s: float = 20.0
    lost: float = 0.0
    bias: float = 0.0
    noise: float = 0.05
    down: tuple[float, float] = (0.0, 0.0)
    told_bias: float = 0.0


@dataclass(frozen=True)
class Served:
    """What became of one request."""

    at: float
    host: str
    class_name: str
    caller: int
    version: VersionId | None
    why: str
    quality: float
    cost: float
    failed: bool
    score: float = 1.0


@dataclass
class _Network:
    """Summaries as hosts hear them: merged once a zone, cut zones apart."""

    members: dict[str, "WorldPeers"] = field(default_factory=dict)
    cut_zones: set[str] = field(default_factory=set)
    merged: dict[tuple[str, str], bytes] = field(default_factory=dict)
    heard: dict[str, tuple[Peer, ...]] = field(default_factory=dict)
    by_zone: dict[str, list["WorldPeers"]] = field(default_factory=dict)
    published_bytes: int = 0

    def change(self) -> None:
        """Forget what was worked out, after a member or a cut changed."""
        self.merged.clear()
        self.heard.clear()
        self.by_zone.clear()
        for member in self.members.values():
            self.by_zone.setdefault(member.me.zone, []).append(member)

    def zones_heard(self, zone: str) -> list[str]:
        """Return the zones that a zone hears, itself included."""
        cut = self.cut_zones
        return [z for z in self.by_zone if z == zone or (z not in cut and zone not in cut)]

    def live(self, zone: str) -> tuple[Peer, ...]:
        """Return the hosts that a zone hears."""
        if zone not in self.heard:
            zones = self.zones_heard(zone)
            self.heard[zone] = tuple(m.me for z in zones for m in self.by_zone[z])
        return self.heard[zone]


class WorldPeers:
    """The ``Peers`` of one simulated host."""

    def __init__(self, network: _Network, me: Peer) -> None:
        self._network = network
        self._me = me
        self.summaries: dict[str, bytes] = {}
        network.members[me.name] = self
        network.change()

    @property
    def me(self) -> Peer:
        """The own host."""
        return self._me

    def live(self) -> tuple[Peer, ...]:
        """Return the hosts that are heard."""
        return self._network.live(self._me.zone)

    async def ask(self, peer: str, kind: str, payload: bytes, timeout_s: float) -> bytes:
        """Nothing is asked in this world."""
        raise NotImplementedError

    def serve(self, kind: str, handler: object) -> None:
        """Nothing is asked in this world."""

    def publish(self, topic: SummaryTopic, payload: bytes) -> None:
        """Replace this host's summary."""
        self.summaries[topic.name] = payload
        self._network.published_bytes += len(payload)
        self._network.merged.pop((topic.name, self._me.zone), None)

    def collect_summaries(self, topic: SummaryTopic) -> CollectedSummaries:
        """Return what is heard."""
        zone = self._me.zone
        members = self._network.by_zone[zone]
        own = {m._me.name: m.summaries[topic.name] for m in members if m.summaries}
        others = [z for z in self._network.zones_heard(zone) if z != zone]
        return CollectedSummaries(own, {z: self._merge(topic, z) for z in others})

    def _merge(self, topic: SummaryTopic, zone: str) -> bytes:
        known = self._network.merged.get((topic.name, zone))
        if known is None:
            members = self._network.by_zone[zone]
            known = topic.merge([m.summaries[topic.name] for m in members if m.summaries])
            self._network.merged[(topic.name, zone)] = known
        return known


@dataclass
class WorldHost:
    """One host of the world."""

    peers: WorldPeers
    versions: VersionManager
    configuration: Configuration = field(default_factory=Configuration)

    @property
    def name(self) -> str:
        """The host's name."""
        return self.peers.me.name


class VersionWorld:
    """Hosts, callers and the platform in simulated time.

    Parameters
    ----------
    traits : dict
        Traits by class name and version; may be changed while it runs.
    host_count, zone_count : int
        Size.
    seed : int
        Of everything random.
    ratings : RatingTraits
        The rating service.
    requests_per_s : float
        Over all hosts.
    callers : int
        Callers, of whom each request picks one.
    judged : bool
        Whether a judge scores each answer at once.
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
        self.rated = 0
        self._numbers = itertools.count()
        self._pending: list[tuple[float, int, WorldHost, CellKey, float, float | None]] = []
        self._next_tick = 0.0
        self.hosts: dict[str, WorldHost] = {}
        for number in range(host_count):
            self.add_host(f"h{number}", "abcdefg"[number % zone_count], 1)

    def add_host(self, name: str, zone: str, incarnation: int) -> WorldHost:
        """Start a host, or start one anew."""
        peers = WorldPeers(self.network, Peer(name, zone, "r", incarnation))
        source = random.Random(self.random.random())
        versions = VersionManager(peers.me, source, self.ratings.told_bias)
        self.hosts[name] = WorldHost(peers, versions)
        return self.hosts[name]

    def kill_host(self, name: str) -> None:
        """End a host with all that it holds."""
        del self.hosts[name]
        self.network.members.pop(name)
        self.network.change()

    def cut_zone(self, zone: str) -> None:
        """Cut a zone off from the others and from the log."""
        self.network.cut_zones.add(zone)
        self.network.change()

    def heal(self) -> None:
        """Join all zones again."""
        self.network.cut_zones.clear()
        self.network.change()

    def publish(self, document: str, operator: str = "ada") -> None:
        """Publish a document on top of the accepted one."""
        state = Configuration()
        for entry in self._read(CONFIG_STREAM, 0):
            state, _ = fold_entry(state, entry)
        record_id = f"{operator}-{next(self._numbers)}"
        record = Publication(record_id, state.offset, operator, self.now, document)
        self.log.append(CONFIG_STREAM, encode_record(record))
        self.tick()

    def tick(self) -> None:
        """Run each host's periodic tasks once."""
        self._deliver_ratings()
        for host in self.hosts.values():
            host.versions.exchange_evidence(host.peers, self.now)
        for host in self.hosts.values():
            if not self.is_cut(host):
                self._follow_log(host)
                self._run_steward(host)

    def is_cut(self, host: WorldHost) -> bool:
        """Tell whether a host's zone is cut off, from the log too."""
        return host.peers.me.zone in self.network.cut_zones

    def run(
        self,
        count: int,
        class_names: list[str],
        account: ClientAccount,
        until: Callable[[], bool] | None = None,
    ) -> int:
        """Send requests; return how many were sent until the condition came true."""
        for number in range(count):
            self.advance(self.random.expovariate(self.requests_per_s))
            host = self.random.choice(list(self.hosts.values()))
            self.send(host, self.random.choice(class_names), account)
            if until is not None and until():
                return number + 1
        return count

    def advance(self, seconds: float) -> None:
        """Let time go by."""
        end = self.now + seconds
        while self._next_tick <= end:
            self.now = self._next_tick
            self.tick()
            self._next_tick += TICK_S
        self.now = end

    def send(self, host: WorldHost, class_name: str, account: ClientAccount) -> Served:
        """Send one request and let it be answered at once."""
        work_class = host.configuration.document.classes[class_name]
        prompt_tokens = self.random.randint(50, 1500)
        request = ChoiceRequest(account, work_class, prompt_tokens, 1000)
        hardness = self.random.uniform(-HARDNESS, HARDNESS)
        match host.versions.choose(request):
            case ChosenVersion(version=version, reason=why, escalation=escalation):
                served = self.answer(host, class_name, version, why, prompt_tokens, hardness)
                if escalation is not None and served.score < escalation.min_score:
                    second = self.answer(
                        host, class_name, escalation.version, why, prompt_tokens, hardness, True
                    )
                    served = replace(second, cost=served.cost + second.cost)
            case refused:
                served = self._serve(host, class_name, None, type(refused).__name__, 0.0, 0.0, True)
        self.served.append(served)
        return served

    def answer(
        self,
        host: WorldHost,
        class_name: str,
        version: Version,
        why: str,
        prompt_tokens: int,
        hardness: float,
        is_second: bool = False,
    ) -> Served:
        """Generate an answer and tell the host what it sees of it."""
        traits = self.traits[(class_name, version.id)]
        failed = self.random.random() < traits.failures
        quality = 0.0 if failed else self.draw_quality(traits, hardness)
        tokens = max(1, int(self.random.gauss(traits.tokens, traits.tokens / 5)))
        late = self.random.random() < traits.late
        told = quality if traits.blind_score is None else traits.blind_score
        score = min(1.0, max(0.0, told + self.random.gauss(0.0, JUDGE_NOISE)))
        seen = AnswerObservation(
            failed, late, 0 if failed else tokens, traits.whole_s, score if self.judged else None
        )
        key = CellKey(class_name, version.id)
        key = key.as_second_step if is_second else key
        if host.versions.should_rate(key, why, self.now):
            self._rate(host, key, quality, seen.judge_score)
        host.versions.record_answer(key, seen)
        cost = version.price.cost(prompt_tokens, tokens)
        served = self._serve(host, class_name, version.id, why, quality, cost, failed)
        return replace(served, score=score)

    def draw_quality(self, traits: Traits, hardness: float) -> float:
        """Return the quality of one answer."""
        # A hard request is more often answered wrong.
        if traits.wrong and self.random.random() < traits.wrong * (1.0 + hardness / HARDNESS / 2):
            return traits.wrong_quality
        return min(1.0, max(0.0, traits.quality - hardness + self.random.gauss(0.0, NOISE)))

    def _serve(
        self,
        host: WorldHost,
        class_name: str,
        version: VersionId | None,
        why: str,
        quality: float,
        cost: float,
        failed: bool,
    ) -> Served:
        caller = self.random.randrange(self.callers)
        return Served(self.now, host.name, class_name, caller, version, why, quality, cost, failed)

    def _rate(self, host: WorldHost, key: CellKey, quality: float, score: float | None) -> None:
        begin, end = self.ratings.down
        if begin <= self.now < end or self.random.random() < self.ratings.lost:
            return
        self.rated += 1
        error = self.ratings.bias + self.random.gauss(0.0, self.ratings.noise)
        rating = min(1.0, max(0.0, quality + error))
        ready_at = self.now + self.random.uniform(0.5, 1.5) * self.ratings.delay_s
        item = (ready_at, next(self._numbers), host, key, rating, score)
        heapq.heappush(self._pending, item)

    def _deliver_ratings(self) -> None:
        while self._pending and self._pending[0][0] <= self.now:
            _, _, host, key, rating, score = heapq.heappop(self._pending)
            host.versions.record_rating(key, rating, score)

    def _follow_log(self, host: WorldHost) -> None:
        for entry in self._read(CONFIG_STREAM, host.configuration.read_to + 1):
            host.configuration, _ = fold_entry(host.configuration, entry)
        host.versions.apply_configuration(host.configuration)
        for entry in self._read(ROLLOUTS_STREAM, host.versions.rollouts.read_to + 1):
            host.versions.fold_entry(entry)

    def _run_steward(self, host: WorldHost) -> None:
        for record in host.versions.decide_rollouts(host.peers, self.now):
            if isinstance(record, Withdrawal):
                self.log.append(CONFIG_STREAM, encode_record(record))
            else:
                self.log.append(ROLLOUTS_STREAM, encode_rollout(record))

    def _read(self, stream: str, from_offset: int) -> tuple:
        return self.log.read(stream, from_offset, READ_LIMIT).entries
