"""Everything about versions at one host, as the router and its tasks use it."""

import math
import random
from collections import deque

from poplarrun.config import Configuration
from poplarrun.hosts import Peer, Peers
from poplarrun.log import Entry
from poplarrun.versions._choice import Choice, ChoiceRequest, VersionSelector
from poplarrun.versions._controller import ControllerView, DueRecord, VersionRolloutController
from poplarrun.versions._estimates import Estimates
from poplarrun.versions._evidence import EVIDENCE_TOPIC, AnswerObservation, CellKey
from poplarrun.versions._exposure import ExposureBudget
from poplarrun.versions._rollouts import RolloutSnapshot, RolloutTable, fold_rollout
from poplarrun.versions._sampling import RatingSampler, SampledAnswer

# Answers that wait to be rated; the oldest are dropped beyond it.
WAITING_SAMPLES = 200

# A third of what a host may spend on control, for evidence to each host of its zone.
EVIDENCE_BYTES_PER_S = 3000.0


class VersionManager:
    """Estimates, choice, exposure and roll-outs of one host.

    Parameters
    ----------
    me : Peer
        This host.
    source : random.Random
        Random source of all that is drawn.
    ratings_bias : float
        By how much ratings may be too high.

    Attributes
    ----------
    rollouts : Rollouts
        As folded from the log so far.
    """

    def __init__(self, me: Peer, source: random.Random, ratings_bias: float = 0.0) -> None:
        self.rollouts = RolloutTable()
        self.estimates = Estimates(me.name, me.incarnation, source, ratings_bias)
        self._exposure = ExposureBudget(me.name, me.incarnation)
        self._selector = VersionSelector(self.estimates, self._exposure, source)
        self._sampler = RatingSampler(source)
        self._steward = VersionRolloutController(me.name, me.incarnation, self.estimates)
        self._samples: deque[SampledAnswer] = deque(maxlen=WAITING_SAMPLES)
        self._configuration = Configuration()
        self._publish_at = -math.inf

    @property
    def has_configuration(self) -> bool:
        """Whether a configuration is in force."""
        return bool(self._configuration.document.classes)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Take over the configuration in force."""
        changed = configuration.document is not self._configuration.document
        self._configuration = configuration
        if changed:
            self.estimates.apply_document(configuration.document)

    def fold_entry(self, entry: Entry) -> None:
        """Apply one record of ``ROLLOUTS_STREAM``."""
        before = self.rollouts.states
        self._take_rollouts(fold_rollout(self.rollouts, entry))
        for key in before.keys() - self.rollouts.states.keys():
            self.estimates.forget(key)

    def skip_rollouts(self, horizon: int) -> None:
        """Note that roll-out records below an offset are gone from the log."""
        self._take_rollouts(self.rollouts.skip_to(horizon))

    def apply_rollout_snapshot(self, snapshot: RolloutSnapshot) -> None:
        """Take over the roll-outs that another host told."""
        self._take_rollouts(self.rollouts.apply_snapshot(snapshot))

    def choose(self, request: ChoiceRequest) -> Choice:
        """Choose a version for a request."""
        return self._selector.choose(request, self._configuration)

    def _take_rollouts(self, rollouts: RolloutTable) -> None:
        self.rollouts = rollouts
        self._selector.rollouts = rollouts
        if rollouts.is_complete:
            self._exposure.apply(rollouts)

    def should_rate(self, key: CellKey, why: str, now: float) -> bool:
        """Tell whether an answer is to be handed to the rating service."""
        if not self._sampler.should_rate(key, self.estimates.find(key), why, now):
            return False
        self.estimates.record_sampled(key)
        return True

    def record_answer(self, key: CellKey, seen: AnswerObservation) -> None:
        """Count an answer that this host gave."""
        self.estimates.record_answer(key, seen)

    def record_rating(self, key: CellKey, quality: float, score: float | None = None) -> None:
        """Count a rating of an answer that this host gave."""
        self.estimates.record_rating(key, quality, score)

    def enqueue_sample(self, sample: SampledAnswer) -> None:
        """Keep an answer until it is handed to the rating service."""
        self._samples.append(sample)

    def dequeue_samples(self, limit: int) -> list[SampledAnswer]:
        """Return the answers that are to be handed in next."""
        return [self._samples.popleft() for _ in range(min(limit, len(self._samples)))]

    def exchange_evidence(self, peers: Peers, now: float) -> None:
        """Give this host's counters out, take in the others', and age them.

        The more hosts a zone has, the less often each gives its counters out, so
        that the bytes stay bounded; with 6 hosts it is once a call.
        """
        self._sampler.host_count = len(peers.live())
        if now >= self._publish_at:
            payload = self.estimates.encode_local()
            peers.publish(EVIDENCE_TOPIC, payload)
            receivers = sum(peer.zone == peers.me.zone for peer in peers.live()) - 1
            self._publish_at = now + len(payload) * receivers / EVIDENCE_BYTES_PER_S
        self.estimates.age(now)
        self.estimates.apply_summaries(peers.collect_summaries(EVIDENCE_TOPIC))
        self.estimates.refresh()

    def decide_rollouts(self, peers: Peers, now: float) -> list[DueRecord]:
        """Return the records that this host, as steward, must append now."""
        view = ControllerView(self._configuration, self.rollouts, peers.live())
        return self._steward.decide_records(view, now)
