"""The interface of the version logic of one host for the router and its background tasks."""

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
from poplarrun.versions._rollouts import RolloutTable, Snapshot, fold_rollout
from poplarrun.versions._sampling import RatingSampler, SampledAnswer

# Answers queued for the rating service; beyond this the oldest are dropped.
MAX_QUEUED_SAMPLES = 200

# Rate of evidence that a host sends to the hosts of its zone: a third of its budget for control
# traffic.
MAX_EVIDENCE_BYTES_PER_S = 3000.0


class VersionManager:
    """The estimates, version selection, exposure budget and roll-outs of one host.

    Parameters
    ----------
    me : Peer
        This host.
    source : random.Random
        Random source of all random decisions.
    ratings_bias : float
        By how much the ratings may be too high.

    Attributes
    ----------
    rollouts : RolloutTable
        As folded from the log so far.
    """

    def __init__(self, me: Peer, source: random.Random, ratings_bias: float = 0.0) -> None:
        self.rollouts = RolloutTable()
        self.estimates = Estimates(me.name, me.incarnation, source, ratings_bias)
        self._exposure = ExposureBudget(me.name, me.incarnation)
        self._selector = VersionSelector(self.estimates, self._exposure, source)
        self._sampler = RatingSampler(source)
        self._rollout_controller = VersionRolloutController(me.name, me.incarnation, self.estimates)
        self._samples: deque[SampledAnswer] = deque(maxlen=MAX_QUEUED_SAMPLES)
        self._configuration = Configuration()
        self._publish_at = -math.inf

    @property
    def has_configuration(self) -> bool:
        """Whether a configuration is in force."""
        return bool(self._configuration.document.classes)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply the configuration in force."""
        changed = configuration.document is not self._configuration.document
        self._configuration = configuration
        if changed:
            self.estimates.apply_document(configuration.document)

    def fold_entry(self, entry: Entry) -> None:
        """Apply one record of ``ROLLOUTS_STREAM``."""
        before = self.rollouts.states
        self._set_rollouts(fold_rollout(self.rollouts, entry))
        for key in before.keys() - self.rollouts.states.keys():
            self.estimates.forget(key)

    def skip_rollouts(self, horizon: int) -> None:
        """Continue behind roll-out records that the log has dropped."""
        self._set_rollouts(self.rollouts.skip_to(horizon))

    def apply_rollout_snapshot(self, snapshot: Snapshot) -> None:
        """Apply another host's snapshot of the roll-outs."""
        self._set_rollouts(self.rollouts.apply_snapshot(snapshot))

    def choose(self, request: ChoiceRequest) -> Choice:
        """Choose a version for a request."""
        return self._selector.choose(request, self._configuration)

    def _set_rollouts(self, rollouts: RolloutTable) -> None:
        self.rollouts = rollouts
        self._selector.rollouts = rollouts
        if rollouts.is_complete:
            self._exposure.apply(rollouts)

    def should_rate(self, key: CellKey, reason: str, now: float) -> bool:
        """Tell whether an answer is to be rated; if so, count it as sent to the rating service."""
        if not self._sampler.should_rate(key, self.estimates.find(key), reason, now):
            return False
        self.estimates.record_sampled(key)
        return True

    def record_answer(self, key: CellKey, observation: AnswerObservation) -> None:
        """Count an answer that this host gave."""
        self.estimates.record_answer(key, observation)

    def record_rating(self, key: CellKey, quality: float, score: float | None = None) -> None:
        """Count a rating of an answer that this host gave."""
        self.estimates.record_rating(key, quality, score)

    def enqueue_sample(self, sample: SampledAnswer) -> None:
        """Queue an answer for the rating service."""
        self._samples.append(sample)

    def dequeue_samples(self, limit: int) -> list[SampledAnswer]:
        """Remove and return the next answers for the rating service."""
        return [self._samples.popleft() for _ in range(min(limit, len(self._samples)))]

    def exchange_evidence(self, peers: Peers, now: float) -> None:
        """Publish this host's counters, add those of the others, and apply the decay.

        The more hosts a zone has, the less often each publishes its counters, so that the
        bytes per second stay bounded; with 6 hosts each publishes on every call.
        """
        self._sampler.host_count = len(peers.live())
        if now >= self._publish_at:
            payload = self.estimates.encode_local()
            peers.publish(EVIDENCE_TOPIC, payload)
            receivers = sum(peer.zone == peers.me.zone for peer in peers.live()) - 1
            self._publish_at = now + len(payload) * receivers / MAX_EVIDENCE_BYTES_PER_S
        self.estimates.age(now)
        self.estimates.apply_summaries(peers.collect_summaries(EVIDENCE_TOPIC))
        self.estimates.refresh()

    def decide_rollouts(self, peers: Peers, now: float) -> list[DueRecord]:
        """Return the records that this host, as rollout controller, must append now."""
        view = ControllerView(self._configuration, self.rollouts, peers.live())
        return self._rollout_controller.decide_records(view, now)
